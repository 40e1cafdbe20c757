use std::time::Duration;

use actix::prelude::*;
use model::{DataCentreId, Epoch, SchedulingLease};
use store::{Expected, Resolved, Row, StoreError, Table, Txn, Urgency};
use timer::{Subscribe, Tick, Timer};

use super::{Demote, Driver, Elected, Stepping};
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
    seen: Option<Seen>,
    /// When the row, or its absence, was seen first in its present state.
    changed_ms: u64,
    held: Option<Held>,
    /// Whether a request to the store is under way; there is at most one.
    busy: bool,
    stepping_down: bool,
    stopped: bool,
}

/// Lease row as read last.
#[derive(Debug, Clone, PartialEq)]
struct Seen {
    lease: SchedulingLease,
    row_version: u64,
}

/// Lease that this instance holds.
#[derive(Debug, Clone, Copy)]
struct Held {
    epoch: Epoch,
    renewal: u64,
    row_version: u64,
}

/// Gives the lease up after the driver handed everything over.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct Release {
    /// Whether the instance stops and must not acquire the lease again.
    pub(crate) for_good: bool,
}

/// Asks whether the lease is released for good.
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
            seen: None,
            held: None,
            busy: false,
            stepping_down: false,
            stopped: false,
        }
    }

    fn key(&self) -> String {
        SchedulingLease::key_of(&self.data_centre)
    }

    fn is_local(&self) -> bool {
        self.data_centre == self.shared.settings.data_centre
    }

    /// Reads the row and acquires the lease once its holder is silent for long enough.
    fn watch(&mut self, ctx: &mut Context<Self>) {
        let store = self.clients.store.clone();
        let key = self.key();
        self.busy = true;
        let read = async move { store.read(&key).await };
        ctx.spawn(read.into_actor(self).map(|row, act, ctx| {
            act.busy = false;
            if let Ok(row) = row {
                act.saw(row.as_ref());
                if act.may_acquire() {
                    act.acquire(ctx);
                }
            }
        }));
    }

    fn saw(&mut self, row: Option<&Row>) {
        let seen = row.and_then(|row| {
            let lease = serde_json::from_value(row.value.clone()).ok()?;
            Some(Seen {
                lease,
                row_version: row.version,
            })
        });
        if seen != self.seen {
            self.changed_ms = self.shared.clock.now_ms();
            self.seen = seen;
        }
        let holder = self
            .seen
            .as_ref()
            .filter(|seen| !seen.lease.released)
            .map(|seen| LeaseHolder {
                instance: seen.lease.holder.clone(),
                epoch: seen.lease.epoch,
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

    /// An instance of the data centre is preferred: others wait one further time to live.
    fn may_acquire(&self) -> bool {
        if self.stopped || self.shared.published.is_stopping() || self.shared.published.config().recorded.is_none() {
            return false;
        }
        let ttl_ms = self.shared.settings.scheduling_lease_ttl_ms;
        let preference_ms = if self.is_local() { 0 } else { ttl_ms };
        let silent_ms = match &self.seen {
            Some(seen) if !seen.lease.released => seen.lease.ttl_ms,
            _ => 0,
        };
        self.shared.clock.now_ms().saturating_sub(self.changed_ms) >= silent_ms + preference_ms
    }

    fn acquire(&mut self, ctx: &mut Context<Self>) {
        let (epoch, row_version) = self.seen.as_ref().map_or((Epoch(1), None), |seen| {
            (seen.lease.epoch.next(), Some(seen.row_version))
        });
        let expected = row_version.map_or(Expected::Absent, Expected::Version);
        self.write(0, epoch, false, expected, ctx, move |act, result, _| {
            // On an error another instance was faster, or the row shows later who holds the lease.
            if let Ok(row_version) = result {
                act.won(epoch, row_version);
            }
        });
    }

    fn won(&mut self, epoch: Epoch, row_version: u64) {
        self.held = Some(Held {
            epoch,
            renewal: 0,
            row_version,
        });
        self.stepping_down = false;
        self.publish(Some(LeaseHolder {
            instance: self.shared.settings.instance.clone(),
            epoch,
        }));
        self.driver.do_send(Elected { epoch });
    }

    fn renew(&mut self, held: Held, ctx: &mut Context<Self>) {
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
                    act.held = Some(Held {
                        epoch: held.epoch,
                        renewal,
                        row_version,
                    });
                }
                Err(StoreError::Conflict { current, .. }) => act.check_holder(held, current.as_ref()),
                // No instance can take the lease over while the store is away, and workers reject an old epoch.
                Err(_) => {}
            },
        );
    }

    /// After a conflict: the row may show our own renewal, whose reply was lost, or another holder.
    fn check_holder(&mut self, held: Held, current: Option<&Row>) {
        self.saw(current);
        match &self.seen {
            Some(seen)
                if seen.lease.holder == self.shared.settings.instance
                    && seen.lease.epoch == held.epoch
                    && !seen.lease.released =>
            {
                self.held = Some(Held {
                    epoch: held.epoch,
                    renewal: seen.lease.renewal,
                    row_version: seen.row_version,
                });
            }
            _ => self.lose(),
        }
    }

    fn lose(&mut self) {
        if self.held.take().is_some() {
            self.changed_ms = self.shared.clock.now_ms();
            self.driver.do_send(Demote);
        }
    }

    /// Writes the row and passes its new version on.
    fn write(
        &mut self,
        renewal: u64,
        epoch: Epoch,
        released: bool,
        expected: Expected,
        ctx: &mut Context<Self>,
        then: impl FnOnce(&mut Self, Result<u64, StoreError>, &mut Context<Self>) + 'static,
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
        // One renewal interval of reading back; after that the next tick tries again.
        let within = Duration::from_millis(self.shared.settings.scheduling_lease_renew_ms);
        self.busy = true;
        let commit = async move { store.commit_resolved(&txn, Urgency::Lease, within).await };
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
            then(act, version, ctx);
        }));
    }

    /// Hands the lease back if an instance of the data centre can hold it again.
    fn prefers_other(&self) -> bool {
        let members = self.shared.published.members();
        !self.is_local()
            && members
                .in_data_centre(&self.data_centre)
                .any(|peer| peer.takes_requests() && peer.store_reachable && peer.heartbeat > Self::STEADY_HEARTBEATS)
    }

    /// Heartbeats after which a restarted local instance counts as steady enough to be handed the lease.
    const STEADY_HEARTBEATS: u64 = 5;
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
                if self.prefers_other() && !self.stepping_down {
                    self.stepping_down = true;
                    self.driver.do_send(Stepping { for_good: false });
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
        self.stopped |= release.for_good;
        if self.busy {
            // The request under way decides which version the release is based on.
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

    /// A worker showed a higher epoch: whoever has it holds the lease.
    fn handle(&mut self, _: Demote, _: &mut Self::Context) {
        self.lose();
    }
}

impl Handler<IsReleased> for Elector {
    type Result = bool;

    fn handle(&mut self, _: IsReleased, _: &mut Self::Context) -> bool {
        self.stopped && self.held.is_none() && !self.busy
    }
}
