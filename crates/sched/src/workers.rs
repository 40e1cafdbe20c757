use model::{LeaseId, RenewRequest};
use policy::{Event as Observed, Policy};
use trace::{Event, EventKind};

use crate::Action;
use crate::job::{Key, Phase};
use crate::run::{Cause, Part, Stage};
use crate::scheduler::{Scheduler, Timer};
use crate::worker_state::Health;

/// Interval of looking again at a worker whose last command has no reply yet.
const BUSY_INTERVAL_MS: u64 = 100;

impl<P: Policy> Scheduler<P> {
    /// Sends the next command that a worker is due for: a renewal if it answers, or else a fence.
    pub(crate) fn worker_due(&mut self, ix: usize, actions: &mut Vec<Action>) {
        // A driver that reports neither reply nor loss must not stall the worker for ever.
        let overdue_ms = 2 * self.settings.worker_timeout_ms;
        let worker = &mut self.workers[ix];
        if worker.sent_ms + overdue_ms <= self.now_ms {
            worker.is_renewing = false;
            worker.fence_op = None;
        }
        let was_busy = worker.is_renewing || worker.fence_op.is_some();
        match worker.health {
            Health::Up if worker.wants_inventory => self.probe(ix, actions),
            Health::Up if !worker.is_renewing && worker.fence_op.is_none() => self.renew(ix, actions),
            Health::Up => {}
            Health::Unknown | Health::Down => {
                self.end_adopted(ix, actions);
                self.expire_seats(ix, actions);
                self.probe(ix, actions);
            }
        }
        self.check_down(ix, actions);
        let worker = &self.workers[ix];
        let is_waiting = was_busy && (worker.is_renewing || worker.fence_op.is_some());
        let interval_ms = if is_waiting {
            BUSY_INTERVAL_MS
        } else {
            self.settings.worker_renew_interval_ms
        };
        self.arm_worker(ix, self.now_ms + interval_ms);
    }

    /// Renews all leases at a worker in one request and asks for task changes.
    pub(crate) fn renew(&mut self, ix: usize, actions: &mut Vec<Action>) {
        let live_until_ms = self.now_ms + self.settings.worker_timeout_ms + self.settings.slot_lease_ttl_ms;
        let mut leases = Vec::new();
        for (lease, key) in &self.workers[ix].seats {
            let Some(job) = self.jobs.get_mut(*key) else { continue };
            if job.phase == Phase::Reserving {
                continue;
            }
            let Some(seat) = job.run.as_mut().and_then(|run| run.seat_mut(*lease)) else {
                continue;
            };
            if seat.stage == Stage::Granted {
                seat.live_until_ms = live_until_ms;
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

    /// Reads the inventory of a worker by a fence, which extends no lease. One is in flight at a time.
    pub(crate) fn probe(&mut self, ix: usize, actions: &mut Vec<Action>) {
        self.workers[ix].wants_inventory = true;
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
        let is_silent = worker.last_reply_ms + self.settings.worker_down_ms <= self.now_ms;
        if worker.health == Health::Up && is_silent {
            self.down(ix, actions);
        }
    }

    /// The worker is silent: gangs with a part there end, and nothing starts there.
    pub(crate) fn down(&mut self, ix: usize, actions: &mut Vec<Action>) {
        let worker = &mut self.workers[ix];
        worker.health = Health::Down;
        let event = Event::new(EventKind::WorkerDown).worker(worker.id.clone());
        let key = worker.key;
        let seats: Vec<Key> = worker.seats.values().copied().collect();
        self.event(event, actions);
        if let Some(worker) = key {
            self.policy.observe(self.now_ms, Observed::WorkerDown { worker });
        }
        for key in seats {
            // An adopted attempt counts as running what its record says until its leases have expired.
            if self.jobs.get(key).is_some_and(|job| job.phase != Phase::Adopting) {
                self.end_run(key, Cause::PartEnded, actions);
            }
        }
        self.drop_grants_at(ix, actions);
    }

    /// Ends the adopted attempts that a silent worker keeps open, so that their other parts do not run on alone.
    fn end_adopted(&mut self, ix: usize, actions: &mut Vec<Action>) {
        if self.workers[ix].last_reply_ms + self.settings.worker_down_ms > self.now_ms {
            return;
        }
        let seats: Vec<Key> = self.workers[ix].seats.values().copied().collect();
        for key in seats {
            if self.jobs.get(key).is_some_and(|job| job.phase == Phase::Adopting) {
                self.end_run(key, Cause::PartEnded, actions);
            }
        }
    }

    /// Arms the timer of a worker; each has one.
    pub(crate) fn arm_worker(&mut self, ix: usize, at_ms: u64) {
        let worker = &mut self.workers[ix];
        self.timers.remove(&(worker.due_ms, Timer::Worker(ix)));
        worker.due_ms = at_ms;
        self.arm(at_ms, Timer::Worker(ix));
    }

    /// Settles the leases that have certainly expired at a silent worker.
    fn expire_seats(&mut self, ix: usize, actions: &mut Vec<Action>) {
        let seats: Vec<(LeaseId, Key)> = self.workers[ix]
            .seats
            .iter()
            .map(|(lease, key)| (*lease, *key))
            .collect();
        for (lease, key) in seats {
            let Some(run) = self.jobs.get_mut(key).and_then(|job| job.run.as_mut()) else {
                continue;
            };
            let Some(seat) = run.seat_mut(lease) else { continue };
            if seat.live_until_ms > self.now_ms || matches!(seat.stage, Stage::Lapsed | Stage::Released) {
                continue;
            }
            seat.stage = Stage::Lapsed;
            for index in seat.parts.clone() {
                let part = &mut run.parts[usize::from(index)];
                match part {
                    Part::Idle => *part = Part::Never,
                    Part::Sent => *part = Part::Silent { ran: false },
                    Part::Running => *part = Part::Silent { ran: true },
                    _ => {}
                }
            }
            self.end_run(key, Cause::PartEnded, actions);
        }
    }
}
