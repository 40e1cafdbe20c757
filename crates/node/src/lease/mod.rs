//! The scheduling lease: watching, taking over, renewing and releasing it.

mod claim;
mod handlers;
mod held_lease;
mod messages;
mod watch;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use held_lease::HeldLease;
pub(crate) use messages::{Deposed, Release};
use messages::{RenewalReply, TakeoverReply};
use rand::Rng;
use timer::{Subscribe, Timer};
use watch::watch_lease;

use crate::clock::boot_ms;
use crate::driver::{Input, SchedulerDriver};
use crate::ports::{Condition, OwnRow, Place, Store, Txn, Workers};
use crate::rows::{CLAIM_KEY, ClaimRow, EPOCH_KEY, EpochRow, HEARTBEAT_KEY, HeartbeatRow, LEASE, decode, put};
use crate::shared::SharedRef;

/// Watches the scheduling lease, takes it over when its holder is unresponsive, and renews it while this instance is
/// the holder.
pub(crate) struct LeaseActor<S: Store, W: Workers> {
    shared: SharedRef<S, W>,
    timer: Addr<Timer>,
    observed: Option<ObservedLease>,
    held: Option<HeldLease<S, W>>,
    /// Newest epoch in which this instance lost the lease.
    last_lost_epoch: u64,
    is_takeover_in_flight: bool,
    takeover_not_before_ms: u64,
    /// Since when the lease is free for this instance to take.
    free_since_ms: Option<u64>,
    is_claim_in_flight: bool,
    /// Time before which this instance claims the lease of no smaller holder.
    claim_not_before_ms: u64,
}

/// State of the lease as observed through the feed.
#[derive(Debug, Clone)]
struct ObservedLease {
    epoch: Option<(EpochRow, u64)>,
    heartbeat: Option<(HeartbeatRow, u64)>,
    claim: Option<(ClaimRow, u64)>,
    /// Local time of the last change; moved forward by the first read after the feed failed.
    last_change_ms: u64,
    /// Local time of the newest reply of the feed; 0 after a failure.
    last_reply_ms: u64,
}

impl ObservedLease {
    const fn new(now_ms: u64) -> Self {
        Self {
            epoch: None,
            heartbeat: None,
            claim: None,
            last_change_ms: now_ms,
            last_reply_ms: now_ms,
        }
    }
}

impl<S: Store, W: Workers> LeaseActor<S, W> {
    /// Interval at which the lease is evaluated.
    const CHECK_INTERVAL: Duration = Duration::from_millis(50);

    /// Maximum long-poll time of the feed. Each reply, also an empty one, confirms that the observed state is current.
    pub(super) const FEED_WAIT_MS: u64 = 1_000;

    /// Maximum age of the feed's newest reply for an unchanged lease to count as unresponsiveness of its holder.
    const FEED_MAX_AGE_MS: u64 = Self::FEED_WAIT_MS + 500;

    /// Upper bound of the random delay before a takeover, so that instances rarely collide.
    const TAKEOVER_JITTER_MS: u64 = 100;

    /// Delay before the next takeover attempt.
    const TAKEOVER_RETRY_MS: u64 = 200;

    pub fn new(shared: SharedRef<S, W>, timer: Addr<Timer>) -> Self {
        Self {
            shared,
            timer,
            observed: None,
            held: None,
            last_lost_epoch: 0,
            is_takeover_in_flight: false,
            takeover_not_before_ms: 0,
            free_since_ms: None,
            is_claim_in_flight: false,
            claim_not_before_ms: 0,
        }
    }

    /// Runs a write of lease rows.
    fn spawn_call(&self, call: impl Future<Output = ()> + 'static) {
        let call = self.shared.supervisor.run_to_completion("lease_call", call);
        actix_rt::spawn(call);
    }

    fn jitter_ms() -> u64 {
        rand::rng().random_range(0..Self::TAKEOVER_JITTER_MS)
    }

    fn evaluate(&mut self, ctx: &mut Context<Self>) {
        let now_ms = boot_ms();
        if self.held.is_some() {
            self.renew(now_ms, ctx);
            return;
        }
        if !self.is_lease_free(now_ms) {
            self.free_since_ms = None;
            self.claim_from_smaller_holder(now_ms, ctx);
            return;
        }
        // Counted from the moment at which this instance could take the lease, which at the start of a deployment is when
        // its configuration arrives: all instances then find a lease that has been free for long.
        let free_since_ms = *self.free_since_ms.get_or_insert(now_ms);
        if now_ms >= free_since_ms + self.shared.settings.takeover_delay_ms() {
            self.take_over(now_ms, ctx);
        }
    }

    fn is_lease_free(&self, now_ms: u64) -> bool {
        let Some(observed) = &self.observed else { return false };
        let has_config = self.shared.view.borrow().config.is_some();
        if self.is_takeover_in_flight
            || self.shared.is_stopping.get()
            || !has_config
            || now_ms < self.takeover_not_before_ms
        {
            return false;
        }
        if now_ms > observed.last_reply_ms + Self::FEED_MAX_AGE_MS {
            return false;
        }
        let is_released = observed
            .heartbeat
            .as_ref()
            .is_some_and(|(heartbeat, _)| heartbeat.is_released);
        let is_free = observed
            .epoch
            .as_ref()
            .is_none_or(|(epoch, _)| is_released || self.is_from_previous_incarnation(epoch));
        let silence_ms = now_ms.saturating_sub(observed.last_change_ms);
        is_free || silence_ms > self.shared.settings.lease_ttl_ms
    }

    /// Returns whether an earlier process of this instance acquired the lease, so that no process holds it now.
    fn is_from_previous_incarnation(&self, epoch: &EpochRow) -> bool {
        epoch.holder == self.shared.settings.instance && epoch.holder_started_unix_ms != self.shared.started_unix_ms
    }

    fn take_over(&mut self, now_ms: u64, ctx: &mut Context<Self>) {
        let Some(observed) = &self.observed else { return };
        let epoch = observed.epoch.as_ref().map_or(0, |(row, _)| row.epoch) + 1;
        let version = |row: Option<u64>| row.unwrap_or(0);
        let place = self.shared.parts.of_lease_holder(LEASE);
        let condition = |key: &str, version| lease_condition(&place, key, version);
        let row = EpochRow {
            epoch,
            holder: self.shared.settings.instance.clone(),
            holder_started_unix_ms: self.shared.started_unix_ms,
            holder_cpu_milli: self.shared.settings.cpu_milli(),
        };
        let heartbeat = HeartbeatRow {
            epoch,
            beat: 0,
            is_released: false,
            is_settled: false,
        };
        let txn = Txn {
            conditions: vec![
                condition(EPOCH_KEY, version(observed.epoch.as_ref().map(|(_, version)| *version))),
                condition(
                    HEARTBEAT_KEY,
                    version(observed.heartbeat.as_ref().map(|(_, version)| *version)),
                ),
            ],
            puts: vec![
                put(place.clone(), EPOCH_KEY, &row),
                put(place.clone(), HEARTBEAT_KEY, &heartbeat),
            ],
            ..Txn::default()
        };
        let silence_ms = now_ms.saturating_sub(observed.last_change_ms);
        let former_acts_until_ms = self.former_acts_until_ms(observed, now_ms);
        spdlog::info!("lease_taking", kv: { epoch, silence_ms });
        self.is_takeover_in_flight = true;
        let shared = Rc::clone(&self.shared);
        let lease_actor = ctx.address();
        self.spawn_call(async move {
            let result = shared.transact(&txn).await;
            lease_actor.do_send(TakeoverReply {
                epoch,
                sent_ms: now_ms,
                former_acts_until_ms,
                result,
            });
        });
    }

    /// Returns the time by which the former holder has stopped acting if the takeover succeeds.
    ///
    /// It acts for the store grace period from when it sent its last heartbeat that took effect, which is before this
    /// instance saw it; the takeover fails if there is a later one. An earlier process of this instance has ended, and
    /// a holder that released the lease has stopped; the holders before it have too if it said so.
    fn former_acts_until_ms(&self, observed: &ObservedLease, now_ms: u64) -> u64 {
        let is_own = (observed.epoch.as_ref()).is_some_and(|(epoch, _)| self.is_from_previous_incarnation(epoch));
        let heartbeat = observed.heartbeat.as_ref().map(|(heartbeat, _)| heartbeat);
        let is_released = heartbeat.is_some_and(|heartbeat| heartbeat.is_released);
        let is_settled = heartbeat.is_some_and(|heartbeat| heartbeat.is_settled);
        if (is_own || is_released) && is_settled {
            now_ms
        } else {
            observed.last_change_ms + self.shared.settings.limits.former_grace_ms()
        }
    }

    fn start_holding(
        &mut self,
        (epoch, epoch_row_version): (u64, u64),
        confirmed_ms: u64,
        former_acts_until_ms: u64,
        ctx: &mut Context<Self>,
    ) {
        let now_ms = boot_ms();
        spdlog::info!("lease_held", kv: { epoch, since_ms = now_ms.saturating_sub(confirmed_ms) });
        self.shared.metrics.lease_changes.with_label_values(&["held"]).inc();
        let confirmed_ms = Rc::new(Cell::new(confirmed_ms));
        let driver = SchedulerDriver::new(
            Rc::clone(&self.shared),
            ctx.address(),
            (epoch, epoch_row_version),
            Rc::clone(&confirmed_ms),
            former_acts_until_ms,
        )
        .start();
        self.timer.do_send(Subscribe::every(
            SchedulerDriver::<S, W>::TICK_INTERVAL,
            driver.clone().recipient(),
        ));
        self.held = Some(HeldLease {
            epoch,
            epoch_row_version,
            confirmed_ms,
            last_heartbeat: 1,
            former_acts_until_ms,
            renew_due_ms: now_ms,
            driver,
        });
    }

    fn renew(&mut self, now_ms: u64, ctx: &mut Context<Self>) {
        let interval_ms = self.shared.settings.renew_interval().as_millis() as u64;
        let Some(held) = &mut self.held else { return };
        if !held.driver.connected() {
            // A lease without a scheduler would keep all other instances from scheduling.
            self.shared.begin_stop();
            self.shared.supervisor.report("scheduler");
            self.step_down("scheduler_ended");
            return;
        }
        // A write of the scheduler also renews the lease.
        let is_renewed = held.confirmed_ms.get() + interval_ms > now_ms;
        if now_ms < held.renew_due_ms || is_renewed {
            return;
        }
        held.renew_due_ms = now_ms + interval_ms;
        let place = self.shared.parts.of_lease_holder(LEASE);
        let txn = held.next_heartbeat(&place, false);
        let epoch = held.epoch;
        let shared = Rc::clone(&self.shared);
        let lease_actor = ctx.address();
        self.spawn_call(async move {
            let result = shared.transact(&txn).await;
            lease_actor.do_send(RenewalReply {
                epoch,
                sent_ms: now_ms,
                result,
            });
        });
    }

    fn step_down(&mut self, cause: &str) {
        let Some(held) = self.held.take() else { return };
        self.last_lost_epoch = held.epoch;
        held.driver.do_send(Input::Stop);
        spdlog::warn!("lease_lost", kv: { epoch = held.epoch, cause });
        self.shared.metrics.lease_changes.with_label_values(&["lost"]).inc();
        self.takeover_not_before_ms = boot_ms() + Self::jitter_ms();
    }

    fn apply_row(&mut self, row: &OwnRow, now_ms: u64) {
        let observed = self.observed.get_or_insert(ObservedLease::new(now_ms));
        if row.key == EPOCH_KEY {
            if observed
                .epoch
                .as_ref()
                .is_some_and(|(_, version)| *version >= row.version)
            {
                return;
            }
            let Some(epoch) = decode::<EpochRow>(row) else { return };
            observed.last_change_ms = now_ms;
            self.claim_not_before_ms = now_ms + Self::claim_delay_ms();
            observed.epoch = Some((epoch.clone(), row.version));
            let mut view = self.shared.view.borrow_mut();
            if row.version > view.epoch_row_version {
                view.epoch = epoch.epoch;
                view.holder.clone_from(&epoch.holder);
                view.epoch_row_version = row.version;
            }
        } else if row.key == HEARTBEAT_KEY {
            if observed
                .heartbeat
                .as_ref()
                .is_some_and(|(_, version)| *version >= row.version)
            {
                return;
            }
            let Some(heartbeat) = decode::<HeartbeatRow>(row) else {
                return;
            };
            observed.last_change_ms = now_ms;
            observed.heartbeat = Some((heartbeat, row.version));
        } else if row.key == CLAIM_KEY
            && observed
                .claim
                .as_ref()
                .is_none_or(|(_, version)| *version < row.version)
            && let Some(claim) = decode::<ClaimRow>(row)
        {
            observed.claim = Some((claim, row.version));
        }
    }

    /// Reconciles the lease that this instance holds with the one observed through the feed.
    fn check_held_lease(&mut self, ctx: &mut Context<Self>) {
        let Some((epoch, version)) = self.observed.as_ref().and_then(|observed| observed.epoch.clone()) else {
            return;
        };
        if let Some(held) = &self.held {
            if epoch.epoch > held.epoch {
                self.step_down("newer_epoch");
            }
            return;
        }
        let settings = &self.shared.settings;
        let is_own = epoch.holder == settings.instance && epoch.holder_started_unix_ms == self.shared.started_unix_ms;
        let is_released = self
            .observed
            .as_ref()
            .and_then(|observed| observed.heartbeat.as_ref())
            .is_some_and(|(heartbeat, _)| heartbeat.is_released);
        let was_lost = epoch.epoch <= self.last_lost_epoch;
        if is_own && !is_released && !was_lost && !self.is_takeover_in_flight && !self.shared.is_stopping.get() {
            // The takeover succeeded but its reply was lost. Nothing is started before a renewal confirms the lease.
            let former_acts_until_ms = boot_ms() + self.shared.settings.limits.former_grace_ms();
            self.start_holding((epoch.epoch, version), 0, former_acts_until_ms, ctx);
        }
    }
}

/// Returns the condition that a row of the lease has a version.
fn lease_condition(place: &Place, key: &str, version: u64) -> Condition {
    Condition {
        place: place.clone(),
        key: key.into(),
        version,
    }
}
