use std::rc::Rc;

use actix::{AsyncContext, Context};
use compact_str::CompactString;
use rand::Rng;

use super::messages::ClaimReply;
use super::{LeaseActor, lease_condition};
use crate::clock::boot_ms;
use crate::driver::Input;
use crate::ports::{Store, Txn, Workers};
use crate::rows::{CLAIM_KEY, ClaimRow, EPOCH_KEY, LEASE, put};

/// Hand-over of the lease: at a planned stop, and from a small instance to a much larger one.
///
/// A small instance takes the lease when no larger one is ready, as after a failure of all of them. It may not have the
/// processor time for a large deployment, so it hands over once a larger instance is there.
impl<S: Store, W: Workers> LeaseActor<S, W> {
    /// Minimum age of an epoch before its lease is claimed; bounds the rate of hand-overs.
    const CLAIM_DELAY_MS: u64 = 1_000;

    /// Upper bound of the random delay of a claim, so that one of several large instances claims.
    const CLAIM_JITTER_MS: u64 = 500;

    /// Time in which an instance that handed over leaves the lease to others.
    const HAND_OVER_MS: u64 = 1_000;

    pub(super) fn claim_delay_ms() -> u64 {
        Self::CLAIM_DELAY_MS + rand::rng().random_range(0..Self::CLAIM_JITTER_MS)
    }

    /// Claims the lease if its holder is a much smaller instance and nobody has claimed it yet.
    pub(super) fn claim_from_smaller_holder(&mut self, now_ms: u64, ctx: &mut Context<Self>) {
        let Some(observed) = &self.observed else { return };
        let Some((epoch, epoch_version)) = &observed.epoch else {
            return;
        };
        let is_claimed = (observed.claim.as_ref()).is_some_and(|(claim, _)| claim.epoch >= epoch.epoch);
        let has_config = self.shared.view.borrow().config.is_some();
        if is_claimed
            || self.is_claim_in_flight
            || self.shared.is_stopping.get()
            || !has_config
            || now_ms < self.claim_not_before_ms
            || now_ms > observed.last_reply_ms + Self::FEED_MAX_AGE_MS
            || !self.shared.settings.is_much_larger_than(epoch.holder_cpu_milli)
        {
            return;
        }
        let place = self.shared.parts.of_lease_holder(LEASE);
        let claim = ClaimRow {
            epoch: epoch.epoch,
            instance: self.shared.settings.instance.clone(),
        };
        let claim_version = observed.claim.as_ref().map_or(0, |(_, version)| *version);
        let txn = Txn {
            conditions: vec![
                lease_condition(&place, EPOCH_KEY, *epoch_version),
                lease_condition(&place, CLAIM_KEY, claim_version),
            ],
            puts: vec![put(place.clone(), CLAIM_KEY, &claim)],
            ..Txn::default()
        };
        self.is_claim_in_flight = true;
        let (shared, lease_actor) = (Rc::clone(&self.shared), ctx.address());
        self.spawn_call(async move {
            let result = shared.transact(&txn).await;
            lease_actor.do_send(ClaimReply(result));
        });
    }

    /// Releases the lease if a larger instance has claimed it.
    pub(super) fn hand_over_if_claimed(&mut self) {
        let Some(held) = &self.held else { return };
        let claim = self.observed.as_ref().and_then(|observed| observed.claim.as_ref());
        let Some((claim, _)) = claim.filter(|(claim, _)| claim.epoch == held.epoch) else {
            return;
        };
        spdlog::info!("lease_handed_over", kv: { epoch = held.epoch, to = claim.instance.as_str() });
        self.last_lost_epoch = held.epoch;
        self.takeover_not_before_ms = boot_ms() + Self::HAND_OVER_MS;
        if let Some(release) = self.release_held() {
            self.spawn_call(release);
        }
    }

    /// Stops scheduling and returns the write that releases the lease; `None` if this instance does not hold it.
    pub(super) fn release_held(&mut self) -> Option<impl Future<Output = ()> + use<S, W>> {
        let mut held = self.held.take()?;
        let place = self.shared.parts.of_lease_holder(LEASE);
        let txn = held.next_heartbeat(&place, true);
        let shared = Rc::clone(&self.shared);
        Some(async move {
            // The released lease tells a successor that this scheduler gives no more leases to workers.
            let _ = held.driver.send(Input::Stop).await;
            let result = shared.transact(&txn).await;
            let outcome = result.map_or_else(|error| CompactString::from(error.to_string()), |_| "ok".into());
            spdlog::info!("lease_released", kv: { epoch = held.epoch, outcome = outcome.as_str() });
        })
    }
}
