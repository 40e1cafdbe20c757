use std::sync::Arc;

use model::{JobId, JobRow, WorkerId};
use sched::{Input, Settings, WriteOutcome};

use super::super::{Fault, Step, TestPolicy, config};
use super::{COMMAND_TIMEOUT_MS, Delivery, LEASE_INTERVAL_MS, LINK_LATENCY_MS, Process, SimEvent, Simulation, Write};

impl<P: TestPolicy> Simulation<P> {
    pub(super) fn apply(&mut self, node: usize, incarnation: u32, write: &Write, delivery: Delivery) {
        let report = |id, outcome| Input::Written { write: id, outcome };
        let is_current = self.nodes[node].incarnation == incarnation;
        if !self.is_store_up() {
            if is_current {
                self.handle(node, report(write.id, WriteOutcome::Unavailable));
            }
            return;
        }
        let mut outcome = WriteOutcome::Unknown;
        if !delivery.is_request_lost {
            let (answer, charge) = (write.answer.as_deref(), write.charge.as_deref());
            outcome = self.table.commit(&write.row, write.expected_version, answer, charge);
        }
        if is_current {
            let is_lost = delivery.is_request_lost || delivery.is_reply_lost || delivery.delay_ms >= COMMAND_TIMEOUT_MS;
            if is_lost {
                self.schedule(
                    self.now_ms + 1_000,
                    SimEvent::ReadBack(node, incarnation, write.clone()),
                );
                outcome = WriteOutcome::Unknown;
            }
            self.handle(node, report(write.id, outcome.clone()));
            if delivery.is_duplicated {
                self.handle(node, report(write.id, outcome));
            }
        }
    }

    pub(super) fn read_back(&mut self, node: usize, incarnation: u32, write: Write) {
        if !self.is_store_up() {
            self.schedule(
                self.now_ms + LEASE_INTERVAL_MS,
                SimEvent::ReadBack(node, incarnation, write),
            );
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

    pub(super) fn inject_faults(
        &mut self,
        step: Step,
        node: Option<usize>,
        worker: Option<usize>,
        job: Option<JobId>,
    ) -> Delivery {
        let mut delivery = Delivery::default();
        let mut due = Vec::new();
        for armed in self
            .armed
            .iter_mut()
            .filter(|armed| armed.step == step && !armed.is_injected)
        {
            if armed.skip > 0 {
                armed.skip -= 1;
            } else {
                armed.is_injected = true;
                due.push(armed.fault);
            }
        }
        let job = job.or_else(|| Some(self.specs.first()?.id()));
        let row = job.as_ref().and_then(|job| self.table.rows.get(job));
        let placed_on = row.and_then(|(row, _)| row.attempts.last().cloned());
        let placed_on = placed_on.and_then(|a| self.workers.iter().position(|w| w.id == a.placement.parts[0].worker));
        let worker = worker.or(placed_on).unwrap_or(0);
        for fault in due {
            self.last_fault_ms = self.now_ms;
            match fault {
                Fault::HolderKilled => self.kill_instance(node.unwrap_or(0)),
                Fault::HolderFrozen => self.freeze_instance(node.unwrap_or(0), 10_000),
                Fault::HolderPaused => self.freeze_instance(node.unwrap_or(0), 3_000),
                Fault::WorkerRestarted => self.schedule(self.now_ms + 20, SimEvent::RestartWorker(worker)),
                Fault::WorkerKilled => self.workers[worker].kill(self.now_ms),
                Fault::WorkerFrozen => {
                    self.workers[worker].advance(self.now_ms);
                    self.workers[worker].frozen_at_ms.get_or_insert(self.now_ms);
                    self.schedule(self.now_ms + 8_000, SimEvent::ThawWorker(worker));
                }
                Fault::WorkerFailsAll => self.workers[worker].fails_all_tasks = true,
                Fault::WorkerCutOff => self.cut_off_until_ms[worker] = self.now_ms + 6_000,
                Fault::StoreDown => self.store_down_until_ms = self.now_ms + 8_000,
                Fault::StoreSlow => self.store_slow_until_ms = self.now_ms + 10_000,
                Fault::RequestLost => delivery.is_request_lost = true,
                Fault::ReplyLost => delivery.is_reply_lost = true,
                Fault::Delayed => delivery.delay_ms = 3_000,
                Fault::Duplicated => delivery.is_duplicated = true,
                Fault::Reordered => delivery.delay_ms = 7,
                Fault::ListStale => self.stale_scans_until_ms = self.now_ms + 6_000,
                Fault::SubmittedTwice => {
                    for spec in self.specs.clone() {
                        let row = Box::new(JobRow::new(spec, "dc1".parse().unwrap(), 1_000_000));
                        let holder = self.lease_holder.unwrap_or(0);
                        self.send_input(holder, LINK_LATENCY_MS, Input::Submitted { row, version: 1 });
                    }
                }
                Fault::Cancelled => job.iter().for_each(|job| self.cancel(job)),
            }
        }
        delivery
    }

    /// Kills an instance, which restarts without state after 5 s.
    pub fn kill_instance(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.process = Process::Dead;
        state.incarnation += 1;
        state.epoch = None;
        state.inbox.clear();
        state.pending_actions.clear();
        self.schedule(self.now_ms + 5_000, SimEvent::RestartInstance(node));
    }

    pub(super) fn restart_instance(&mut self, node: usize) {
        let ids: Vec<WorkerId> = self.workers.iter().map(|worker| worker.id.clone()).collect();
        let state = &mut self.nodes[node];
        state.sched = Self::scheduler(["a", "b"][node], &ids, Settings::default());
        state.process = Process::Running;
        state.is_stopping = false;
        state.is_handed_over = false;
        state.is_store_reachable = true;
        let config = Arc::new(config(self.config_version, self.out_of_service_ms.is_none(), false));
        self.send_input(node, LINK_LATENCY_MS, Input::Configured { config });
        if let Some((worker, _)) = self.draining_worker {
            let worker = self.workers[worker].id.clone();
            self.send_input(node, LINK_LATENCY_MS, Input::WorkerDraining { worker });
        }
    }

    /// Suspends an instance's process for `for_ms`.
    pub fn freeze_instance(&mut self, node: usize, for_ms: u64) {
        self.nodes[node].process = Process::Frozen;
        self.schedule(self.now_ms + for_ms, SimEvent::ThawInstance(node));
    }

    pub(super) fn thaw_instance(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.process = Process::Running;
        // The instance performs its pending actions before it learns that another one holds the lease.
        let actions = std::mem::take(&mut state.pending_actions);
        self.perform_all(node, actions);
        self.handle(node, Input::Tick);
        while self.nodes[node].process == Process::Running
            && let Some(input) = self.nodes[node].inbox.pop_front()
        {
            self.handle(node, input);
        }
    }
}
