use model::Class;
use smallvec::SmallVec;

use crate::amount::Amount;
use crate::arrange::Arrangement;
use crate::job::{Part, PlacementKind, State};
use crate::share::Charge;
use crate::{Decision, GuaranteedShare, JobKey, Preemption, WorkerKey};

impl GuaranteedShare {
    /// Allocates the workers to all parts of a queued job and takes it out of its queue.
    pub(crate) fn allocate(
        &mut self,
        key: JobKey,
        found: &Arrangement<WorkerKey>,
        share: Option<u16>,
        placement_kind: PlacementKind,
    ) {
        self.dequeue(key);
        let amount = self.jobs[key].need();
        let charges: SmallVec<[Charge; 1]> = share.map(|share| Charge { share, amount }).into_iter().collect();
        let parts = found.iter().flat_map(|&(worker, parts)| {
            let charges = charges.clone();
            std::iter::repeat_n(Part { worker, charges }, parts.into())
        });
        self.jobs[key].parts = parts.collect();
        self.jobs[key].placement_kind = placement_kind;
        self.debit_parts(key);
    }

    /// Debits the workers for the job's parts.
    pub(crate) fn debit_parts(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let (organisation, need, evictable) = (job.organisation, job.need(), job.is_evictable());
        let total = need.times(job.parts.len() as u16);
        let urgent = job.class == Class::Urgent;
        let now_ms = self.now_ms;
        for part in job.parts.clone() {
            self.cluster.change(part.worker, |worker| {
                worker.free -= need;
                worker.jobs.push(key);
                part.charges.iter().for_each(|&charge| worker.charge(charge));
                if !evictable {
                    worker.non_evictable += need - part.charged();
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
        let (organisation, need, evictable) = (job.organisation, job.need(), job.is_evictable());
        let stopping = job.state == State::Stopping;
        let urgent = job.class == Class::Urgent;
        let parts = std::mem::take(&mut job.parts);
        job.placement_kind = PlacementKind::Evictable;
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
                if !evictable {
                    worker.non_evictable -= need - part.charged();
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
            self.freed_workers.push(part.worker);
        }
        let total = need.times(parts.len() as u16);
        self.orgs[usize::from(organisation)].usage -= total;
        self.running -= 1;
        if urgent {
            self.urgent.change(nothing - total);
        }
        self.dirty = true;
    }

    /// Puts the job into its queue. A job that is requeued keeps its rank by time of submission.
    pub(crate) fn enqueue(&mut self, key: JobKey) {
        let borrows = self.borrows(self.jobs[key].submitted_ms, key);
        let job = &mut self.jobs[key];
        let org = &mut self.orgs[usize::from(job.organisation)];
        job.state = State::Queued;
        job.queue = job.queue_id(borrows);
        let remaining = job.declared_ms.saturating_sub(job.preserved_ms);
        let delay = match job.class {
            Class::Urgent => 0,
            Class::Deferred if job.preemptions > 0 => 0,
            Class::Deferred => org.correction.expected_run_ms(remaining).min(Self::MAX_RANK_DELAY_MS),
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
        job.preemptions = job.preemptions.saturating_add(1);
        let was_protected = !job.is_evictable();
        job.placement_kind = PlacementKind::Evictable;
        // From now on its share is available to the owner's next job, which may be allocated before this one stops.
        for part in &mut job.parts {
            let before = part.charged();
            let charges = std::mem::take(&mut part.charges);
            for charge in &charges {
                self.shares[usize::from(charge.share)].charged -= charge.amount;
            }
            self.cluster.change(part.worker, |worker| {
                worker.stopping += need;
                charges.iter().for_each(|&charge| worker.charge(charge.negated()));
                if was_protected {
                    worker.non_evictable -= need - before;
                }
                if (was_protected || before == need) && !urgent {
                    worker.borrowers += 1;
                }
            });
        }
        Decision::Preempt { job: key, mode }
    }

    /// Releases the workers of a preemptor that has not started and requeues it.
    pub(crate) fn release_and_requeue(&mut self, key: JobKey) {
        self.release(key);
        self.enqueue(key);
    }

    /// Removes a job and releases what it holds.
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

    /// Takes a queued job out of its queue and emits the decision that gives it up.
    pub(crate) fn give_up(&mut self, key: JobKey, decision: Decision) {
        self.dequeue(key);
        self.jobs[key].state = State::GivenUp;
        self.pending_decisions.push(decision);
    }

    /// Returns whether no worker of the job is overdrawn.
    pub(crate) fn is_covered(&self, key: JobKey) -> bool {
        let parts = &self.jobs[key].parts;
        parts
            .iter()
            .all(|part| !self.cluster.workers[part.worker].free.is_overdrawn())
    }

    /// Returns the decision to start a job that holds its workers.
    pub(crate) fn start(&mut self, now_ms: u64, key: JobKey) -> Decision {
        let job = &mut self.jobs[key];
        job.state = State::Starting;
        job.started_ms = now_ms;
        let workers: SmallVec<[WorkerKey; 4]> = job.parts.iter().map(|part| part.worker).collect();
        let org = &mut self.orgs[usize::from(job.organisation)];
        let class = job.class as usize;
        org.wait_estimators[class].record(now_ms, org.queued[class]);
        for &worker in &workers {
            let dc = &mut self.cluster.dcs[self.cluster.workers[worker].dc];
            if dc.resumed_ms.is_some() {
                dc.starts_since_resume += 1;
            }
        }
        Decision::Start { job: key, workers }
    }

    /// Bound on how much later a shorter job may be submitted and still rank ahead of a long one.
    const MAX_RANK_DELAY_MS: u64 = 120_000;
}
