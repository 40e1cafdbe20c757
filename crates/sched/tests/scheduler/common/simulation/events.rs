use std::sync::Arc;

use sched::{Action, Input, WorkerReply};

use super::super::{Command, Defect, Step, TestPolicy, config};
use super::{
    COMMAND_TIMEOUT_MS, Delivery, LEASE_INTERVAL_MS, LINK_LATENCY_MS, Process, SimEvent, Simulation, TICK_INTERVAL_MS,
    Write,
};

impl<P: TestPolicy> Simulation<P> {
    pub(super) fn process_event(&mut self, event: SimEvent) {
        let is_stale = |sim: &Self, node: usize, incarnation: u32| sim.nodes[node].incarnation != incarnation;
        match event {
            SimEvent::Tick(node) => {
                self.handle(node, Input::Tick);
                self.schedule(self.now_ms + TICK_INTERVAL_MS, SimEvent::Tick(node));
            }
            SimEvent::SchedulingLease(node) => {
                self.update_scheduling_lease(node);
                self.schedule(self.now_ms + LEASE_INTERVAL_MS, SimEvent::SchedulingLease(node));
            }
            SimEvent::Input(node, incarnation, input) if !is_stale(self, node, incarnation) => self.handle(node, input),
            SimEvent::Deliver(node, incarnation, id, worker, command, delivery) => {
                let target = &mut self.workers[worker];
                if target.frozen_at_ms.is_some() {
                    // The command waits in the worker's socket.
                    let redelivery = SimEvent::Deliver(node, incarnation, id, worker, command, delivery);
                    self.schedule(self.now_ms + 50, redelivery);
                    return;
                }
                if target.is_dead || self.cut_off_until_ms[worker] > self.now_ms {
                    return;
                }
                let reply = target.handle(self.now_ms, command);
                if delivery.is_reply_lost {
                    return;
                }
                let is_end = |reply: &WorkerReply| matches!(reply, WorkerReply::Renewed(Ok(r)) if r.changes.iter().any(|c| c.state.is_ended()));
                let mut reply_delivery = Delivery::default();
                if is_end(&reply) {
                    let WorkerReply::Renewed(Ok(report)) = &reply else {
                        return;
                    };
                    let job = report.changes[0].task.job.clone();
                    reply_delivery = self.inject_faults(Step::Report, Some(node), Some(worker), Some(job));
                }
                let at_ms = self.now_ms + LINK_LATENCY_MS + reply_delivery.delay_ms;
                if reply_delivery.is_duplicated || delivery.is_duplicated {
                    let redelivery = SimEvent::Reply(node, incarnation, u64::MAX, worker, reply.clone());
                    self.schedule(at_ms + 20, redelivery);
                }
                if !reply_delivery.is_reply_lost && !reply_delivery.is_request_lost {
                    self.schedule(at_ms, SimEvent::Reply(node, incarnation, id, worker, reply));
                }
            }
            SimEvent::Reply(node, incarnation, id, worker, reply)
                if !is_stale(self, node, incarnation) && (id == u64::MAX || self.pending_commands.remove(&id)) =>
            {
                // A reply that arrives after its loss was reported is dropped, except for a duplicate of one in time.
                let worker = self.workers[worker].id.clone();
                self.handle(node, Input::Worker { worker, reply });
            }
            SimEvent::Timeout(node, incarnation, id, worker, command)
                if !is_stale(self, node, incarnation) && self.pending_commands.remove(&id) =>
            {
                let worker = self.workers[worker].id.clone();
                let reply = WorkerReply::Lost(command.lost());
                self.handle(node, Input::Worker { worker, reply });
            }
            SimEvent::ApplyWrite(node, incarnation, write, delivery) => self.apply(node, incarnation, &write, delivery),
            SimEvent::ReadBack(node, incarnation, write) => self.read_back(node, incarnation, write),
            SimEvent::Scan(node, incarnation) if !is_stale(self, node, incarnation) => {
                if self.is_store_up() {
                    let rows = self.table.scan(self.stale_scans_until_ms > self.now_ms);
                    self.handle(node, Input::JobRows { rows });
                } else {
                    self.schedule(self.now_ms + LEASE_INTERVAL_MS, SimEvent::Scan(node, incarnation));
                }
            }
            SimEvent::ThawInstance(node) => self.thaw_instance(node),
            SimEvent::RestartInstance(node) => self.restart_instance(node),
            SimEvent::ThawWorker(worker) => self.workers[worker].thaw(self.now_ms),
            SimEvent::RestartWorker(worker) => self.workers[worker].restart(self.now_ms),
            SimEvent::ReachStep(step) => self.reach_step(step),
            SimEvent::RenewGrants => {
                for (lease, (node, id)) in self.grants.clone() {
                    let Some(worker) = self.workers.iter_mut().find(|worker| worker.id == id) else {
                        continue;
                    };
                    let is_away = worker.is_dead || worker.frozen_at_ms.is_some();
                    if self.nodes[node].process != Process::Running || is_away || worker.renew_grant(self.now_ms, lease)
                    {
                        continue;
                    }
                    self.grants.remove(&lease);
                    if let Some(holder) = self.lease_holder {
                        self.send_input(holder, 2 * LINK_LATENCY_MS, Input::GrantReleased { worker: id, lease });
                    }
                }
                self.schedule(self.now_ms + 1_000, SimEvent::RenewGrants);
            }
            _ => {}
        }
    }

    pub(super) fn reach_step(&mut self, step: Step) {
        let delivery = self.inject_faults(step, self.lease_holder, Some(0), None);
        let late_ms = if delivery.is_request_lost {
            1_000
        } else {
            delivery.delay_ms
        };
        match step {
            Step::Out => {
                self.out_of_service_ms = Some(self.now_ms + late_ms);
                let config = Arc::new(config(self.config_version, false, false));
                let readers = if self.table.defect == Some(Defect::LosesConfig) {
                    0
                } else {
                    2
                };
                for node in 0..readers {
                    let config = config.clone();
                    self.send_scripted_input(node, late_ms, delivery, Input::Configured { config });
                }
            }
            Step::Leaving => {
                self.draining_worker = Some((0, self.now_ms));
                self.workers[0].is_draining = true;
                let worker = self.workers[0].id.clone();
                for node in 0..2 {
                    let worker = worker.clone();
                    self.send_scripted_input(node, late_ms, delivery, Input::WorkerDraining { worker });
                }
            }
            Step::Stop => {
                if let Some(node) = self.lease_holder {
                    self.nodes[node].is_stopping = true;
                    self.send_scripted_input(node, late_ms, delivery, Input::Stopping);
                }
            }
            Step::Checkpoint => {
                let in_service = self.out_of_service_ms.is_none() || self.table.defect == Some(Defect::LosesConfig);
                self.configure(in_service, true);
            }
            _ => {}
        }
    }

    fn send_scripted_input(&mut self, node: usize, late_ms: u64, delivery: Delivery, input: Input) {
        if delivery.is_duplicated {
            self.send_input(node, LINK_LATENCY_MS + late_ms + 5, input.clone());
        }
        self.send_input(node, LINK_LATENCY_MS + late_ms, input);
    }

    pub(super) fn update_scheduling_lease(&mut self, node: usize) {
        let state = &self.nodes[node];
        if state.process != Process::Running {
            return;
        }
        let (was_up, is_up) = (state.is_store_reachable, self.is_store_up());
        self.nodes[node].is_store_reachable = is_up;
        if was_up != is_up {
            self.handle(node, Input::StoreReachable(is_up));
        }
        if !is_up {
            return;
        }
        self.release_scheduling_lease(node);
        if self.nodes[node].epoch.is_some_and(|epoch| epoch < self.epoch) {
            self.nodes[node].epoch = None;
            self.handle(node, Input::Deposed);
        }
        if self.nodes[node].epoch == Some(self.epoch) {
            self.lease_renewed_ms = self.now_ms;
        } else if !self.nodes[node].is_stopping
            && (self.lease_holder.is_none() || self.lease_renewed_ms + 2_000 <= self.now_ms)
        {
            self.epoch = self.epoch.next();
            self.lease_holder = Some(node);
            self.lease_renewed_ms = self.now_ms;
            self.nodes[node].epoch = Some(self.epoch);
            let epoch = self.epoch;
            self.handle(node, Input::Elected { epoch });
        }
    }

    fn release_scheduling_lease(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if state.is_handed_over && state.epoch == Some(self.epoch) && self.store_down_until_ms <= self.now_ms {
            state.epoch = None;
            self.lease_holder = None;
            self.send_input(node, LINK_LATENCY_MS, Input::Deposed);
        }
    }

    pub(super) fn handle(&mut self, node: usize, input: Input) {
        let unix_ms = self.unix_ms();
        let state = &mut self.nodes[node];
        if state.process == Process::Dead {
            return;
        }
        if state.process == Process::Frozen {
            if input != Input::Tick {
                state.inbox.push_back(input);
            }
            return;
        }
        let mut actions = Vec::new();
        // The clocks of the instances differ.
        let clock_ms = self.now_ms + 7_777 * node as u64;
        state.sched.handle(clock_ms, unix_ms, input, &mut actions);
        self.action_count += actions.len();
        self.perform_all(node, actions);
    }

    pub(super) fn perform_all(&mut self, node: usize, actions: Vec<Action>) {
        let mut actions = actions.into_iter();
        while let Some(action) = actions.next() {
            self.perform(node, action);
            let state = &mut self.nodes[node];
            if state.process == Process::Dead {
                return;
            }
            if state.process == Process::Frozen {
                state.pending_actions.extend(actions);
                return;
            }
        }
    }

    pub(super) fn perform(&mut self, node: usize, action: Action) {
        let epoch = self.nodes[node].sched.epoch().unwrap_or_default();
        let target = match &action {
            Action::Fence { worker, .. }
            | Action::Lease { worker, .. }
            | Action::Start { worker, .. }
            | Action::Renew { worker, .. }
            | Action::Stop { worker, .. }
            | Action::Checkpoint { worker, .. }
            | Action::Revoke { worker, .. } => self.workers.iter().position(|known| known.id == *worker),
            _ => None,
        };
        let job = match &action {
            Action::Write { row, .. } => Some(row.id()),
            Action::Start { request, .. } => Some(request.task.job.clone()),
            Action::Checkpoint { task, .. } => Some(task.job.clone()),
            Action::Event(event) => event.job.clone(),
            _ => None,
        };
        let step = Step::of(&action);
        let delivery = step.map_or_else(Delivery::default, |step| {
            self.inject_faults(step, Some(node), target, job)
        });
        let incarnation = self.nodes[node].incarnation;
        match action {
            Action::Fence { epoch, .. } => self.send(node, target, Command::Fence(epoch), delivery),
            Action::Lease { request, .. } => self.send(node, target, Command::Lease(request), delivery),
            Action::Start { request, .. } => self.send(node, target, Command::Start(*request), delivery),
            Action::Renew { request, .. } => self.send(node, target, Command::Renew(request), delivery),
            Action::Stop { task, .. } => self.send(node, target, Command::Stop(epoch, task), delivery),
            Action::Checkpoint { task, .. } => self.send(node, target, Command::Checkpoint(epoch, task), delivery),
            Action::Revoke { lease, .. } => self.send(node, target, Command::Revoke(epoch, lease), delivery),
            Action::ScanJobs => self.schedule(self.now_ms + self.store_latency_ms(), SimEvent::Scan(node, incarnation)),
            Action::Write {
                write,
                row,
                expected_version,
                answer,
                charge,
            } => {
                let write = Write {
                    id: write,
                    row,
                    expected_version,
                    answer,
                    charge,
                };
                let at_ms = self.now_ms + self.store_latency_ms() + delivery.delay_ms;
                self.schedule(at_ms, SimEvent::ApplyWrite(node, incarnation, write, delivery));
            }
            Action::Outcome { job, outcome } => self.outcomes.push((job, *outcome)),
            Action::Event(event) => self.events.push((self.now_ms, event.kind)),
            Action::Grant {
                instance,
                worker,
                lease,
            } => {
                self.grants
                    .insert(lease, (usize::from(instance.as_str() == "b"), worker));
            }
            Action::RecallGrant { worker, lease, .. } => {
                self.grants.remove(&lease);
                self.send_input(node, 10, Input::GrantReleased { worker, lease });
            }
            Action::HandedOver => {
                self.nodes[node].is_handed_over = true;
                self.release_scheduling_lease(node);
            }
        }
    }

    pub(super) fn send(&mut self, node: usize, target: Option<usize>, command: Command, delivery: Delivery) {
        let Some(worker) = target else { return };
        self.sequence += 1;
        let (id, incarnation) = (self.sequence, self.nodes[node].incarnation);
        self.pending_commands.insert(id);
        self.schedule(
            self.now_ms + COMMAND_TIMEOUT_MS,
            SimEvent::Timeout(node, incarnation, id, worker, command.clone()),
        );
        if delivery.is_request_lost {
            return;
        }
        let at_ms = self.now_ms + LINK_LATENCY_MS + delivery.delay_ms;
        if delivery.is_duplicated {
            let redelivery = SimEvent::Deliver(
                node,
                incarnation,
                u64::MAX,
                worker,
                command.clone(),
                Delivery::default(),
            );
            self.schedule(at_ms + 5, redelivery);
        }
        self.schedule(
            at_ms,
            SimEvent::Deliver(node, incarnation, id, worker, command, delivery),
        );
    }
}
