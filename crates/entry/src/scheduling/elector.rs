use std::time::Duration;

use actix::prelude::*;
use model::{DataCentreId, Epoch, SchedulingLease};
use store::{Expected, Resolved, Row, StoreError, Table, Txn, Urgency};
use timer::{Subscribe, Tick, Timer};

use super::{Demote, Driver, Elected, HandOver};
use crate::context::{Clients, Context as Shared};
use crate::published_state::LeaseHolder;

/// Actor that acquires, renews and releases the scheduling lease of one data centre.
#[derive(Debug)]
pub(crate) struct Elector {
    shared: Shared,
    clients: Clients,
    timer: Addr<Timer>,
    driver: Addr<Driver>,
    data_centre: DataCentreId,
    observed: Option<ObservedLease>,
    /// When the row, or its absence, was first seen in its current state.
    changed_ms: u64,
    held: Option<HeldLease>,
    /// Whether a request to the store is in flight; there is at most one.
    busy: bool,
    /// Whether the driver was asked to hand its work over.
    is_handing_over: bool,
    stopped: bool,
}

/// Lease row as last read.
#[derive(Debug, Clone, PartialEq)]
struct ObservedLease {
    lease: SchedulingLease,
    row_version: u64,
}

/// Lease that this instance holds.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    epoch: Epoch,
    renewal: u64,
    row_version: u64,
}

/// Releases the lease after the driver has handed its work over.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct Release {
    /// Whether the instance stops and must not acquire the lease again.
    pub(crate) permanently: bool,
}

/// Asks whether the lease is permanently released.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "bool")]
pub(crate) struct IsReleased;

impl Elector {
    pub(crate) fn new(
        shared: Shared,
        clients: Clients,
        timer: Addr<Timer>,
        driver: Addr<Driver>,
        data_centre: DataCentreId,
    ) -> Self {
        Self {
            changed_ms: shared.clock.now_ms(),
            shared,
            clients,
            timer,
            driver,
            data_centre,
            observed: None,
            held: None,
            busy: false,
            is_handing_over: false,
            stopped: false,
        }
    }

    fn key(&self) -> String {
        SchedulingLease::key_of(&self.data_centre)
    }

    fn is_local(&self) -> bool {
        self.data_centre == self.shared.settings.data_centre
    }

    /// Reads the row and acquires the lease once its holder has not renewed it for its time to live.
    fn watch(&mut self, ctx: &mut Context<Self>) {
        let store = self.clients.store.clone();
        let key = self.key();
        self.busy = true;
        let read = async move { store.read(&key).await };
        ctx.spawn(read.into_actor(self).map(|row, act, ctx| {
            act.busy = false;
            if let Ok(row) = row {
                act.observe(row.as_ref());
                if act.may_acquire() {
                    act.acquire(ctx);
                }
            }
        }));
    }

    fn observe(&mut self, row: Option<&Row>) {
        let observed = row.and_then(|row| {
            let lease = serde_json::from_value(row.value.clone()).ok()?;
            Some(ObservedLease {
                lease,
                row_version: row.version,
            })
        });
        if observed != self.observed {
            self.changed_ms = self.shared.clock.now_ms();
            self.observed = observed;
        }
        let holder = self
            .observed
            .as_ref()
            .filter(|observed| !observed.lease.released)
            .map(|observed| LeaseHolder {
                instance: observed.lease.holder.clone(),
                epoch: observed.lease.epoch,
            });
        self.publish(holder);
    }

    fn publish(&self, holder: Option<LeaseHolder>) {
        self.shared.published.holders.send_if_modified(|holders| {
            let before = holders.get(&self.data_centre);
            if before == holder.as_ref() {
                return false;
            }
            match holder {
                Some(holder) => holders.insert(self.data_centre.clone(), holder),
                None => holders.remove(&self.data_centre),
            };
            true
        });
    }

    /// Returns whether the lease may be acquired. Instances of the data centre are preferred: others wait one more time
    /// to live.
    fn may_acquire(&self) -> bool {
        if self.stopped || self.shared.published.is_stopping() || self.shared.published.config().recorded.is_none() {
            return false;
        }
        let ttl_ms = self.shared.settings.scheduling_lease_ttl_ms;
        let preference_ms = if self.is_local() { 0 } else { ttl_ms };
        let unchanged_ms = match &self.observed {
            Some(observed) if !observed.lease.released => observed.lease.ttl_ms,
            _ => 0,
        };
        self.shared.clock.now_ms().saturating_sub(self.changed_ms) >= unchanged_ms + preference_ms
    }

    fn acquire(&mut self, ctx: &mut Context<Self>) {
        let (epoch, row_version) = self.observed.as_ref().map_or((Epoch(1), None), |observed| {
            (observed.lease.epoch.next(), Some(observed.row_version))
        });
        let expected = row_version.map_or(Expected::Absent, Expected::Version);
        self.write(0, epoch, false, expected, ctx, move |act, result, _| {
            // On an error another instance was faster, or the next read of the row shows the holder.
            if let Ok(row_version) = result {
                act.on_acquired(epoch, row_version);
            }
        });
    }

    fn on_acquired(&mut self, epoch: Epoch, row_version: u64) {
        self.held = Some(HeldLease {
            epoch,
            renewal: 0,
            row_version,
        });
        self.is_handing_over = false;
        self.publish(Some(LeaseHolder {
            instance: self.shared.settings.instance.clone(),
            epoch,
        }));
        self.driver.do_send(Elected { epoch });
    }

    fn renew(&mut self, held: HeldLease, ctx: &mut Context<Self>) {
        let renewal = held.renewal + 1;
        let expected = Expected::Version(held.row_version);
        self.write(
            renewal,
            held.epoch,
            false,
            expected,
            ctx,
            move |act, result, _| match result {
                Ok(row_version) => {
                    act.held = Some(HeldLease {
                        epoch: held.epoch,
                        renewal,
                        row_version,
                    });
                }
                Err(StoreError::Conflict { current, .. }) => act.check_holder(held, current.as_ref()),
                // No instance can take the lease over while the store is unreachable, and workers reject an old epoch.
                Err(_) => {}
            },
        );
    }

    /// Checks the row after a conflict: it shows our own renewal, whose reply was lost, or another holder.
    fn check_holder(&mut self, held: HeldLease, current: Option<&Row>) {
        self.observe(current);
        match &self.observed {
            Some(observed)
                if observed.lease.holder == self.shared.settings.instance
                    && observed.lease.epoch == held.epoch
                    && !observed.lease.released =>
            {
                self.held = Some(HeldLease {
                    epoch: held.epoch,
                    renewal: observed.lease.renewal,
                    row_version: observed.row_version,
                });
            }
            _ => self.on_lost(),
        }
    }

    fn on_lost(&mut self) {
        if self.held.take().is_some() {
            self.changed_ms = self.shared.clock.now_ms();
            self.driver.do_send(Demote);
        }
    }

    /// Writes the row and calls `on_done` with its new version.
    fn write(
        &mut self,
        renewal: u64,
        epoch: Epoch,
        released: bool,
        expected: Expected,
        ctx: &mut Context<Self>,
        on_done: impl FnOnce(&mut Self, Result<u64, StoreError>, &mut Context<Self>) + 'static,
    ) {
        let lease = SchedulingLease {
            holder: self.shared.settings.instance.clone(),
            epoch,
            renewal,
            ttl_ms: self.shared.settings.scheduling_lease_ttl_ms,
            released,
        };
        let Ok(value) = serde_json::to_value(&lease) else {
            return;
        };
        let txn = Txn::new().put(self.key(), expected, value);
        let store = self.clients.store.clone();
        // Reads back for one renewal interval; after that the next tick tries again.
        let timeout = Duration::from_millis(self.shared.settings.scheduling_lease_renew_ms);
        self.busy = true;
        let commit = async move { store.commit_resolved(&txn, Urgency::Lease, timeout).await };
        ctx.spawn(commit.into_actor(self).map(move |result, act, ctx| {
            act.busy = false;
            let version = match result {
                Ok(Resolved::Written { versions }) => versions.first().copied().ok_or(StoreError::Unknown),
                Ok(Resolved::Superseded { mut rows }) => Err(StoreError::Conflict {
                    key: act.key(),
                    current: rows.pop().flatten(),
                }),
                Err(error) => Err(error),
            };
            on_done(act, version, ctx);
        }));
    }

    /// Returns whether an instance of the data centre itself can hold the lease again.
    fn should_hand_back(&self) -> bool {
        let members = self.shared.published.members();
        !self.is_local()
            && members
                .in_data_centre(&self.data_centre)
                .any(|peer| peer.takes_requests() && peer.store_reachable && peer.heartbeat > Self::MIN_HEARTBEATS)
    }

    /// Heartbeats after which a restarted local instance is stable enough to be handed the lease.
    const MIN_HEARTBEATS: u64 = 5;
}

impl Actor for Elector {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let interval = Duration::from_millis(self.shared.settings.scheduling_lease_renew_ms);
        self.timer
            .do_send(Subscribe::every(interval, ctx.address().recipient()));
        self.watch(ctx);
    }
}

impl Handler<Tick> for Elector {
    type Result = ();

    fn handle(&mut self, _: Tick, ctx: &mut Self::Context) {
        if self.shared.published.is_stopped() {
            ctx.stop();
            return;
        }
        if self.busy {
            return;
        }
        match self.held {
            Some(held) => {
                if self.should_hand_back() && !self.is_handing_over {
                    self.is_handing_over = true;
                    self.driver.do_send(HandOver { permanently: false });
                }
                self.renew(held, ctx);
            }
            None => self.watch(ctx),
        }
    }
}

impl Handler<Release> for Elector {
    type Result = ();

    fn handle(&mut self, release: Release, ctx: &mut Self::Context) {
        self.stopped |= release.permanently;
        if self.busy {
            // The request in flight determines the version that the release is based on.
            ctx.notify_later(release, Duration::from_millis(10));
            return;
        }
        let Some(held) = self.held.take() else { return };
        self.changed_ms = self.shared.clock.now_ms();
        self.publish(None);
        let expected = Expected::Version(held.row_version);
        self.write(held.renewal + 1, held.epoch, true, expected, ctx, |_, _, _| {});
    }
}

impl Handler<Demote> for Elector {
    type Result = ();

    /// A worker reported a higher epoch, whose instance now holds the lease.
    fn handle(&mut self, _: Demote, _: &mut Self::Context) {
        self.on_lost();
    }
}

impl Handler<IsReleased> for Elector {
    type Result = bool;

    fn handle(&mut self, _: IsReleased, _: &mut Self::Context) -> bool {
        self.stopped && self.held.is_none() && !self.busy
    }
}
