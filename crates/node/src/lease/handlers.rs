use std::rc::Rc;

use actix::prelude::*;
use timer::{Subscribe, Tick};

use super::messages::{ClaimReply, Deposed, FeedFailed, LeaseRows, Release, RenewalReply, TakeoverReply};
use super::{LeaseActor, ObservedLease, watch_lease};
use crate::clock::boot_ms;
use crate::ports::{Store, TxnError, Workers};

impl<S: Store, W: Workers> Actor for LeaseActor<S, W> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.takeover_not_before_ms = boot_ms() + Self::jitter_ms();
        self.timer
            .do_send(Subscribe::every(Self::CHECK_INTERVAL, ctx.address().recipient()));
        let watch = watch_lease(Rc::clone(&self.shared), ctx.address());
        actix_rt::spawn(self.shared.supervisor.run("lease_feed", watch));
    }
}

impl<S: Store, W: Workers> Handler<Tick> for LeaseActor<S, W> {
    type Result = ();

    fn handle(&mut self, _tick: Tick, ctx: &mut Self::Context) {
        self.shared.supervisor.check("lease");
        self.evaluate(ctx);
    }
}

impl<S: Store, W: Workers> Handler<LeaseRows> for LeaseActor<S, W> {
    type Result = ();

    fn handle(&mut self, message: LeaseRows, ctx: &mut Self::Context) {
        let now_ms = boot_ms();
        for row in &message.rows {
            self.apply_row(row, now_ms);
        }
        let observed = self.observed.get_or_insert(ObservedLease::new(now_ms));
        observed.last_reply_ms = now_ms;
        if message.is_first_read {
            // The lease holder may have been disconnected from the store too; leave it time for a renewal.
            let grace_ms = self.shared.settings.lease_ttl_ms / 2;
            observed.last_change_ms = observed.last_change_ms.max(now_ms.saturating_sub(grace_ms));
        }
        self.check_held_lease(ctx);
        self.hand_over_if_claimed();
        self.evaluate(ctx);
    }
}

impl<S: Store, W: Workers> Handler<FeedFailed> for LeaseActor<S, W> {
    type Result = ();

    fn handle(&mut self, _lost: FeedFailed, _ctx: &mut Self::Context) {
        if let Some(observed) = &mut self.observed {
            observed.last_reply_ms = 0;
        }
    }
}

impl<S: Store, W: Workers> Handler<TakeoverReply> for LeaseActor<S, W> {
    type Result = ();

    fn handle(&mut self, reply: TakeoverReply, ctx: &mut Self::Context) {
        self.is_takeover_in_flight = false;
        self.takeover_not_before_ms = boot_ms() + Self::TAKEOVER_RETRY_MS + Self::jitter_ms();
        match reply.result {
            Ok(version) if self.held.is_none() => {
                let mut view = self.shared.view.borrow_mut();
                if version > view.epoch_row_version {
                    view.epoch = reply.epoch;
                    view.holder.clone_from(&self.shared.settings.instance);
                    view.epoch_row_version = version;
                }
                drop(view);
                self.start_holding((reply.epoch, version), reply.sent_ms, reply.former_acts_until_ms, ctx);
            }
            Ok(_) => {}
            Err(TxnError::Conflict(conflict)) => {
                let now_ms = boot_ms();
                for row in &conflict {
                    self.apply_row(row, now_ms);
                }
            }
            Err(error) => {
                spdlog::warn!("lease_take_failed", kv: { epoch = reply.epoch, cause = error.to_string() });
            }
        }
        self.check_held_lease(ctx);
    }
}

impl<S: Store, W: Workers> Handler<RenewalReply> for LeaseActor<S, W> {
    type Result = ();

    fn handle(&mut self, reply: RenewalReply, _ctx: &mut Self::Context) {
        let Some(held) = &self.held else { return };
        if held.epoch != reply.epoch {
            return;
        }
        match reply.result {
            Ok(_) => {
                held.confirmed_ms.set(held.confirmed_ms.get().max(reply.sent_ms));
            }
            Err(TxnError::Conflict(_)) => self.step_down("renewal_rejected"),
            Err(TxnError::NotDone(_) | TxnError::Unknown) => {}
        }
    }
}

impl<S: Store, W: Workers> Handler<ClaimReply> for LeaseActor<S, W> {
    type Result = ();

    fn handle(&mut self, ClaimReply(result): ClaimReply, _ctx: &mut Self::Context) {
        self.is_claim_in_flight = false;
        self.claim_not_before_ms = boot_ms() + Self::claim_delay_ms();
        match result {
            Ok(version) => spdlog::info!("lease_claimed", kv: { version }),
            Err(TxnError::Conflict(_)) => {}
            Err(error) => spdlog::warn!("lease_claim_failed", kv: { cause = error.to_string() }),
        }
    }
}

impl<S: Store, W: Workers> Handler<Deposed> for LeaseActor<S, W> {
    type Result = ();

    fn handle(&mut self, deposed: Deposed, _ctx: &mut Self::Context) {
        if self.held.as_ref().is_some_and(|held| held.epoch == deposed.epoch) {
            self.step_down(deposed.cause);
        }
    }
}

impl<S: Store, W: Workers> Handler<Release> for LeaseActor<S, W> {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _release: Release, _ctx: &mut Self::Context) -> Self::Result {
        match self.release_held() {
            Some(release) => Box::pin(release),
            None => Box::pin(async {}),
        }
    }
}
