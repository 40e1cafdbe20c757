use std::{cmp::Reverse, collections::BinaryHeap};

use model::{Class, Refusal, Resources, Shape};
use policy::{Decision, JobKey, Stats};

use super::{CountQuota, Fit, account::Account, job::Job, node::Node, queue::Turn};

/// Waiting job in the order in which it is tried; the greatest goes first.
type Candidate = Reverse<(Rank, Turn, usize, JobKey)>;

/// Rank of a waiting job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Urgent,
    BelowGuarantee,
    Rest,
}

/// What a pass has found out so far; free capacity only shrinks during a pass.
#[derive(Debug, Default)]
struct Seen {
    /// Shapes and needs that did not fit, with whether probes were allowed.
    failed: Vec<(Shape, Resources, bool)>,
    free_accelerators: u32,
}

impl Seen {
    /// Returns whether a need that is nowhere larger did not fit.
    fn has_failed(&self, job: &Job) -> bool {
        self.failed.iter().any(|(shape, part, idempotent)| {
            shape.adjacency == job.shape.adjacency
                && shape.parts <= job.shape.parts
                && job.part.fits(*part)
                && (*idempotent || !job.idempotent)
        })
    }
}

/// Result of trying one job.
enum Tried {
    Left,
    Blocked,
    BlockedAlone,
}

impl<F: Fit> CountQuota<F> {
    /// Starts what fits, in order of rank, priority and arrival.
    pub(super) fn pass(&mut self, now_ms: u64) {
        let fresh = std::mem::take(&mut self.fresh);
        if !self.freed && fresh.is_empty() {
            return;
        }
        let mut seen = Seen {
            failed: Vec::new(),
            free_accelerators: self.nodes.free_accelerators(),
        };
        let mut candidates: BinaryHeap<Candidate> = BinaryHeap::new();
        let full = std::mem::take(&mut self.freed);
        if full {
            let buckets: Vec<usize> = self.queue.filled().collect();
            candidates.extend(buckets.into_iter().filter_map(|bucket| self.candidate(bucket, None)));
        } else {
            candidates.extend(fresh.into_iter().filter_map(|key| self.fresh_candidate(key)));
        }
        while let Some(Reverse((_, turn, bucket, key))) = candidates.pop() {
            let next = match self.try_start(now_ms, key, &mut seen) {
                Tried::Left | Tried::BlockedAlone if full => self.candidate(bucket, Some(turn)),
                Tried::Left | Tried::BlockedAlone | Tried::Blocked => None,
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

    fn candidate(&self, bucket: usize, after: Option<Turn>) -> Option<Candidate> {
        let (turn, key) = self.queue.after(bucket, after)?;
        Some(Reverse((self.rank(key), turn, bucket, key)))
    }

    fn fresh_candidate(&self, key: JobKey) -> Option<Candidate> {
        let job = self.jobs.get(key).filter(|job| job.workers.is_empty())?;
        Some(Reverse((self.rank(key), job.turn, job.bucket, key)))
    }

    fn try_start(&mut self, now_ms: u64, key: JobKey, seen: &mut Seen) -> Tried {
        let rank = self.rank(key);
        let job = &self.jobs[key];
        if job.deadline_at_ms.is_some_and(|deadline_ms| now_ms > deadline_ms) {
            self.dequeue(key);
            self.jobs.remove(key);
            self.due.push(Decision::Refuse {
                job: key,
                refusal: Refusal::DeadlinePassed,
            });
            return Tried::Left;
        }
        let account = &self.accounts[job.organisation];
        if account.used + job.accelerators() > account.quota {
            return Tried::Blocked;
        }
        if rank == Rank::Rest && !self.leaves_reserved(key, seen.free_accelerators) {
            return Tried::Blocked;
        }
        let place = || {
            if seen.has_failed(job) {
                None
            } else {
                self.nodes.place::<F>(job.need())
            }
        };
        if let Some(workers) = place() {
            seen.free_accelerators = seen.free_accelerators.saturating_sub(job.accelerators());
            self.dequeue(key);
            let keys = self.keys_of(&workers);
            self.hold(key, workers);
            self.due.push(Decision::Start {
                job: key,
                workers: keys,
            });
            return Tried::Left;
        }
        let excluded = !job.failed_on.is_empty();
        if !excluded && !seen.has_failed(job) {
            seen.failed.push((job.shape, job.part, job.idempotent));
        }
        if self.accounts[job.organisation].is_guaranteed(job.accelerators()) {
            self.reclaim(key);
        }
        if excluded { Tried::BlockedAlone } else { Tried::Blocked }
    }

    /// Returns whether enough accelerators stay free, in number, for the jobs that wait for preempted borrowers.
    fn leaves_reserved(&self, key: JobKey, free: u32) -> bool {
        let waits = |other: &&JobKey| {
            let job = &self.jobs[**other];
            **other != key && self.accounts[job.organisation].is_guaranteed(job.accelerators())
        };
        let reclaimers = self.reclaimers.iter().filter(waits);
        let reserved: u32 = reclaimers.map(|other| self.jobs[*other].accelerators()).sum();
        reserved == 0 || free >= reserved + self.jobs[key].accelerators()
    }

    /// Preempts the youngest borrowers until enough accelerators are free in number.
    ///
    /// If enough are free in number already, or the job did not fit after a first round, the whole number is preempted.
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
            job.ending = true;
            job.victim_of = Some(key);
            let mode = Self::mode_of(job);
            self.due.push(Decision::Preempt { job: victim, mode });
        }
    }

    /// Returns the youngest preemptible jobs of organisations above their guarantee that hold `wanted` accelerators.
    fn youngest_borrowers(&self, wanted: u32) -> Vec<JobKey> {
        let mut borrowed: Vec<u32> = self.accounts.iter().map(Account::borrowed).collect();
        let mut victims = Vec::new();
        let mut found = 0;
        for victim in self.holding.values().rev() {
            if found >= wanted {
                break;
            }
            let job = &self.jobs[*victim];
            let usable = job.workers.iter().all(|node| self.nodes.all[*node].is_usable());
            if job.ending || !job.is_preemptible() || !usable || job.accelerators() == 0 {
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

    /// Returns the figures of [`Policy::stats`](policy::Policy::stats).
    pub(super) fn figures(&self) -> Stats {
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
            running_jobs: self.holding.len() as u32,
            total_accelerators: total,
            used_accelerators: total - free,
            fragmentation_ratio,
            largest_gang_accelerators: largest_gang.max().unwrap_or(0),
            quarantined_workers: self.nodes.all.iter().filter(quarantined).count() as u32,
            lost_guarantees: 0,
        }
    }
}
