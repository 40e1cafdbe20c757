use std::collections::BTreeSet;

use smallvec::SmallVec;

use crate::amount::Amount;
use crate::job::{Job, PlacementKind, State};
use crate::share::{Charge, Portion, Share};
use crate::{GuaranteedShare, JobKey, Plan, WorkerKey};

impl GuaranteedShare {
    /// Replaces the shares of all workers by those of the plan and recomputes what running work is charged.
    pub(crate) fn apply_plan(&mut self) {
        let mut portions: Vec<Vec<Portion>> = vec![Vec::new(); self.cluster.order.len()];
        let mut shares: Vec<Share> = Vec::new();
        for slice in self.plan.slices.iter().filter(|slice| !slice.is_lost()) {
            let organisation = self.org_ids[&slice.organisation];
            let shape = slice.shape;
            let existing = shares
                .iter()
                .position(|share| share.organisation == organisation && share.shape == shape);
            let index = existing.unwrap_or_else(|| {
                shares.push(Share {
                    organisation,
                    shape,
                    guaranteed: Amount::default(),
                    charged: Amount::default(),
                    workers: Vec::new(),
                });
                shares.len() - 1
            });
            for &(position, parts) in &slice.workers {
                let worker = &self.cluster.workers[self.cluster.order[position as usize]];
                let amount = Amount::from(Plan::need_on(shape, worker.capacity.into())).times(parts);
                let list = &mut portions[position as usize];
                match list.iter_mut().find(|portion| usize::from(portion.share) == index) {
                    Some(portion) => portion.guaranteed += amount,
                    None => list.push(Portion {
                        share: index as u16,
                        organisation,
                        shape,
                        guaranteed: amount,
                        charged: Amount::default(),
                    }),
                }
                shares[index].guaranteed += amount;
            }
        }
        for (position, list) in portions.iter().enumerate() {
            for portion in list {
                shares[usize::from(portion.share)]
                    .workers
                    .push(self.cluster.order[position]);
            }
        }
        for org in &mut self.orgs {
            org.guaranteed = Amount::default();
            org.shares.clear();
        }
        let mut order: Vec<usize> = (0..shares.len()).collect();
        order.sort_by_key(|&index| (shares[index].shape.accelerators(), index));
        for index in order {
            let org = &mut self.orgs[usize::from(shares[index].organisation)];
            org.guaranteed += shares[index].guaranteed;
            org.shares.push(index as u16);
        }
        self.shares = shares;
        for (position, list) in portions.into_iter().enumerate() {
            let key = self.cluster.order[position];
            let worker = &mut self.cluster.workers[key];
            if list.is_empty() && worker.portions.is_empty() {
                continue;
            }
            worker.portions = list.into_iter().collect();
            self.recompute_charges(key);
        }
        self.make_overlapping_work_evictable();
        self.has_blocked_shares = self.cluster.order.iter().any(|&worker| {
            let worker = &self.cluster.workers[worker];
            !worker.portions.is_empty() && (worker.capacity - worker.guaranteed - worker.non_evictable).is_overdrawn()
        });
        self.requeue_blocked_preemptors();
    }

    /// Makes preemptible jobs evictable on workers where the new plan guarantees capacity that they use.
    fn make_overlapping_work_evictable(&mut self) {
        let overlapping = self.cluster.order.iter().filter(|&&worker| {
            let worker = &self.cluster.workers[worker];
            (worker.capacity - worker.guaranteed - worker.non_evictable).is_overdrawn()
        });
        let protected = overlapping
            .flat_map(|&worker| self.cluster.workers[worker].jobs.iter().copied())
            .filter(|&job| {
                let job = &self.jobs[job];
                job.is_preemptible() && job.placement_kind == PlacementKind::Protected
            });
        for job in protected.collect::<BTreeSet<JobKey>>() {
            self.jobs[job].placement_kind = PlacementKind::Evictable;
            for part in self.jobs[job].parts.clone() {
                self.recompute_charges(part.worker);
            }
        }
    }

    /// Requeues waiting preemptors whose allocation now blocks a share that the new plan gives to another owner.
    fn requeue_blocked_preemptors(&mut self) {
        let of_workers = self
            .cluster
            .order
            .iter()
            .filter(|&&worker| !self.cluster.workers[worker].portions.is_empty());
        let mut preemptors: Vec<JobKey> = of_workers
            .flat_map(|&worker| self.cluster.workers[worker].jobs.iter().copied())
            .filter(|&job| {
                let job = &self.jobs[job];
                job.state == State::AwaitingPreemption
                    && !job.is_evictable()
                    && job.parts.iter().any(|part| part.charged() != job.need())
            })
            .collect();
        preemptors.sort_unstable();
        preemptors.dedup();
        for job in preemptors {
            self.release_and_requeue(job);
        }
    }

    /// Recomputes from scratch which work on a worker is charged to which share.
    pub(crate) fn recompute_charges(&mut self, key: WorkerKey) {
        let mut jobs: Vec<JobKey> = self.cluster.workers[key].jobs.to_vec();
        jobs.sort_unstable();
        jobs.dedup();
        let portions = &self.cluster.workers[key].portions;
        let has_share_for = |job: &Job| {
            portions
                .iter()
                .any(|portion| portion.organisation == job.organisation && portion.shape == job.shape)
        };
        // Non-preemptible work is charged first, because outside of its share it blocks the share of another owner.
        jobs.sort_by_key(|&job| (self.jobs[job].is_evictable(), !has_share_for(&self.jobs[job])));
        for portion in portions {
            self.shares[usize::from(portion.share)].charged -= portion.charged;
        }
        let (jobs_by_key, shares) = (&mut self.jobs, &mut self.shares);
        self.cluster.change(key, |worker| {
            let portions = &mut worker.portions;
            portions
                .iter_mut()
                .for_each(|portion| portion.charged = Amount::default());
            worker.guaranteed = portions
                .iter()
                .fold(Amount::default(), |sum, portion| sum + portion.guaranteed);
            worker.uncharged = worker.guaranteed;
            worker.non_evictable = worker.granted;
            worker.borrowers = 0;
            for job in jobs {
                let job = &mut jobs_by_key[job];
                let (need, evictable) = (job.need(), job.is_evictable());
                let here = job.parts.iter().filter(|part| part.worker == key).count() as u16;
                let mut own_portions: SmallVec<[Portion; 2]> = worker.portions.clone();
                own_portions.retain(|portion| portion.organisation == job.organisation && job.state != State::Stopping);
                own_portions.sort_by_key(|portion| portion.shape != job.shape);
                if evictable {
                    own_portions.retain(|portion| worker.remaining_share(portion.share).fits(need.times(here)));
                }
                for part in job.parts.iter_mut().filter(|part| part.worker == key) {
                    part.charges.clear();
                    let mut uncharged_need = need;
                    for portion in &own_portions {
                        let charge = Charge {
                            share: portion.share,
                            amount: uncharged_need.min(worker.remaining_share(portion.share)),
                        };
                        if charge.amount != Amount::default() {
                            worker.charge(charge);
                            shares[usize::from(charge.share)].charged += charge.amount;
                            part.charges.push(charge);
                            uncharged_need -= charge.amount;
                        }
                    }
                    if !evictable {
                        worker.non_evictable += uncharged_need;
                    } else if uncharged_need == need && job.class == model::Class::Deferred {
                        worker.borrowers += 1;
                    }
                }
            }
        });
    }
}
