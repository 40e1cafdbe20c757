//! The scheduling lease.

mod follow;
mod handlers;
mod messages;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use follow::follow;
pub(crate) use messages::{Deposed, Release};
use messages::{Renewed, Taken};
use rand::Rng;
use timer::{Subscribe, Timer};

use crate::clock::boot_ms;
use crate::holder::{Holder, Input};
use crate::ports::{Condition, OwnRow, Place, Store, Txn, Workers};
use crate::rows::{BEAT_KEY, BeatRow, EPOCH_KEY, EpochRow, LEASE, get, put};
use crate::shared::SharedRef;

/// Keeps the scheduling lease: watches it, takes it over when its holder is silent, and renews it while held.
pub(crate) struct LeaseKeeper<S: Store, W: Workers> {
    shared: SharedRef<S, W>,
    timer: Addr<Timer>,
    seen: Option<Seen>,
    held: Option<Held<S, W>>,
    /// Newest epoch that this instance gave up or lost.
    left_epoch: u64,
    is_taking: bool,
    take_not_before_ms: u64,
}

/// Lease as the feed shows it.
#[derive(Debug, Clone)]
struct Seen {
    epoch: Option<(EpochRow, u64)>,
    beat: Option<(BeatRow, u64)>,
    /// Own time of the last change, or of the first look after the feed was lost.
    changed_ms: u64,
    /// Own time of the newest reply of the feed.
    heard_ms: u64,
}

/// Lease that this instance holds.
struct Held<S: Store, W: Workers> {
    epoch: u64,
    epoch_row_version: u64,
    confirmed_ms: Rc<Cell<u64>>,
    beat: u64,
    renew_due_ms: u64,
    holder: Addr<Holder<S, W>>,
}

impl<S: Store, W: Workers> LeaseKeeper<S, W> {
    /// Interval of looking at the lease.
    const TICK: Duration = Duration::from_millis(50);

    /// Longest wait of the feed; a reply dates what the instance knows.
    pub(super) const FEED_WAIT_MS: u64 = 1_000;

    /// Age of the feed's newest reply up to which silence of the holder is believed.
    const FEED_FRESH_MS: u64 = Self::FEED_WAIT_MS + 500;

    /// Spread of takeovers over the instances, so that they rarely collide.
    const SPREAD_MS: u64 = 100;

    /// Pause after a takeover that failed.
    const RETAKE_MS: u64 = 200;

    pub fn new(shared: SharedRef<S, W>, timer: Addr<Timer>) -> Self {
        Self {
            shared,
            timer,
            seen: None,
            held: None,
            left_epoch: 0,
            is_taking: false,
            take_not_before_ms: 0,
        }
    }

    fn spread_ms() -> u64 {
        rand::rng().random_range(0..Self::SPREAD_MS)
    }

    fn look(&mut self, ctx: &mut Context<Self>) {
        let now_ms = boot_ms();
        if self.held.is_some() {
            self.renew(now_ms, ctx);
        } else if self.may_take(now_ms) {
            self.take(now_ms, ctx);
        }
    }

    fn may_take(&self, now_ms: u64) -> bool {
        let Some(seen) = &self.seen else { return false };
        let has_config = self.shared.view.borrow().config.is_some();
        if self.is_taking || self.shared.is_stopping.get() || !has_config || now_ms < self.take_not_before_ms {
            return false;
        }
        if now_ms > seen.heard_ms + Self::FEED_FRESH_MS {
            return false;
        }
        let is_released = seen.beat.as_ref().is_some_and(|(beat, _)| beat.is_released);
        let is_free = seen
            .epoch
            .as_ref()
            .is_none_or(|(epoch, _)| is_released || self.was_own(epoch));
        let silence_ms = now_ms.saturating_sub(seen.changed_ms);
        let delay_ms = self.shared.settings.takeover_delay_ms();
        if is_free {
            silence_ms >= delay_ms
        } else {
            silence_ms > self.shared.settings.lease_ttl_ms + delay_ms
        }
    }

    /// Returns whether the lease was held by this instance before it was restarted, so that nobody holds it now.
    fn was_own(&self, epoch: &EpochRow) -> bool {
        epoch.holder == self.shared.settings.instance && epoch.holder_started_unix_ms != self.shared.started_unix_ms
    }

    fn take(&mut self, now_ms: u64, ctx: &mut Context<Self>) {
        let Some(seen) = &self.seen else { return };
        let epoch = seen.epoch.as_ref().map_or(0, |(row, _)| row.epoch) + 1;
        let version = |row: Option<u64>| row.unwrap_or(0);
        let place = self.shared.parts.of_holder(LEASE);
        let condition = |key: &str, version| Condition {
            place: place.clone(),
            key: key.into(),
            version,
        };
        let row = EpochRow {
            epoch,
            holder: self.shared.settings.instance.clone(),
            holder_started_unix_ms: self.shared.started_unix_ms,
        };
        let beat = BeatRow {
            epoch,
            beat: 0,
            is_released: false,
        };
        let txn = Txn {
            conditions: vec![
                condition(EPOCH_KEY, version(seen.epoch.as_ref().map(|(_, version)| *version))),
                condition(BEAT_KEY, version(seen.beat.as_ref().map(|(_, version)| *version))),
            ],
            puts: vec![put(place.clone(), EPOCH_KEY, &row), put(place.clone(), BEAT_KEY, &beat)],
            ..Txn::default()
        };
        let silence_ms = now_ms.saturating_sub(seen.changed_ms);
        spdlog::info!("lease_taking", kv: { epoch, silence_ms });
        self.is_taking = true;
        let shared = Rc::clone(&self.shared);
        let keeper = ctx.address();
        actix_rt::spawn(async move {
            let result = shared.transact(&txn).await;
            keeper.do_send(Taken {
                epoch,
                sent_ms: now_ms,
                result,
            });
        });
    }

    fn hold(&mut self, epoch: u64, epoch_row_version: u64, confirmed_ms: u64, ctx: &mut Context<Self>) {
        let now_ms = boot_ms();
        spdlog::info!("lease_held", kv: { epoch, since_ms = now_ms.saturating_sub(confirmed_ms) });
        self.shared.metrics.lease_changes.with_label_values(&["held"]).inc();
        let confirmed_ms = Rc::new(Cell::new(confirmed_ms));
        let holder = Holder::new(
            Rc::clone(&self.shared),
            ctx.address(),
            epoch,
            epoch_row_version,
            Rc::clone(&confirmed_ms),
        )
        .start();
        self.timer
            .do_send(Subscribe::every(Holder::<S, W>::TICK, holder.clone().recipient()));
        self.held = Some(Held {
            epoch,
            epoch_row_version,
            confirmed_ms,
            beat: 1,
            renew_due_ms: now_ms,
            holder,
        });
    }

    fn renew(&mut self, now_ms: u64, ctx: &mut Context<Self>) {
        let interval_ms = self.shared.settings.renew_interval().as_millis() as u64;
        let Some(held) = &mut self.held else { return };
        // A write of the scheduler renews the lease as well.
        let is_renewed = held.confirmed_ms.get() + interval_ms > now_ms;
        if now_ms < held.renew_due_ms || is_renewed {
            return;
        }
        held.renew_due_ms = now_ms + interval_ms;
        held.beat += 1;
        let place = self.shared.parts.of_holder(LEASE);
        let txn = beat_txn(&place, held.epoch, held.epoch_row_version, held.beat, false);
        let epoch = held.epoch;
        let shared = Rc::clone(&self.shared);
        let keeper = ctx.address();
        actix_rt::spawn(async move {
            let result = shared.transact(&txn).await;
            keeper.do_send(Renewed {
                epoch,
                sent_ms: now_ms,
                result,
            });
        });
    }

    fn step_down(&mut self, cause: &str) {
        let Some(held) = self.held.take() else { return };
        self.left_epoch = held.epoch;
        held.holder.do_send(Input::Stop);
        spdlog::warn!("lease_lost", kv: { epoch = held.epoch, cause });
        self.shared.metrics.lease_changes.with_label_values(&["lost"]).inc();
        self.take_not_before_ms = boot_ms() + Self::spread_ms();
    }

    fn take_row(&mut self, row: &OwnRow, now_ms: u64) {
        let seen = self.seen.get_or_insert(Seen {
            epoch: None,
            beat: None,
            changed_ms: now_ms,
            heard_ms: now_ms,
        });
        if row.key == EPOCH_KEY {
            if seen.epoch.as_ref().is_some_and(|(_, version)| *version >= row.version) {
                return;
            }
            let Some(epoch) = get::<EpochRow>(row) else { return };
            seen.changed_ms = now_ms;
            seen.epoch = Some((epoch.clone(), row.version));
            let mut view = self.shared.view.borrow_mut();
            if row.version > view.epoch_row_version {
                view.epoch = epoch.epoch;
                view.holder.clone_from(&epoch.holder);
                view.epoch_row_version = row.version;
            }
        } else if row.key == BEAT_KEY {
            if seen.beat.as_ref().is_some_and(|(_, version)| *version >= row.version) {
                return;
            }
            let Some(beat) = get::<BeatRow>(row) else { return };
            seen.changed_ms = now_ms;
            seen.beat = Some((beat, row.version));
        }
    }

    /// Compares what the feed shows with what this instance holds.
    fn check_held(&mut self, ctx: &mut Context<Self>) {
        let Some((epoch, version)) = self.seen.as_ref().and_then(|seen| seen.epoch.clone()) else {
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
            .seen
            .as_ref()
            .and_then(|seen| seen.beat.as_ref())
            .is_some_and(|(beat, _)| beat.is_released);
        let is_left = epoch.epoch <= self.left_epoch;
        if is_own && !is_released && !is_left && !self.is_taking && !self.shared.is_stopping.get() {
            // The reply to the takeover was lost. Nothing starts before a renewal confirms the lease.
            self.hold(epoch.epoch, version, 0, ctx);
        }
    }
}

fn beat_txn(place: &Place, epoch: u64, epoch_row_version: u64, beat: u64, is_released: bool) -> Txn {
    let row = BeatRow {
        epoch,
        beat,
        is_released,
    };
    Txn {
        conditions: vec![Condition {
            place: place.clone(),
            key: EPOCH_KEY.into(),
            version: epoch_row_version,
        }],
        puts: vec![put(place.clone(), BEAT_KEY, &row)],
        ..Txn::default()
    }
}
