use std::collections::BTreeSet;

use smallvec::SmallVec;

use crate::amount::Amount;
use crate::job::{Job, Standing, State};
use crate::share::{Charge, Portion, Share};
use crate::{GuaranteedShare, JobKey, Plan, WorkerKey};

impl GuaranteedShare {
    /// Replaces the shares of all workers and charges running work to them again.
    pub(crate) fn enter_plan(&mut self) {
        let mut portions: Vec<Vec<Portion>> = vec![Vec::new(); self.cluster.order.len()];
        let mut shares: Vec<Share> = Vec::new();
        for slice in self.plan.slices.iter().filter(|slice| !slice.is_lost()) {
            let organisation = self.org_ids[&slice.organisation];
            let shape = slice.shape;
            let known = shares
                .iter()
                .position(|share| share.organisation == organisation && share.shape == shape);
            let index = known.unwrap_or_else(|| {
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
            self.recharge(key);
        }
        self.demote_firm_work();
        self.is_obstructed = self.cluster.order.iter().any(|&worker| {
            let worker = &self.cluster.workers[worker];
            !worker.portions.is_empty() && (worker.capacity - worker.guaranteed - worker.hard).is_overdrawn()
        });
        self.recall_claimants();
    }

    /// Lets work that can be preempted be ended for owners where the new plan put shares under it.
    fn demote_firm_work(&mut self) {
        let overlapping = self.cluster.order.iter().filter(|&&worker| {
            let worker = &self.cluster.workers[worker];
            (worker.capacity - worker.guaranteed - worker.hard).is_overdrawn()
        });
        let firm = overlapping
            .flat_map(|&worker| self.cluster.workers[worker].jobs.iter().copied())
            .filter(|&job| {
                let job = &self.jobs[job];
                job.is_preemptible() && job.standing == Standing::Firm
            });
        for job in firm.collect::<BTreeSet<JobKey>>() {
            self.jobs[job].standing = Standing::Evictable;
            for part in self.jobs[job].parts.clone() {
                self.recharge(part.worker);
            }
        }
    }

    /// Returns claimants to the queue whose claim the new plan turned into an obstacle for another owner.
    fn recall_claimants(&mut self) {
        let of_workers = self
            .cluster
            .order
            .iter()
            .filter(|&&worker| !self.cluster.workers[worker].portions.is_empty());
        let mut claimants: Vec<JobKey> = of_workers
            .flat_map(|&worker| self.cluster.workers[worker].jobs.iter().copied())
            .filter(|&job| {
                let job = &self.jobs[job];
                job.state == State::Claiming
                    && !job.is_evictable()
                    && job.parts.iter().any(|part| part.charged() != job.need())
            })
            .collect();
        claimants.sort_unstable();
        claimants.dedup();
        for job in claimants {
            self.unclaim(job);
        }
    }

    /// Charges the work on a worker to the shares there from the start.
    pub(crate) fn recharge(&mut self, key: WorkerKey) {
        let mut jobs: Vec<JobKey> = self.cluster.workers[key].jobs.to_vec();
        jobs.sort_unstable();
        jobs.dedup();
        let portions = &self.cluster.workers[key].portions;
        let planned = |job: &Job| {
            portions
                .iter()
                .any(|portion| portion.organisation == job.organisation && portion.shape == job.shape)
        };
        // Work that cannot be preempted comes first, because it blocks the share of another if it is left outside.
        jobs.sort_by_key(|&job| (self.jobs[job].is_evictable(), !planned(&self.jobs[job])));
        for portion in portions {
            self.shares[usize::from(portion.share)].charged -= portion.charged;
        }
        let (arena, shares) = (&mut self.jobs, &mut self.shares);
        self.cluster.change(key, |worker| {
            let portions = &mut worker.portions;
            portions
                .iter_mut()
                .for_each(|portion| portion.charged = Amount::default());
            worker.guaranteed = portions
                .iter()
                .fold(Amount::default(), |sum, portion| sum + portion.guaranteed);
            worker.unclaimed = worker.guaranteed;
            worker.hard = worker.granted;
            worker.borrowers = 0;
            for job in jobs {
                let job = &mut arena[job];
                let (need, preemptible) = (job.need(), job.is_evictable());
                let here = job.parts.iter().filter(|part| part.worker == key).count() as u16;
                let mut own: SmallVec<[Portion; 2]> = worker.portions.clone();
                own.retain(|portion| portion.organisation == job.organisation && job.state != State::Stopping);
                own.sort_by_key(|portion| portion.shape != job.shape);
                if preemptible {
                    own.retain(|portion| worker.entitlement(portion.share).fits(need.times(here)));
                }
                for part in job.parts.iter_mut().filter(|part| part.worker == key) {
                    part.charges.clear();
                    let mut rest = need;
                    for portion in &own {
                        let charge = Charge {
                            share: portion.share,
                            amount: rest.min(worker.entitlement(portion.share)),
                        };
                        if charge.amount != Amount::default() {
                            worker.charge(charge);
                            shares[usize::from(charge.share)].charged += charge.amount;
                            part.charges.push(charge);
                            rest -= charge.amount;
                        }
                    }
                    if !preemptible {
                        worker.hard += rest;
                    } else if rest == need && job.class == model::Class::Deferred {
                        worker.borrowers += 1;
                    }
                }
            }
        });
    }
}
