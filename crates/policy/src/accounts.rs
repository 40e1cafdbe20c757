use model::Class;
use smallvec::SmallVec;

use crate::amount::Amount;
use crate::arrange::Arrangement;
use crate::job::{Part, Standing, State};
use crate::share::Charge;
use crate::{Decision, GuaranteedShare, JobKey, Preemption, WorkerKey};

impl GuaranteedShare {
    /// Debits the workers for all parts of a queued job and takes it out of its queue.
    pub(crate) fn hold(&mut self, key: JobKey, found: &Arrangement<WorkerKey>, share: Option<u16>, standing: Standing) {
        self.dequeue(key);
        let amount = self.jobs[key].need();
        let charges: SmallVec<[Charge; 1]> = share.map(|share| Charge { share, amount }).into_iter().collect();
        let parts = found.iter().flat_map(|&(worker, parts)| {
            let charges = charges.clone();
            std::iter::repeat_n(Part { worker, charges }, parts.into())
        });
        self.jobs[key].parts = parts.collect();
        self.jobs[key].standing = standing;
        self.enter_parts(key);
    }

    /// Debits the workers for the parts that the job lists.
    pub(crate) fn enter_parts(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let (organisation, need, preemptible) = (job.organisation, job.need(), job.is_evictable());
        let total = need.times(job.parts.len() as u16);
        let urgent = job.class == Class::Urgent;
        let now_ms = self.now_ms;
        for part in job.parts.clone() {
            self.cluster.change(part.worker, |worker| {
                worker.free -= need;
                worker.jobs.push(key);
                part.charges.iter().for_each(|&charge| worker.charge(charge));
                if !preemptible {
                    worker.hard += need - part.charged();
                } else if !urgent && part.charged() != need {
                    worker.borrowers += 1;
                    worker.borrowed_ms = now_ms;
                }
            });
            for charge in &part.charges {
                self.shares[usize::from(charge.share)].charged += charge.amount;
            }
        }
        self.orgs[usize::from(organisation)].usage += total;
        self.running += 1;
        if urgent {
            self.urgent.change(total);
        }
    }

    /// Credits the workers for all parts of a job that holds resources.
    pub(crate) fn release(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let (organisation, need, preemptible) = (job.organisation, job.need(), job.is_evictable());
        let stopping = job.state == State::Stopping;
        let urgent = job.class == Class::Urgent;
        let parts = std::mem::take(&mut job.parts);
        job.standing = Standing::Evictable;
        let nothing = Amount::default();
        for part in &parts {
            self.cluster.change(part.worker, |worker| {
                worker.free += need;
                if let Some(position) = worker.jobs.iter().position(|&other| other == key) {
                    worker.jobs.swap_remove(position);
                }
                if stopping {
                    worker.stopping -= need;
                }
                part.charges.iter().for_each(|&charge| worker.charge(charge.negated()));
                if !preemptible {
                    worker.hard -= need - part.charged();
                } else if !urgent && part.charged() != need {
                    worker.borrowers -= 1;
                }
                if worker.health.probe == Some(key) {
                    worker.health.probe = None;
                }
            });
            for charge in &part.charges {
                self.shares[usize::from(charge.share)].charged -= charge.amount;
            }
            self.touched.push(part.worker);
        }
        let total = need.times(parts.len() as u16);
        self.orgs[usize::from(organisation)].usage -= total;
        self.running -= 1;
        if urgent {
            self.urgent.change(nothing - total);
        }
        self.dirty = true;
    }

    /// Puts the job into its queue. It keeps its place by time of submission.
    pub(crate) fn enqueue(&mut self, key: JobKey) {
        let borrows = self.borrows(self.jobs[key].submitted_ms, key);
        let job = &mut self.jobs[key];
        let org = &mut self.orgs[usize::from(job.organisation)];
        job.state = State::Queued;
        job.queue = job.queue_id(borrows);
        let remaining = job.declared_ms.saturating_sub(job.preserved_ms);
        let delay = match job.class {
            Class::Urgent => 0,
            Class::Deferred if job.moves > 0 => 0,
            Class::Deferred => org.correction.corrected_ms(remaining).min(Self::MAX_RANK_DELAY_MS),
        };
        job.rank = (u8::MAX - job.priority, job.submitted_ms + delay, job.sequence);
        org.push(job.queue, job.rank, key);
        let shape = job.shape;
        *self
            .waiting
            .entry((shape.accelerators(), shape.parts, shape.adjacency))
            .or_default() += 1;
        if let Some(deadline) = job.deadline_at_ms {
            self.deadlines.insert((deadline, key));
        }
        self.dirty = true;
    }

    pub(crate) fn dequeue(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        if job.state != State::Queued {
            return;
        }
        self.orgs[usize::from(job.organisation)].remove(job.queue, job.rank);
        let shape = job.shape;
        let entry = (shape.accelerators(), shape.parts, shape.adjacency);
        if let Some(count) = self.waiting.get_mut(&entry) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(&entry);
            }
        }
        if let Some(deadline) = job.deadline_at_ms {
            self.deadlines.remove(&(deadline, key));
        }
        self.cancel_reservation_of(key);
    }

    /// Marks a running job as stopping and returns the decision.
    pub(crate) fn preempt(&mut self, key: JobKey) -> Decision {
        let job = &mut self.jobs[key];
        job.state = State::Stopping;
        let need = job.need();
        let urgent = job.class == Class::Urgent;
        let mode = if job.checkpointable {
            Preemption::Checkpoint
        } else {
            Preemption::Stop
        };
        job.moves = job.moves.saturating_add(1);
        let was_firm = !job.is_evictable();
        job.standing = Standing::Evictable;
        // Its share is free for the owner's next job from now on, as a claim on it is.
        for part in &mut job.parts {
            let before = part.charged();
            let charges = std::mem::take(&mut part.charges);
            for charge in &charges {
                self.shares[usize::from(charge.share)].charged -= charge.amount;
            }
            self.cluster.change(part.worker, |worker| {
                worker.stopping += need;
                charges.iter().for_each(|&charge| worker.charge(charge.negated()));
                if was_firm {
                    worker.hard -= need - before;
                }
                if (was_firm || before == need) && !urgent {
                    worker.borrowers += 1;
                }
            });
        }
        Decision::Preempt { job: key, mode }
    }

    /// Returns a claimant that has not started to its queue.
    pub(crate) fn unclaim(&mut self, key: JobKey) {
        self.release(key);
        self.enqueue(key);
    }

    /// Forgets a job.
    pub(crate) fn forget(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.holds_resources() {
            self.release(key);
        } else {
            self.dequeue(key);
        }
        self.jobs.remove(key);
    }

    /// Takes a queued job out of its queue and returns the decision that gives it up.
    pub(crate) fn give_up(&mut self, key: JobKey, decision: Decision) {
        self.dequeue(key);
        self.jobs[key].state = State::GivenUp;
        self.outbox.push(decision);
    }

    /// Returns whether all debits on the workers of a claimant are covered.
    pub(crate) fn is_covered(&self, key: JobKey) -> bool {
        let parts = &self.jobs[key].parts;
        parts
            .iter()
            .all(|part| !self.cluster.workers[part.worker].free.is_overdrawn())
    }

    /// Returns the start of a job that holds its workers.
    pub(crate) fn start(&mut self, now_ms: u64, key: JobKey) -> Decision {
        let job = &mut self.jobs[key];
        job.state = State::Starting;
        job.started_ms = now_ms;
        let workers: SmallVec<[WorkerKey; 4]> = job.parts.iter().map(|part| part.worker).collect();
        let org = &mut self.orgs[usize::from(job.organisation)];
        let class = job.class as usize;
        org.waits[class].record(now_ms, org.queued[class]);
        for &worker in &workers {
            let dc = &mut self.cluster.dcs[self.cluster.workers[worker].dc];
            if dc.resumed_ms.is_some() {
                dc.started_since += 1;
            }
        }
        Decision::Start { job: key, workers }
    }

    /// Longest delay of a long job behind shorter ones that were submitted later.
    const MAX_RANK_DELAY_MS: u64 = 120_000;
}
