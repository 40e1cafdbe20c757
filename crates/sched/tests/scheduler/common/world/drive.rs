use std::sync::Arc;

use sched::{Action, Input, WorkerReply};

use super::super::{Command, Defect, Fleet, Step, config};
use super::{AnyWorld, Ev, LEASE_MS, LINK_MS, Message, Process, TICK_MS, TIMEOUT_MS, Write};

impl<P: Fleet> AnyWorld<P> {
    pub(super) fn happen(&mut self, ev: Ev) {
        let is_old = |world: &Self, node: usize, incarnation: u32| world.nodes[node].incarnation != incarnation;
        match ev {
            Ev::Tick(node) => {
                self.handle(node, Input::Tick);
                self.post(self.now_ms + TICK_MS, Ev::Tick(node));
            }
            Ev::Lease(node) => {
                self.lease_loop(node);
                self.post(self.now_ms + LEASE_MS, Ev::Lease(node));
            }
            Ev::Input(node, incarnation, input) if !is_old(self, node, incarnation) => self.handle(node, input),
            Ev::Deliver(node, incarnation, id, worker, command, message) => {
                let target = &mut self.workers[worker];
                if target.frozen_at_ms.is_some() {
                    // The command waits in the worker's socket.
                    let again = Ev::Deliver(node, incarnation, id, worker, command, message);
                    self.post(self.now_ms + 50, again);
                    return;
                }
                if target.is_dead || self.cut_off_until_ms[worker] > self.now_ms {
                    return;
                }
                let reply = target.handle(self.now_ms, command);
                if message.is_reply_lost {
                    return;
                }
                let is_end = |reply: &WorkerReply| matches!(reply, WorkerReply::Renewed(Ok(r)) if r.changes.iter().any(|c| c.state.is_ended()));
                let mut back = Message::default();
                if is_end(&reply) {
                    let WorkerReply::Renewed(Ok(report)) = &reply else {
                        return;
                    };
                    let job = report.changes[0].task.job.clone();
                    back = self.strike(Step::Report, Some(node), Some(worker), Some(job));
                }
                let at_ms = self.now_ms + LINK_MS + back.delay_ms;
                if back.is_duplicated || message.is_duplicated {
                    let again = Ev::Reply(node, incarnation, u64::MAX, worker, reply.clone());
                    self.post(at_ms + 20, again);
                }
                if !back.is_reply_lost && !back.is_request_lost {
                    self.post(at_ms, Ev::Reply(node, incarnation, id, worker, reply));
                }
            }
            Ev::Reply(node, incarnation, id, worker, reply)
                if !is_old(self, node, incarnation) && (id == u64::MAX || self.open.remove(&id)) =>
            {
                // A reply after its loss was reported is not read, except for a duplicate of one that was in time.
                let worker = self.workers[worker].id.clone();
                self.handle(node, Input::Worker { worker, reply });
            }
            Ev::Timeout(node, incarnation, id, worker, command)
                if !is_old(self, node, incarnation) && self.open.remove(&id) =>
            {
                let worker = self.workers[worker].id.clone();
                let reply = WorkerReply::Lost(command.lost());
                self.handle(node, Input::Worker { worker, reply });
            }
            Ev::Apply(node, incarnation, write, message) => self.apply(node, incarnation, &write, message),
            Ev::ReadBack(node, incarnation, write) => self.read_back(node, incarnation, write),
            Ev::Scan(node, incarnation) if !is_old(self, node, incarnation) => {
                if self.is_store_up() {
                    let rows = self.table.scan(self.stale_until_ms > self.now_ms);
                    self.handle(node, Input::JobRows { rows });
                } else {
                    self.post(self.now_ms + LEASE_MS, Ev::Scan(node, incarnation));
                }
            }
            Ev::Thaw(node) => self.thaw(node),
            Ev::Revive(node) => self.revive(node),
            Ev::ThawWorker(worker) => self.workers[worker].thaw(self.now_ms),
            Ev::RestartWorker(worker) => self.workers[worker].restart(self.now_ms),
            Ev::Reach(step) => self.reach(step),
            Ev::RenewGrants => {
                for (lease, (node, id)) in self.grants.clone() {
                    let Some(worker) = self.workers.iter_mut().find(|worker| worker.id == id) else {
                        continue;
                    };
                    let is_away = worker.is_dead || worker.frozen_at_ms.is_some();
                    if self.nodes[node].process != Process::Runs || is_away || worker.renew_grant(self.now_ms, lease) {
                        continue;
                    }
                    self.grants.remove(&lease);
                    if let Some(holder) = self.holder {
                        self.send(holder, 2 * LINK_MS, Input::GrantReleased { worker: id, lease });
                    }
                }
                self.post(self.now_ms + 1_000, Ev::RenewGrants);
            }
            _ => {}
        }
    }

    pub(super) fn reach(&mut self, step: Step) {
        let message = self.strike(step, self.holder, Some(0), None);
        let late_ms = if message.is_request_lost {
            1_000
        } else {
            message.delay_ms
        };
        match step {
            Step::Out => {
                self.out_ms = Some(self.now_ms + late_ms);
                let config = Arc::new(config(self.version, false, false));
                let readers = if self.table.defect == Some(Defect::LosesConfig) {
                    0
                } else {
                    2
                };
                for node in 0..readers {
                    let config = config.clone();
                    self.send_script(node, late_ms, message, Input::Configured { config });
                }
            }
            Step::Leaving => {
                self.leaving_ms = Some((0, self.now_ms));
                self.workers[0].is_leaving = true;
                let worker = self.workers[0].id.clone();
                for node in 0..2 {
                    let worker = worker.clone();
                    self.send_script(node, late_ms, message, Input::WorkerLeaving { worker });
                }
            }
            Step::Stop => {
                if let Some(node) = self.holder {
                    self.nodes[node].is_stopping = true;
                    self.send_script(node, late_ms, message, Input::Stopping);
                }
            }
            Step::Checkpoint => {
                let in_service = self.out_ms.is_none() || self.table.defect == Some(Defect::LosesConfig);
                self.configure(in_service, true);
            }
            _ => {}
        }
    }

    fn send_script(&mut self, node: usize, late_ms: u64, message: Message, input: Input) {
        if message.is_duplicated {
            self.send(node, LINK_MS + late_ms + 5, input.clone());
        }
        self.send(node, LINK_MS + late_ms, input);
    }

    pub(super) fn lease_loop(&mut self, node: usize) {
        let me = &self.nodes[node];
        if me.process != Process::Runs {
            return;
        }
        let (was_up, is_up) = (me.sees_store, self.is_store_up());
        self.nodes[node].sees_store = is_up;
        if was_up != is_up {
            self.handle(node, Input::StoreReachable(is_up));
        }
        if !is_up {
            return;
        }
        self.release_lease(node);
        if self.nodes[node].epoch.is_some_and(|epoch| epoch < self.epoch) {
            self.nodes[node].epoch = None;
            self.handle(node, Input::Deposed);
        }
        if self.nodes[node].epoch == Some(self.epoch) {
            self.renewed_ms = self.now_ms;
        } else if !self.nodes[node].is_stopping && (self.holder.is_none() || self.renewed_ms + 2_000 <= self.now_ms) {
            self.epoch = self.epoch.next();
            self.holder = Some(node);
            self.renewed_ms = self.now_ms;
            self.nodes[node].epoch = Some(self.epoch);
            let epoch = self.epoch;
            self.handle(node, Input::Elected { epoch });
        }
    }

    fn release_lease(&mut self, node: usize) {
        let me = &mut self.nodes[node];
        if me.is_handed_over && me.epoch == Some(self.epoch) && self.store_down_until_ms <= self.now_ms {
            me.epoch = None;
            self.holder = None;
            self.send(node, LINK_MS, Input::Deposed);
        }
    }

    pub(super) fn handle(&mut self, node: usize, input: Input) {
        let unix_ms = self.unix_ms();
        let me = &mut self.nodes[node];
        if me.process == Process::Dead {
            return;
        }
        if me.process == Process::Frozen {
            if input != Input::Tick {
                me.inbox.push_back(input);
            }
            return;
        }
        let mut actions = Vec::new();
        // The clocks of the instances differ.
        let clock_ms = self.now_ms + 7_777 * node as u64;
        me.sched.handle(clock_ms, unix_ms, input, &mut actions);
        self.actions += actions.len();
        self.perform_all(node, actions);
    }

    pub(super) fn perform_all(&mut self, node: usize, actions: Vec<Action>) {
        let mut actions = actions.into_iter();
        while let Some(action) = actions.next() {
            self.perform(node, action);
            let me = &mut self.nodes[node];
            if me.process == Process::Dead {
                return;
            }
            if me.process == Process::Frozen {
                me.held_back.extend(actions);
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
        let message = step.map_or_else(Message::default, |step| self.strike(step, Some(node), target, job));
        let incarnation = self.nodes[node].incarnation;
        match action {
            Action::Fence { epoch, .. } => self.command(node, target, Command::Fence(epoch), message),
            Action::Lease { request, .. } => self.command(node, target, Command::Lease(request), message),
            Action::Start { request, .. } => self.command(node, target, Command::Start(*request), message),
            Action::Renew { request, .. } => self.command(node, target, Command::Renew(request), message),
            Action::Stop { task, .. } => self.command(node, target, Command::Stop(epoch, task), message),
            Action::Checkpoint { task, .. } => self.command(node, target, Command::Checkpoint(epoch, task), message),
            Action::Revoke { lease, .. } => self.command(node, target, Command::Revoke(epoch, lease), message),
            Action::ScanJobs => self.post(self.now_ms + self.store_ms(), Ev::Scan(node, incarnation)),
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
                let at_ms = self.now_ms + self.store_ms() + message.delay_ms;
                self.post(at_ms, Ev::Apply(node, incarnation, write, message));
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
                self.send(node, 10, Input::GrantReleased { worker, lease });
            }
            Action::HandedOver => {
                self.nodes[node].is_handed_over = true;
                self.release_lease(node);
            }
        }
    }

    pub(super) fn command(&mut self, node: usize, target: Option<usize>, command: Command, message: Message) {
        let Some(worker) = target else { return };
        self.sequence += 1;
        let (id, incarnation) = (self.sequence, self.nodes[node].incarnation);
        self.open.insert(id);
        self.post(
            self.now_ms + TIMEOUT_MS,
            Ev::Timeout(node, incarnation, id, worker, command.clone()),
        );
        if message.is_request_lost {
            return;
        }
        let at_ms = self.now_ms + LINK_MS + message.delay_ms;
        if message.is_duplicated {
            let again = Ev::Deliver(node, incarnation, u64::MAX, worker, command.clone(), Message::default());
            self.post(at_ms + 5, again);
        }
        self.post(at_ms, Ev::Deliver(node, incarnation, id, worker, command, message));
    }
}
