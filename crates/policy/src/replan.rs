use std::collections::{BTreeMap, BTreeSet};

use model::{Config, Guarantee, OrganisationId, Resources};

use crate::amount::Amount;
use crate::job::State;
use crate::org::Org;
use crate::worker::WorkerStatus;
use crate::{Decision, GuaranteedShare, JobKey, Plan, PlanError, WorkerKey};

impl GuaranteedShare {
    pub(crate) fn apply_config(&mut self, now_ms: u64, config: &Config) -> Result<(), PlanError> {
        config.validate()?;
        let plan_config = self.with_known_data_centres(config);
        // Feasibility is checked against the whole topology: a worker or data centre may be missing by a fault or a
        // planned outage, and neither makes a configuration invalid. No previous plan is used as a hint, so that every
        // instance comes to the same result whatever its history.
        let full_capacity: Vec<Resources> = self.topology.workers().map(|worker| worker.capacity).collect();
        let nominal = Plan::compute(&plan_config, &self.topology, &full_capacity, &Plan::default());
        if let Some(slice) = nominal.slices.iter().find(|slice| slice.is_lost()) {
            return Err(PlanError::DoesNotFit {
                organisation: slice.organisation.clone(),
                shape: slice.shape,
            });
        }
        self.plan_config = self.served_guarantees(plan_config, config);
        self.update_orgs(config);
        let former_in_service: Vec<bool> = self.cluster.dcs.iter().map(|dc| dc.in_service).collect();
        for (dc, &was_in_service) in former_in_service.iter().enumerate() {
            let id = &self.cluster.dcs[dc].id;
            let in_service = config.is_in_service(id) && self.serves(id);
            self.cluster.dcs[dc].in_service = in_service;
            if in_service != was_in_service {
                let members: Vec<WorkerKey> = self.cluster.members(dc).collect();
                for worker in members {
                    self.cluster.change(worker, |worker| worker.in_service = in_service);
                }
                if in_service && self.configured {
                    self.cluster.dcs[dc].resumed_ms = Some(now_ms);
                    self.cluster.dcs[dc].starts_since_resume = 0;
                }
            }
        }
        for (dc, was_in_service) in former_in_service.into_iter().enumerate() {
            if was_in_service && !self.cluster.dcs[dc].in_service {
                self.evacuate(dc);
            }
        }
        self.configured = true;
        self.replan();
        Ok(())
    }

    /// Returns the configuration without guarantees that name a data centre outside of the topology.
    fn with_known_data_centres(&self, config: &Config) -> Config {
        let mut config = config.clone();
        for organisation in &mut config.organisations {
            organisation.guarantees.retain(|guarantee| {
                let dc = guarantee.data_centre.as_ref();
                dc.is_none_or(|dc| self.topology.data_centre(dc).is_some())
            });
        }
        config
    }

    /// Returns the configuration with only the guarantees that the served data centres provide, each pinned to one.
    ///
    /// The division among data centres is computed without a previous plan, so that every scheduler gets the same one.
    fn served_guarantees(&self, plan_config: Config, config: &Config) -> Config {
        if self.served.is_none() {
            return plan_config;
        }
        let usable: Vec<Resources> = (self.topology.data_centres.iter())
            .flat_map(|dc| {
                let in_service = config.is_in_service(&dc.id);
                dc.workers()
                    .map(move |w| if in_service { w.capacity } else { Resources::default() })
            })
            .collect();
        let nominal = Plan::compute(&plan_config, &self.topology, &usable, &Plan::default());
        let data_centre_of_worker: Vec<_> = (self.topology.data_centres.iter())
            .flat_map(|dc| dc.workers().map(|_| &dc.id))
            .collect();
        let mut local = plan_config;
        for organisation in &mut local.organisations {
            let own = nominal
                .slices
                .iter()
                .filter(|slice| slice.organisation == organisation.id);
            let pinned = own.filter_map(|slice| {
                let dc = slice
                    .workers
                    .first()
                    .map(|&(worker, _)| data_centre_of_worker[worker as usize])?;
                self.serves(dc).then(|| Guarantee {
                    shape: slice.shape,
                    count: 1,
                    data_centre: Some(dc.clone()),
                })
            });
            organisation.guarantees = pinned.collect();
        }
        local
    }

    fn update_orgs(&mut self, config: &Config) {
        for org in &mut self.orgs {
            org.listed = false;
        }
        for organisation in &config.organisations {
            let index = self.org_index(&organisation.id);
            let org = &mut self.orgs[usize::from(index)];
            org.listed = true;
            org.weight = organisation.weight;
            org.quota = organisation.quota_accelerators;
            org.queue_limit = organisation.queue_limit;
            org.boost = [0; 2];
        }
        for priority in &config.priorities {
            let index = self.org_index(&priority.organisation);
            let boost = &mut self.orgs[usize::from(index)].boost[priority.class as usize];
            *boost = boost.saturating_add(priority.boost);
        }
    }

    pub(crate) fn org_index(&mut self, id: &OrganisationId) -> u16 {
        if let Some(&index) = self.org_ids.get(id) {
            return index;
        }
        let index = self.orgs.len() as u16;
        self.orgs.push(Org::new());
        self.org_ids.insert(id.clone(), index);
        index
    }

    /// Computes the plan for the workers that are up and applies it to the shares.
    pub(crate) fn replan(&mut self) {
        self.dirty = true;
        if !self.configured {
            return;
        }
        let amounts = |exclude_non_preemptible: bool| -> Vec<Resources> {
            let workers = self.cluster.order.iter().zip(self.topology.workers());
            workers
                .map(|(&key, described)| {
                    let worker = &self.cluster.workers[key];
                    if !self.is_up(key) || !worker.in_service || worker.quarantined {
                        return Resources::default();
                    }
                    let fixed = if exclude_non_preemptible {
                        self.non_preemptible_on(key)
                    } else {
                        Amount::default()
                    };
                    (Amount::from(described.capacity) - fixed).into()
                })
                .collect()
        };
        // Capacity used by non-preemptible work is left out of the plan where possible, as it cannot be reclaimed yet.
        // Only shapes that do not fit otherwise are planned on it, on their previous workers if they had any.
        let mut plan = Plan::compute(&self.plan_config, &self.topology, &amounts(true), &self.plan);
        if plan.lost() > 0 {
            let mut hint = plan.clone();
            hint.slices.extend(self.plan.slices.iter().cloned());
            let overlapping = Plan::compute(&self.plan_config, &self.topology, &amounts(false), &hint);
            if overlapping.lost() < plan.lost() {
                plan = overlapping;
            }
        }
        self.report_lost_guarantees(&plan);
        self.plan = plan;
        self.apply_plan();
    }

    /// Returns what grants and non-preemptible work that is not charged to its owner's share hold on a worker.
    fn non_preemptible_on(&self, key: WorkerKey) -> Amount {
        let worker = &self.cluster.workers[key];
        let jobs: BTreeSet<JobKey> = worker.jobs.iter().copied().collect();
        let fixed = jobs
            .iter()
            .map(|&job| &self.jobs[job])
            .filter(|job| !job.is_preemptible());
        fixed.fold(worker.granted, |sum, job| {
            let here = job.parts.iter().filter(|part| part.worker == key);
            here.fold(sum, |sum, part| sum + job.need() - part.charged())
        })
    }

    fn report_lost_guarantees(&mut self, plan: &Plan) {
        let count = |plan: &Plan| {
            let mut lost = BTreeMap::new();
            for slice in plan.slices.iter().filter(|slice| slice.is_lost()) {
                let shape = slice.shape;
                let key = (shape.parts, shape.accelerators_per_part, shape.adjacency);
                lost.entry((slice.organisation.clone(), key))
                    .or_insert((shape, 0_u32))
                    .1 += 1;
            }
            lost
        };
        let before = count(&self.plan);
        for (key, (shape, lost)) in count(plan) {
            let known = before.get(&key).map_or(0, |entry| entry.1);
            for _ in known..lost {
                self.pending_decisions.push(Decision::GuaranteeLost {
                    organisation: key.0.clone(),
                    shape,
                });
            }
        }
    }

    /// Preempts or requeues the work of a data centre that was taken out of service, as far as it can run elsewhere.
    fn evacuate(&mut self, dc: usize) {
        let members: Vec<WorkerKey> = self.cluster.members(dc).collect();
        self.cancel_reservations(&members);
        // Data centres that this policy does not serve count too, as the scheduler moves the work there.
        let elsewhere = self.plan_config.data_centres.iter().any(|dc| dc.in_service);
        let mut jobs: Vec<JobKey> = (members.iter())
            .flat_map(|&worker| self.cluster.workers[worker].jobs.iter().copied())
            .collect();
        jobs.sort_unstable();
        jobs.dedup();
        for key in jobs {
            let job = &self.jobs[key];
            match job.state {
                State::AwaitingPreemption => self.release_and_requeue(key),
                // Urgent work finishes soon; stopping it would cost its caller the answer.
                State::Starting | State::Running
                    if elsewhere && job.is_preemptible() && job.class == model::Class::Deferred =>
                {
                    let decision = self.preempt(key);
                    self.pending_decisions.push(decision);
                }
                _ => {}
            }
        }
    }

    pub(crate) fn set_status(&mut self, worker: WorkerKey, status: WorkerStatus) {
        if self.cluster.workers[worker].status == status {
            return;
        }
        let before = self.cluster.workers[worker].status;
        self.cluster.change(worker, |worker| worker.status = status);
        if status != WorkerStatus::Up {
            self.cancel_reservations(&[worker]);
            let jobs: Vec<JobKey> = self.cluster.workers[worker].jobs.to_vec();
            for job in jobs {
                if self.jobs[job].state == State::AwaitingPreemption {
                    self.release_and_requeue(job);
                }
            }
        }
        self.dirty = true;
        let has_share = !self.cluster.workers[worker].portions.is_empty();
        if (before == WorkerStatus::Up) != (status == WorkerStatus::Up) && (has_share || self.plan.lost() > 0) {
            self.replan();
        }
    }
}
