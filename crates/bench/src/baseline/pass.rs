use std::{cmp::Reverse, collections::BinaryHeap};

use model::{Class, Refusal, Resources, Shape};
use policy::{Decision, JobKey, Stats};

use super::{CountQuota, Fit, account::Account, job::Job, node::Node, queue::QueueKey};

/// Waiting job with its position in the pass; the heap yields the lowest rank and queue key first.
type Candidate = Reverse<(Rank, QueueKey, usize, JobKey)>;

/// Rank of a waiting job; lower ranks are tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Urgent,
    BelowGuarantee,
    Rest,
}

/// State of a pass; a need that did not fit cannot fit later in it, since free capacity only shrinks.
#[derive(Debug, Default)]
struct PassState {
    /// Shapes and needs that did not fit, and whether the job was idempotent, so that it could run as a probe.
    failed: Vec<(Shape, Resources, bool)>,
    free_accelerators: u32,
}

impl PassState {
    /// Returns whether a job with an equal or smaller need did not fit in this pass.
    fn has_failed(&self, job: &Job) -> bool {
        self.failed.iter().any(|(shape, part, idempotent)| {
            shape.adjacency == job.shape.adjacency
                && shape.parts <= job.shape.parts
                && job.part.fits(*part)
                && (*idempotent || !job.idempotent)
        })
    }
}

/// Result of trying to start one job.
enum TryOutcome {
    LeftQueue,
    Blocked,
    BlockedAlone,
}

impl<F: Fit> CountQuota<F> {
    /// Starts what fits, in order of rank, priority and arrival.
    pub(super) fn pass(&mut self, now_ms: u64) {
        let newly_queued = std::mem::take(&mut self.newly_queued);
        if !self.capacity_freed && newly_queued.is_empty() {
            return;
        }
        let mut pass_state = PassState {
            failed: Vec::new(),
            free_accelerators: self.nodes.free_accelerators(),
        };
        let mut candidates: BinaryHeap<Candidate> = BinaryHeap::new();
        let is_full_pass = std::mem::take(&mut self.capacity_freed);
        if is_full_pass {
            let buckets: Vec<usize> = self.queue.non_empty().collect();
            candidates.extend(buckets.into_iter().filter_map(|bucket| self.candidate(bucket, None)));
        } else {
            candidates.extend(
                newly_queued
                    .into_iter()
                    .filter_map(|key| self.newly_queued_candidate(key)),
            );
        }
        while let Some(Reverse((_, queue_key, bucket, key))) = candidates.pop() {
            let next = match self.try_start(now_ms, key, &mut pass_state) {
                TryOutcome::LeftQueue | TryOutcome::BlockedAlone if is_full_pass => {
                    self.candidate(bucket, Some(queue_key))
                }
                TryOutcome::LeftQueue | TryOutcome::BlockedAlone | TryOutcome::Blocked => None,
            };
            candidates.extend(next);
        }
    }

    fn rank(&self, key: JobKey) -> Rank {
        let job = &self.jobs[key];
        if job.class == Class::Urgent {
            Rank::Urgent
        } else if self.accounts[job.organisation].is_guaranteed(job.accelerators()) {
            Rank::BelowGuarantee
        } else {
            Rank::Rest
        }
    }

    fn candidate(&self, bucket: usize, after: Option<QueueKey>) -> Option<Candidate> {
        let (queue_key, key) = self.queue.after(bucket, after)?;
        Some(Reverse((self.rank(key), queue_key, bucket, key)))
    }

    fn newly_queued_candidate(&self, key: JobKey) -> Option<Candidate> {
        let job = self.jobs.get(key).filter(|job| job.workers.is_empty())?;
        Some(Reverse((self.rank(key), job.queue_key, job.bucket, key)))
    }

    fn try_start(&mut self, now_ms: u64, key: JobKey, pass_state: &mut PassState) -> TryOutcome {
        let rank = self.rank(key);
        let job = &self.jobs[key];
        if job.deadline_at_ms.is_some_and(|deadline_ms| now_ms > deadline_ms) {
            self.dequeue(key);
            self.jobs.remove(key);
            self.pending_decisions.push(Decision::Refuse {
                job: key,
                refusal: Refusal::DeadlinePassed,
            });
            return TryOutcome::LeftQueue;
        }
        let account = &self.accounts[job.organisation];
        if account.used + job.accelerators() > account.quota {
            return TryOutcome::Blocked;
        }
        if rank == Rank::Rest && !self.leaves_reserved(key, pass_state.free_accelerators) {
            return TryOutcome::Blocked;
        }
        let place = || {
            if pass_state.has_failed(job) {
                None
            } else {
                self.nodes.place::<F>(job.need())
            }
        };
        if let Some(workers) = place() {
            pass_state.free_accelerators = pass_state.free_accelerators.saturating_sub(job.accelerators());
            self.dequeue(key);
            let keys = self.keys_of(&workers);
            self.allocate(key, workers);
            self.pending_decisions.push(Decision::Start {
                job: key,
                workers: keys,
            });
            return TryOutcome::LeftQueue;
        }
        let excluded = !job.failed_on.is_empty();
        if !excluded && !pass_state.has_failed(job) {
            pass_state.failed.push((job.shape, job.part, job.idempotent));
        }
        if self.accounts[job.organisation].is_guaranteed(job.accelerators()) {
            self.reclaim(key);
        }
        if excluded {
            TryOutcome::BlockedAlone
        } else {
            TryOutcome::Blocked
        }
    }

    /// Returns whether enough accelerators stay free, by count, for the jobs that wait for preempted borrowers.
    fn leaves_reserved(&self, key: JobKey, free: u32) -> bool {
        let waits = |other: &&JobKey| {
            let job = &self.jobs[**other];
            **other != key && self.accounts[job.organisation].is_guaranteed(job.accelerators())
        };
        let reclaimers = self.reclaimers.iter().filter(waits);
        let reserved: u32 = reclaimers.map(|other| self.jobs[*other].accelerators()).sum();
        reserved == 0 || free >= reserved + self.jobs[key].accelerators()
    }

    /// Preempts the most recently started borrowers until enough accelerators are free by count.
    ///
    /// If enough are free by count already, or the job did not fit after a first round, its full count is preempted.
    fn reclaim(&mut self, key: JobKey) {
        if self.jobs[key].awaited_victims > 0 {
            return;
        }
        let wanted = self.jobs[key].accelerators();
        let free = self.nodes.free_accelerators();
        let repeated = self.reclaimers.contains(&key);
        let missing = if repeated || free >= wanted {
            wanted
        } else {
            wanted - free
        };
        let victims = self.youngest_borrowers(missing);
        self.jobs[key].awaited_victims = victims.len() as u32;
        if !victims.is_empty() && !repeated {
            self.reclaimers.push(key);
        }
        for victim in victims {
            let job = &mut self.jobs[victim];
            job.preemption_pending = true;
            job.victim_of = Some(key);
            let mode = Self::mode_of(job);
            self.pending_decisions.push(Decision::Preempt { job: victim, mode });
        }
    }

    /// Returns the most recently started preemptible jobs of organisations above their guarantee, until these jobs use
    /// `wanted` accelerators.
    fn youngest_borrowers(&self, wanted: u32) -> Vec<JobKey> {
        let mut borrowed: Vec<u32> = self.accounts.iter().map(Account::borrowed).collect();
        let mut victims = Vec::new();
        let mut found = 0;
        for victim in self.allocated.values().rev() {
            if found >= wanted {
                break;
            }
            let job = &self.jobs[*victim];
            let usable = job.workers.iter().all(|node| self.nodes.all[*node].is_usable());
            if job.preemption_pending || !job.is_preemptible() || !usable || job.accelerators() == 0 {
                continue;
            }
            let left = &mut borrowed[job.organisation];
            if *left > 0 {
                *left = left.saturating_sub(job.accelerators());
                found += job.accelerators();
                victims.push(*victim);
            }
        }
        victims
    }

    /// Computes the statistics for [`Policy::stats`](policy::Policy::stats).
    pub(super) fn compute_stats(&self) -> Stats {
        let in_service = || self.nodes.all.iter().filter(|node| node.up && node.in_service);
        let total: u32 = in_service().map(|node| u32::from(node.capacity.accelerators)).sum();
        let free: u32 = in_service().map(|node| u32::from(node.free.accelerators)).sum();
        let free_of = |node: usize| {
            let node = &self.nodes.all[node];
            if node.is_usable() {
                node.free
            } else {
                Resources::default()
            }
        };
        let largest_gang = self.nodes.layout.data_centres.iter().map(|(_, range)| {
            let empty = |node: &&Node| node.is_usable() && node.free == node.capacity;
            let workers = self.nodes.all[range.clone()].iter().filter(empty);
            workers.map(|node| u32::from(node.capacity.accelerators)).sum()
        });
        let fragmentation_ratio = match self.queue.widest() {
            Some((shape, part)) if free > 0 => {
                let usable = self.nodes.layout.usable_accelerators(shape, part, free_of);
                1.0 - f64::from(usable) / f64::from(free)
            }
            _ => 0.0,
        };
        let quarantined = |node: &&Node| node.health.quarantined_until_ms.is_some();
        Stats {
            queued_jobs: self.queue.len() as u32,
            running_jobs: self.allocated.len() as u32,
            total_accelerators: total,
            used_accelerators: total - free,
            fragmentation_ratio,
            largest_gang_accelerators: largest_gang.max().unwrap_or(0),
            quarantined_workers: self.nodes.all.iter().filter(quarantined).count() as u32,
            lost_guarantees: 0,
        }
    }
}
