use model::{LeaseId, RenewRequest};
use policy::{Event as Observed, Policy};
use trace::{Event, EventKind};

use crate::Action;
use crate::job::{Key, Phase};
use crate::run::{EndCause, LeaseState, PartState};
use crate::scheduler::{Scheduler, Timer};
use crate::worker_state::Health;

/// Interval of checking a worker whose last command has no reply yet.
const BUSY_INTERVAL_MS: u64 = 100;

impl<P: Policy> Scheduler<P> {
    /// Sends the next command to a worker whose timer is due: a renewal if it answers, or else a fence.
    pub(crate) fn worker_due(&mut self, ix: usize, actions: &mut Vec<Action>) {
        // A driver that reports neither a reply nor its loss must not stall the worker permanently.
        let overdue_ms = 2 * self.settings.worker_timeout_ms;
        let worker = &mut self.workers[ix];
        if worker.sent_ms + overdue_ms <= self.now_ms {
            worker.is_renewing = false;
            worker.fence_op = None;
        }
        let was_busy = worker.is_renewing || worker.fence_op.is_some();
        match worker.health {
            Health::Up if worker.needs_inventory => self.probe(ix, actions),
            Health::Up if !worker.is_renewing && worker.fence_op.is_none() => self.renew(ix, actions),
            Health::Up => {}
            Health::Unknown | Health::Down => {
                self.end_adopted(ix, actions);
                self.expire_attempt_leases(ix, actions);
                self.probe(ix, actions);
            }
        }
        self.check_down(ix, actions);
        let worker = &self.workers[ix];
        let is_waiting = was_busy && (worker.is_renewing || worker.fence_op.is_some());
        let has_replied_recently =
            worker.health != Health::Up && worker.last_reply_ms + self.settings.worker_down_ms > self.now_ms;
        let interval_ms = if is_waiting || has_replied_recently {
            BUSY_INTERVAL_MS
        } else {
            self.settings.worker_renew_interval_ms
        };
        self.arm_worker(ix, self.now_ms + interval_ms);
    }

    /// Renews all leases at a worker with one request that also reads the task changes.
    pub(crate) fn renew(&mut self, ix: usize, actions: &mut Vec<Action>) {
        let live_until_ms = self.now_ms + self.settings.worker_timeout_ms + self.settings.slot_lease_ttl_ms;
        let mut leases = Vec::new();
        for (lease, key) in &self.workers[ix].attempt_leases {
            let Some(job) = self.jobs.get_mut(*key) else { continue };
            if job.phase == Phase::Reserving {
                continue;
            }
            let Some(attempt_lease) = job.run.as_mut().and_then(|run| run.attempt_lease_mut(*lease)) else {
                continue;
            };
            if attempt_lease.state == LeaseState::Granted {
                attempt_lease.live_until_ms = live_until_ms;
                leases.push(*lease);
            }
        }
        let worker = &mut self.workers[ix];
        worker.is_renewing = true;
        worker.sent_ms = self.now_ms;
        actions.push(Action::Renew {
            worker: worker.id.clone(),
            request: RenewRequest {
                epoch: self.epoch,
                leases,
                ttl_ms: self.settings.slot_lease_ttl_ms,
                after_sequence: worker.sequence,
            },
        });
    }

    /// Reads the inventory of a worker with a fence, which extends no lease. One fence is in flight at a time.
    pub(crate) fn probe(&mut self, ix: usize, actions: &mut Vec<Action>) {
        self.workers[ix].needs_inventory = true;
        if self.workers[ix].fence_op.is_some() {
            return;
        }
        let op = self.next_op();
        let worker = &mut self.workers[ix];
        worker.fence_op = Some(op);
        worker.sent_ms = self.now_ms;
        actions.push(Action::Fence {
            worker: worker.id.clone(),
            epoch: self.epoch,
        });
    }

    pub(crate) fn check_down(&mut self, ix: usize, actions: &mut Vec<Action>) {
        let worker = &self.workers[ix];
        let is_unresponsive = worker.last_reply_ms + self.settings.worker_down_ms <= self.now_ms;
        if worker.health == Health::Up && is_unresponsive {
            self.mark_down(ix, actions);
        }
    }

    /// Marks an unresponsive worker as down: attempts with a part there are ended, and nothing starts there.
    pub(crate) fn mark_down(&mut self, ix: usize, actions: &mut Vec<Action>) {
        let worker = &mut self.workers[ix];
        worker.health = Health::Down;
        let event = Event::new(EventKind::WorkerDown).worker(worker.id.clone());
        let key = worker.policy_key;
        let attempt_leases: Vec<Key> = worker.attempt_leases.values().copied().collect();
        self.event(event, actions);
        if let Some(worker) = key {
            self.policy.observe(self.now_ms, Observed::WorkerDown { worker });
        }
        for key in attempt_leases {
            // An adopted attempt is assumed to run as recorded until its leases have expired.
            if self.jobs.get(key).is_some_and(|job| job.phase != Phase::Adopting) {
                self.end_run(key, EndCause::PartEnded, actions);
            }
        }
        self.drop_grants_at(ix, actions);
    }

    /// Ends adopted attempts that wait for an unresponsive worker, so that their other parts do not run on alone.
    ///
    /// The former lease holder may already have waited for the worker, so the wait covers only one fence and one retry.
    fn end_adopted(&mut self, ix: usize, actions: &mut Vec<Action>) {
        let bound_ms = self.settings.worker_timeout_ms * 5 / 4;
        if self.workers[ix].last_reply_ms + bound_ms > self.now_ms {
            return;
        }
        let attempt_leases: Vec<Key> = self.workers[ix].attempt_leases.values().copied().collect();
        for key in attempt_leases {
            if self.jobs.get(key).is_some_and(|job| job.phase == Phase::Adopting) {
                self.end_run(key, EndCause::PartEnded, actions);
            }
        }
    }

    /// Rearms the timer of a worker; each worker has one.
    pub(crate) fn arm_worker(&mut self, ix: usize, at_ms: u64) {
        let worker = &mut self.workers[ix];
        self.timers.remove(&(worker.due_ms, Timer::Worker(ix)));
        worker.due_ms = at_ms;
        self.arm(at_ms, Timer::Worker(ix));
    }

    /// Settles the leases that have certainly expired at an unresponsive worker.
    fn expire_attempt_leases(&mut self, ix: usize, actions: &mut Vec<Action>) {
        let attempt_leases: Vec<(LeaseId, Key)> = self.workers[ix]
            .attempt_leases
            .iter()
            .map(|(lease, key)| (*lease, *key))
            .collect();
        for (lease, key) in attempt_leases {
            let Some(run) = self.jobs.get_mut(key).and_then(|job| job.run.as_mut()) else {
                continue;
            };
            let Some(attempt_lease) = run.attempt_lease_mut(lease) else {
                continue;
            };
            if attempt_lease.live_until_ms > self.now_ms
                || matches!(attempt_lease.state, LeaseState::Expired | LeaseState::Released)
            {
                continue;
            }
            attempt_lease.state = LeaseState::Expired;
            for index in attempt_lease.parts.clone() {
                let part = &mut run.parts[usize::from(index)];
                match part {
                    PartState::Unsent => *part = PartState::NeverStarted,
                    PartState::Sent => *part = PartState::Unresponsive { ran: false },
                    PartState::Running => *part = PartState::Unresponsive { ran: true },
                    _ => {}
                }
            }
            self.end_run(key, EndCause::PartEnded, actions);
        }
    }
}
