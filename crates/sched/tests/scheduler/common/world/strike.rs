use std::sync::Arc;

use model::{JobId, JobRow, WorkerId};
use sched::{Input, Settings, WriteOutcome};

use super::super::{Fault, Fleet, Step, config};
use super::{AnyWorld, Ev, LEASE_MS, LINK_MS, Message, Process, TIMEOUT_MS, Write};

impl<P: Fleet> AnyWorld<P> {
    pub(super) fn apply(&mut self, node: usize, incarnation: u32, write: &Write, message: Message) {
        let report = |id, outcome| Input::Written { write: id, outcome };
        let is_current = self.nodes[node].incarnation == incarnation;
        if !self.is_store_up() {
            if is_current {
                self.handle(node, report(write.id, WriteOutcome::Unavailable));
            }
            return;
        }
        let mut outcome = WriteOutcome::Unknown;
        if !message.is_request_lost {
            let (answer, charge) = (write.answer.as_deref(), write.charge.as_deref());
            outcome = self.table.commit(&write.row, write.expected_version, answer, charge);
        }
        if is_current {
            let is_lost = message.is_request_lost || message.is_reply_lost || message.delay_ms >= TIMEOUT_MS;
            if is_lost {
                self.post(self.now_ms + 1_000, Ev::ReadBack(node, incarnation, write.clone()));
                outcome = WriteOutcome::Unknown;
            }
            self.handle(node, report(write.id, outcome.clone()));
            if message.is_duplicated {
                self.handle(node, report(write.id, outcome));
            }
        }
    }

    pub(super) fn read_back(&mut self, node: usize, incarnation: u32, write: Write) {
        if !self.is_store_up() {
            self.post(self.now_ms + LEASE_MS, Ev::ReadBack(node, incarnation, write));
            return;
        }
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        let current = self.table.rows.get(&write.row.id()).cloned();
        let outcome = match current {
            Some((row, version)) if row == *write.row => WriteOutcome::Done { version },
            Some((_, version)) if version == write.expected_version => WriteOutcome::Unavailable,
            current => WriteOutcome::Conflict {
                current: current.map(|(row, version)| (Box::new(row), version)),
            },
        };
        let input = Input::Written {
            write: write.id,
            outcome,
        };
        self.handle(node, input);
    }

    pub(super) fn strike(
        &mut self,
        step: Step,
        node: Option<usize>,
        worker: Option<usize>,
        job: Option<JobId>,
    ) -> Message {
        let mut message = Message::default();
        let mut due = Vec::new();
        for armed in self
            .armed
            .iter_mut()
            .filter(|armed| armed.step == step && !armed.has_struck)
        {
            if armed.skip > 0 {
                armed.skip -= 1;
            } else {
                armed.has_struck = true;
                due.push(armed.fault);
            }
        }
        let job = job.or_else(|| Some(self.specs.first()?.id()));
        let row = job.as_ref().and_then(|job| self.table.rows.get(job));
        let placed = row.and_then(|(row, _)| row.attempts.last().cloned());
        let placed = placed.and_then(|a| self.workers.iter().position(|w| w.id == a.placement.parts[0].worker));
        let worker = worker.or(placed).unwrap_or(0);
        for fault in due {
            self.last_fault_ms = self.now_ms;
            match fault {
                Fault::HolderKilled => self.kill(node.unwrap_or(0)),
                Fault::HolderFrozen => self.freeze(node.unwrap_or(0), 10_000),
                Fault::HolderPaused => self.freeze(node.unwrap_or(0), 3_000),
                Fault::WorkerRestarted => self.post(self.now_ms + 20, Ev::RestartWorker(worker)),
                Fault::WorkerKilled => self.workers[worker].kill(self.now_ms),
                Fault::WorkerFrozen => {
                    self.workers[worker].pass(self.now_ms);
                    self.workers[worker].frozen_at_ms.get_or_insert(self.now_ms);
                    self.post(self.now_ms + 8_000, Ev::ThawWorker(worker));
                }
                Fault::WorkerFailsAll => self.workers[worker].fails_all = true,
                Fault::WorkerCutOff => self.cut_off_until_ms[worker] = self.now_ms + 6_000,
                Fault::StoreDown => self.store_down_until_ms = self.now_ms + 8_000,
                Fault::StoreSlow => self.store_slow_until_ms = self.now_ms + 10_000,
                Fault::RequestLost => message.is_request_lost = true,
                Fault::ReplyLost => message.is_reply_lost = true,
                Fault::Delayed => message.delay_ms = 3_000,
                Fault::Duplicated => message.is_duplicated = true,
                Fault::Reordered => message.delay_ms = 7,
                Fault::ListStale => self.stale_until_ms = self.now_ms + 6_000,
                Fault::SubmittedTwice => {
                    for spec in self.specs.clone() {
                        let row = Box::new(JobRow::new(spec, "dc1".parse().unwrap(), 1_000_000));
                        let holder = self.holder.unwrap_or(0);
                        self.send(holder, LINK_MS, Input::Submitted { row, version: 1 });
                    }
                }
                Fault::Cancelled => job.iter().for_each(|job| self.cancel(job)),
            }
        }
        message
    }

    /// Kills an instance; it comes back empty after 5 s.
    pub fn kill(&mut self, node: usize) {
        let me = &mut self.nodes[node];
        me.process = Process::Dead;
        me.incarnation += 1;
        me.epoch = None;
        me.inbox.clear();
        me.held_back.clear();
        self.post(self.now_ms + 5_000, Ev::Revive(node));
    }

    pub(super) fn revive(&mut self, node: usize) {
        let ids: Vec<WorkerId> = self.workers.iter().map(|worker| worker.id.clone()).collect();
        let me = &mut self.nodes[node];
        me.sched = Self::scheduler(["a", "b"][node], &ids, Settings::default());
        me.process = Process::Runs;
        me.is_stopping = false;
        me.is_handed_over = false;
        me.sees_store = true;
        let config = Arc::new(config(self.version, self.out_ms.is_none(), false));
        self.send(node, LINK_MS, Input::Configured { config });
        if let Some((worker, _)) = self.leaving_ms {
            let worker = self.workers[worker].id.clone();
            self.send(node, LINK_MS, Input::WorkerLeaving { worker });
        }
    }

    /// Stops an instance's process for a time.
    pub fn freeze(&mut self, node: usize, for_ms: u64) {
        self.nodes[node].process = Process::Frozen;
        self.post(self.now_ms + for_ms, Ev::Thaw(node));
    }

    pub(super) fn thaw(&mut self, node: usize) {
        let me = &mut self.nodes[node];
        me.process = Process::Runs;
        // It goes on where it stood, before it learns that another holds the lease.
        let actions = std::mem::take(&mut me.held_back);
        self.perform_all(node, actions);
        self.handle(node, Input::Tick);
        while self.nodes[node].process == Process::Runs
            && let Some(input) = self.nodes[node].inbox.pop_front()
        {
            self.handle(node, input);
        }
    }
}
