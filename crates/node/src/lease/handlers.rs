use std::rc::Rc;

use actix::prelude::*;
use compact_str::CompactString;
use timer::{Subscribe, Tick};

use super::messages::{Deposed, FeedLost, LeaseRows, Release, Renewed, Taken};
use super::{LeaseKeeper, Seen, beat_txn, follow};
use crate::clock::boot_ms;
use crate::holder::Input;
use crate::ports::{Store, TxnError, Workers};
use crate::rows::LEASE;

impl<S: Store, W: Workers> Actor for LeaseKeeper<S, W> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.take_not_before_ms = boot_ms() + Self::spread_ms();
        self.timer
            .do_send(Subscribe::every(Self::TICK, ctx.address().recipient()));
        actix_rt::spawn(follow(Rc::clone(&self.shared), ctx.address()));
    }
}

impl<S: Store, W: Workers> Handler<Tick> for LeaseKeeper<S, W> {
    type Result = ();

    fn handle(&mut self, _tick: Tick, ctx: &mut Self::Context) {
        self.look(ctx);
    }
}

impl<S: Store, W: Workers> Handler<LeaseRows> for LeaseKeeper<S, W> {
    type Result = ();

    fn handle(&mut self, message: LeaseRows, ctx: &mut Self::Context) {
        let now_ms = boot_ms();
        for row in &message.rows {
            self.take_row(row, now_ms);
        }
        let seen = self.seen.get_or_insert(Seen {
            epoch: None,
            beat: None,
            changed_ms: now_ms,
            heard_ms: now_ms,
        });
        seen.heard_ms = now_ms;
        if message.is_first_look {
            // The holder may have been as cut off as this instance; it gets time for a renewal.
            let grace_ms = self.shared.settings.lease_ttl_ms / 2;
            seen.changed_ms = seen.changed_ms.max(now_ms.saturating_sub(grace_ms));
        }
        self.check_held(ctx);
        self.look(ctx);
    }
}

impl<S: Store, W: Workers> Handler<FeedLost> for LeaseKeeper<S, W> {
    type Result = ();

    fn handle(&mut self, _lost: FeedLost, _ctx: &mut Self::Context) {
        if let Some(seen) = &mut self.seen {
            seen.heard_ms = 0;
        }
    }
}

impl<S: Store, W: Workers> Handler<Taken> for LeaseKeeper<S, W> {
    type Result = ();

    fn handle(&mut self, taken: Taken, ctx: &mut Self::Context) {
        self.is_taking = false;
        self.take_not_before_ms = boot_ms() + Self::RETAKE_MS + Self::spread_ms();
        match taken.result {
            Ok(version) if self.held.is_none() => {
                let mut view = self.shared.view.borrow_mut();
                if version > view.epoch_row_version {
                    view.epoch = taken.epoch;
                    view.holder.clone_from(&self.shared.settings.instance);
                    view.epoch_row_version = version;
                }
                drop(view);
                self.hold(taken.epoch, version, taken.sent_ms, ctx);
            }
            Ok(_) => {}
            Err(TxnError::Conflict(conflict)) => {
                let now_ms = boot_ms();
                for row in &conflict {
                    self.take_row(row, now_ms);
                }
            }
            Err(error) => {
                spdlog::warn!("lease_take_failed", kv: { epoch = taken.epoch, cause = error.to_string() });
            }
        }
        self.check_held(ctx);
    }
}

impl<S: Store, W: Workers> Handler<Renewed> for LeaseKeeper<S, W> {
    type Result = ();

    fn handle(&mut self, renewed: Renewed, _ctx: &mut Self::Context) {
        let Some(held) = &self.held else { return };
        if held.epoch != renewed.epoch {
            return;
        }
        match renewed.result {
            Ok(_) => {
                held.confirmed_ms.set(held.confirmed_ms.get().max(renewed.sent_ms));
            }
            Err(TxnError::Conflict(_)) => self.step_down("renewal_rejected"),
            Err(TxnError::NotDone(_) | TxnError::Unknown) => {}
        }
    }
}

impl<S: Store, W: Workers> Handler<Deposed> for LeaseKeeper<S, W> {
    type Result = ();

    fn handle(&mut self, deposed: Deposed, _ctx: &mut Self::Context) {
        if self.held.as_ref().is_some_and(|held| held.epoch == deposed.epoch) {
            self.step_down(deposed.cause);
        }
    }
}

impl<S: Store, W: Workers> Handler<Release> for LeaseKeeper<S, W> {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _release: Release, _ctx: &mut Self::Context) -> Self::Result {
        let Some(held) = self.held.take() else {
            return Box::pin(async {});
        };
        held.holder.do_send(Input::Stop);
        let place = self.shared.parts.of_holder(LEASE);
        let txn = beat_txn(&place, held.epoch, held.epoch_row_version, held.beat + 1, true);
        let shared = Rc::clone(&self.shared);
        Box::pin(async move {
            let result = shared.transact(&txn).await;
            let outcome = result.map_or_else(|error| CompactString::from(error.to_string()), |_| "ok".into());
            spdlog::info!("lease_released", kv: { epoch = held.epoch, outcome = outcome.as_str() });
        })
    }
}
