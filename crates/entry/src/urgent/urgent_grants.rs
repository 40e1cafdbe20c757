use std::time::Duration;

use actix_rt::time::sleep;
use futures_util::future::join_all;
use model::{DataCentreId, LeaseId, RenewRequest, Resources, WorkerId};
use net::peer::{GrantUpdate, UpdateGrantsReply, UpdateGrantsRequest};
use store::{ListedState, Listing};
use trace::{Event, EventKind};

use super::probe::revoke;
use super::urgent_core::UrgentCore;

/// Interval of checking whether all grants are released in a planned stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Wait for the scheduler's next query, whose reply reports the released grants.
const FINAL_REPORT_WAIT: Duration = Duration::from_millis(1_200);

/// Maintenance of the grants.
impl UrgentCore {
    /// Applies new and recalled grants and reports those that ended.
    pub(super) fn update_grants(&self, request: &UpdateGrantsRequest) -> UpdateGrantsReply {
        let now_ms = self.shared.clock.now_ms();
        for update in &request.updates {
            let (Ok(worker), Ok(lease)) = (update.worker.parse(), update.lease.parse()) else {
                continue;
            };
            if update.recall {
                self.pool.borrow_mut().recall(lease);
            } else {
                self.pool.borrow_mut().add(now_ms, worker, lease, resources_of(update));
                self.wake_next();
            }
        }
        self.publish_slots();
        let ended = self.pool.borrow_mut().ended(now_ms);
        let released = ended.into_iter().map(|(worker, lease)| GrantUpdate {
            worker: worker.to_string(),
            lease: lease.to_string(),
            recall: true,
            ..GrantUpdate::default()
        });
        UpdateGrantsReply {
            released: released.collect(),
            wanted_slots: self.wanted_slots(),
        }
    }

    fn wanted_slots(&self) -> u32 {
        if self.shared.published.is_stopping() {
            return 0;
        }
        let (_, busy) = self.pool.borrow().slots();
        let now_ms = self.shared.clock.now_ms();
        let demand = busy + self.waiting_count() as u32;
        let idle = self.shared.settings.urgent_slots_per_instance as u32;
        self.demand.borrow_mut().wanted(now_ms, demand, idle)
    }

    /// Renews all grants with one request for each worker, drops expired ones and revokes recalled ones.
    pub(super) async fn renew(&self) {
        let listing = self.shared.published.listing();
        for worker in &listing.workers {
            if worker.state == ListedState::Leaving {
                self.pool.borrow_mut().recall_worker(&worker.id);
            }
        }
        let by_worker = self.pool.borrow().by_worker();
        let renewals = by_worker
            .into_iter()
            .map(|(worker, leases)| self.renew_at(worker, leases));
        join_all(renewals).await;
        let now_ms = self.shared.clock.now_ms();
        let expired = self
            .pool
            .borrow()
            .expired(now_ms, self.shared.settings.slot_lease_ttl_ms);
        for (worker, lease) in expired {
            self.end(worker, lease, "expired");
        }
        self.revoke_recalled().await;
        self.publish_slots();
    }

    async fn renew_at(&self, worker: WorkerId, leases: Vec<LeaseId>) {
        let request = RenewRequest {
            epoch: leases.iter().map(|lease| lease.epoch).max().unwrap_or_default(),
            leases,
            ttl_ms: self.shared.settings.slot_lease_ttl_ms,
            // Each urgent task is awaited separately, so no task changes are requested.
            after_sequence: u64::MAX,
        };
        let base_url = self.address_of(&worker);
        let Ok(report) = self.clients.workers.renew(&base_url, &worker, &request).await else {
            return;
        };
        let now_ms = self.shared.clock.now_ms();
        if report.leaving {
            self.pool.borrow_mut().recall_worker(&worker);
        }
        for lease in request.leases {
            if report.lapsed.contains(&lease) {
                self.end(worker.clone(), lease, "lapsed");
            } else {
                self.pool.borrow_mut().confirm(now_ms, lease);
            }
        }
    }

    fn end(&self, worker: WorkerId, lease: LeaseId, cause: &str) {
        let event = Event::new(EventKind::GrantEnded).worker(worker.clone()).lease(lease);
        self.shared.timeline.push(event.cause(cause));
        self.pool.borrow_mut().end(self.shared.clock.now_ms(), worker, lease);
    }

    /// Revokes unused recalled grants, so that their slots are free at once.
    async fn revoke_recalled(&self) {
        let recalled = self.pool.borrow_mut().take_recalled();
        let revocations = recalled.into_iter().map(|(worker, lease)| async move {
            let base_url = self.address_of(&worker);
            // Without a reply the lease expires by itself.
            let _ = revoke(&self.clients.workers, &base_url, &worker, lease).await;
            self.end(worker, lease, "recalled");
        });
        join_all(revocations).await;
    }

    /// Finishes what is in flight and releases all grants, within the stop timeout.
    pub(super) async fn stop(&self) {
        let until_ms = self.shared.clock.now_ms() + self.shared.settings.stop_timeout_ms;
        loop {
            self.pool.borrow_mut().recall_all();
            self.revoke_recalled().await;
            let is_idle =
                self.pool.borrow().is_empty() && self.pending_final_writes.get() == 0 && self.recorder.is_idle();
            if is_idle || self.shared.clock.now_ms() >= until_ms {
                break;
            }
            sleep(STOP_POLL_INTERVAL).await;
        }
        self.publish_slots();
        if !self.pool.borrow_mut().ended(self.shared.clock.now_ms()).is_empty() {
            sleep(FINAL_REPORT_WAIT).await;
        }
    }
}

const fn resources_of(update: &GrantUpdate) -> Resources {
    Resources::new(
        update.slots as u16,
        update.accelerators as u16,
        update.cpu_milli,
        update.memory_mib,
    )
}

/// Returns the resources of one grant in a data centre: a slot with its share of the smallest worker.
pub(crate) fn grant_resources(listing: &Listing, data_centre: &DataCentreId) -> Option<Resources> {
    let local_workers = listing
        .workers
        .iter()
        .filter(|worker| worker.data_centre == *data_centre);
    let smallest = local_workers
        .map(|worker| worker.capacity)
        .min_by_key(|capacity| capacity.cpu_milli)?;
    let slots = u32::from(smallest.slots.max(1));
    let accelerators = (u32::from(smallest.accelerators) / slots).max(1);
    Some(Resources::new(
        1,
        accelerators.min(smallest.accelerators.into()) as u16,
        smallest.cpu_milli / slots,
        smallest.memory_mib / slots,
    ))
}
