use std::collections::{BTreeMap, BTreeSet};

use actix::prelude::*;
use model::Epoch;
use sched::{Input, Scheduler};
use store::{ListedState, Listing};

use super::active_epoch::ActiveEpoch;
use super::grant_registry::GrantRegistry;
use super::grant_yield::GrantYield;
use super::{Driver, Release, new_policy, topology_of};

/// Minimum length of an epoch before new workers end it, so that workers that appear one by one are added together.
const MIN_EPOCH_MS: u64 = 5_000;

/// Start, updates and end of an epoch.
impl Driver {
    pub(super) fn end_epoch(&mut self) {
        self.active = None;
        // Dropping the waiters makes callers ask the successor.
        self.waiters.clear();
        let dc = self.data_centre.as_str();
        self.shared.metrics.scheduler_epoch.with_label_values(&[dc]).set(0);
        self.shared.published.free_accelerators.send_modify(|free| {
            free.remove(&self.data_centre);
        });
    }

    pub(super) fn on_elected(&mut self, epoch: Epoch, ctx: &mut Context<Self>) {
        self.end_epoch();
        let listing = self.shared.published.listing();
        let local_workers = || {
            listing
                .workers
                .iter()
                .filter(|worker| worker.data_centre == self.data_centre)
        };
        let policy = new_policy(&topology_of(&listing), &self.data_centre);
        let settings = self.scheduler_settings(&listing);
        let workers = local_workers().map(|worker| worker.id.clone()).collect();
        let instance = self.shared.settings.instance.clone();
        let scheduler = Scheduler::new(settings, policy, instance, self.data_centre.clone(), workers);
        self.active = Some(ActiveEpoch {
            epoch,
            elected_ms: self.shared.clock.now_ms(),
            scheduler,
            addresses: local_workers()
                .map(|worker| (worker.id.clone(), worker.address.clone()))
                .collect(),
            draining: BTreeSet::new(),
            grants: GrantRegistry::default(),
            deliveries_in_flight: BTreeSet::new(),
            grant_yield: GrantYield::new(self.shared.settings.slot_lease_ttl_ms),
            wanted: BTreeMap::new(),
            config: None,
            store_reachable: true,
            is_handing_over: false,
            is_stopping_permanently: false,
        });
        let dc = self.data_centre.as_str();
        self.shared
            .metrics
            .scheduler_epoch
            .with_label_values(&[dc])
            .set(epoch.0 as i64);
        self.configure(ctx);
        self.feed(Input::Elected { epoch }, ctx);
        self.apply_listing(ctx);
    }

    pub(super) fn scheduler_settings(&self, listing: &Listing) -> sched::Settings {
        let settings = &self.shared.settings;
        let mut scheduler = sched::Settings {
            slot_lease_ttl_ms: settings.slot_lease_ttl_ms,
            reserve_lease_ttl_ms: settings.reserve_lease_ttl_ms,
            worker_renew_interval_ms: settings.worker_renew_interval_ms,
            worker_timeout_ms: settings.worker_timeout_ms,
            payload_budget_bytes: settings.payload_budget_bytes(),
            ..sched::Settings::default()
        };
        if let Some(resources) = crate::urgent::grant_resources(listing, &self.data_centre) {
            scheduler.grant_resources = resources;
        }
        scheduler
    }

    /// Passes a changed configuration on; a removal from service is in force here once the scheduler has it.
    pub(super) fn configure(&mut self, ctx: &mut Context<Self>) {
        let effective = self.shared.published.config().effective.clone();
        let Some(active) = &mut self.active else { return };
        if let Some(config) = effective
            && active.config.as_ref() != Some(&config)
        {
            active.config = Some(config.clone());
            self.feed(Input::Configured { config }, ctx);
        }
    }

    pub(super) fn tick(&mut self, ctx: &mut Context<Self>) {
        if self.active.is_none() {
            return;
        }
        self.configure(ctx);
        let reachable = self.shared.published.is_store_reachable();
        if let Some(active) = &mut self.active
            && active.store_reachable != reachable
        {
            active.store_reachable = reachable;
            self.feed(Input::StoreReachable(reachable), ctx);
        }
        self.feed(Input::Tick, ctx);
    }

    /// Reports draining workers to the scheduler, and starts a new epoch if the platform lists new workers.
    pub(super) fn apply_listing(&mut self, ctx: &mut Context<Self>) {
        let listing = self.shared.published.listing();
        let now_ms = self.shared.clock.now_ms();
        let Some(active) = &mut self.active else { return };
        let mut newly_draining = Vec::new();
        let mut is_new = false;
        for worker in listing
            .workers
            .iter()
            .filter(|worker| worker.data_centre == self.data_centre)
        {
            match active.addresses.get_mut(&worker.id) {
                Some(address) => address.clone_from(&worker.address),
                None => is_new |= worker.state == ListedState::Live,
            }
            if worker.state == ListedState::Live {
                // The scheduler has dropped a draining worker; one that is live again is added like a new one.
                is_new |= active.draining.contains(&worker.id);
            } else if active.draining.insert(worker.id.clone()) {
                newly_draining.push(worker.id.clone());
            }
        }
        let is_due = now_ms.saturating_sub(active.elected_ms) >= MIN_EPOCH_MS;
        for worker in newly_draining {
            self.feed(Input::WorkerDraining { worker }, ctx);
        }
        if is_new && is_due {
            // The set of workers is fixed for an epoch; the next epoch adopts all running work.
            self.hand_over(false, ctx);
        }
    }

    /// Hands the work over to the next lease holder and then releases the lease.
    pub(super) fn hand_over(&mut self, permanently: bool, ctx: &mut Context<Self>) {
        match &mut self.active {
            Some(active) => {
                active.is_stopping_permanently |= permanently;
                if !std::mem::replace(&mut active.is_handing_over, true) {
                    self.feed(Input::Stopping, ctx);
                }
            }
            None => {
                if let Some(elector) = &self.elector {
                    elector.do_send(Release { permanently });
                }
            }
        }
    }

    pub(super) fn publish_stats(&self) {
        let Some(active) = &self.active else { return };
        let stats = active.scheduler.stats();
        let dc = self.data_centre.as_str();
        let set_gauge = |name, value: i64| {
            self.shared
                .metrics
                .scheduler_figures
                .with_label_values(&[dc, name])
                .set(value);
        };
        set_gauge("queued_jobs", stats.queued_jobs.into());
        set_gauge("running_jobs", stats.running_jobs.into());
        set_gauge("total_accelerators", stats.total_accelerators.into());
        set_gauge("used_accelerators", stats.used_accelerators.into());
        set_gauge("fragmentation_permille", (stats.fragmentation_ratio * 1_000.0) as i64);
        set_gauge("largest_gang_accelerators", stats.largest_gang_accelerators.into());
        set_gauge("quarantined_workers", stats.quarantined_workers.into());
        set_gauge("lost_guarantees", stats.lost_guarantees.into());
        let free = stats.total_accelerators.saturating_sub(stats.used_accelerators);
        self.shared.published.free_accelerators.send_modify(|all| {
            all.insert(self.data_centre.clone(), free);
        });
    }
}
