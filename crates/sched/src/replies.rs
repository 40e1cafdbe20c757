use model::{Inventory, LeaseId, TaskReport, WorkerError, WorkerId, WorkerReport};
use policy::{Event as Observed, Policy};
use trace::{Event, EventKind};

use crate::run::{EndCause, LeaseState, PartState};
use crate::scheduler::{Mode, Scheduler};
use crate::worker_state::{Draining, Health};
use crate::{Action, LostCommand, WorkerReply};

impl<P: Policy> Scheduler<P> {
    /// Handles a reply of a worker or its loss.
    pub(crate) fn worker_reply(&mut self, id: &WorkerId, reply: WorkerReply, actions: &mut Vec<Action>) {
        let Some(ix) = self.worker_index.get(id).copied() else {
            return;
        };
        let error = match &reply {
            WorkerReply::Leased { result, .. } => result.as_ref().err(),
            WorkerReply::Started { result, .. } | WorkerReply::Ended { result, .. } => result.as_ref().err(),
            WorkerReply::Renewed(result) => result.as_ref().err(),
            WorkerReply::Revoked { result, .. } => result.as_ref().err(),
            WorkerReply::Fenced(_) | WorkerReply::Lost(_) => None,
        };
        if let Some(WorkerError::Fenced { highest }) = error
            && *highest > self.epoch
        {
            self.step_down("fenced", actions);
            return;
        }
        if !matches!(reply, WorkerReply::Lost(_)) {
            self.workers[ix].last_reply_ms = self.now_ms;
        }
        match reply {
            WorkerReply::Fenced(inventory) => self.fenced(ix, inventory, actions),
            WorkerReply::Leased { lease, result } => self.leased(ix, lease, result, actions),
            WorkerReply::Started { task, result } => match result {
                Ok(report) => self.handle_report(&report, actions),
                // The refusal proves only that this copy of the request started nothing; the revocation settles it.
                Err(_) => self.end_run_of(&task, EndCause::PartEnded, actions),
            },
            WorkerReply::Renewed(result) => self.renewed(ix, result, actions),
            WorkerReply::Ended { result, .. } => match result {
                Ok(report) => self.handle_report(&report, actions),
                Err(_) => self.probe(ix, actions),
            },
            WorkerReply::Revoked { lease, result } => self.revoked(ix, lease, result, actions),
            WorkerReply::Lost(command) => self.command_lost(ix, &command, actions),
        }
    }

    fn leased(&mut self, ix: usize, lease: LeaseId, result: Result<(), WorkerError>, actions: &mut Vec<Action>) {
        if self.workers[ix].grants.contains(&lease) {
            self.grant_leased(lease, result, actions);
            return;
        }
        let Some(key) = self.workers[ix].attempt_leases.get(&lease).copied() else {
            return;
        };
        let Some(run) = self.jobs.get_mut(key).and_then(|job| job.run.as_mut()) else {
            return;
        };
        let Some(attempt_lease) = run
            .attempt_lease_mut(lease)
            .filter(|attempt_lease| attempt_lease.state == LeaseState::Requested)
        else {
            return;
        };
        match result {
            Ok(()) => {
                attempt_lease.state = LeaseState::Granted;
                let event = Event::new(EventKind::LeaseGranted)
                    .lease(lease)
                    .worker(self.workers[ix].id.clone());
                self.event(event, actions);
                self.advance(key, actions);
            }
            Err(error) => {
                // No start was sent under it, so a late copy of the request only occupies the slot until it expires.
                attempt_lease.state = LeaseState::Released;
                run.settle_absent(lease, &[]);
                if error == WorkerError::Leaving {
                    self.mark_draining(ix, Draining::Reported, actions);
                }
                self.end_run(key, EndCause::Refused(Some(ix)), actions);
            }
        }
    }

    /// Handles a task report.
    pub(crate) fn handle_report(&mut self, report: &TaskReport, actions: &mut Vec<Action>) {
        let Some(key) = self.by_id.get(&report.task.job).copied() else {
            return;
        };
        let Some(run) = self.jobs.get_mut(key).and_then(|job| job.run.as_mut()) else {
            return;
        };
        if run.apply(report) {
            let lease = report.lease;
            let is_settled = run.is_attempt_lease_settled(lease);
            if let Some(attempt_lease) = run.attempt_lease_mut(lease)
                && (attempt_lease.state == LeaseState::Expired
                    || (attempt_lease.state == LeaseState::Revoking && attempt_lease.is_revoked))
                && is_settled
            {
                attempt_lease.state = LeaseState::Released;
            }
            self.advance(key, actions);
        }
    }

    fn end_run_of(&mut self, task: &model::TaskId, cause: EndCause, actions: &mut Vec<Action>) {
        let Some(key) = self.by_id.get(&task.job).copied() else {
            return;
        };
        let run = self.jobs[key].run.as_ref();
        if run.is_some_and(|run| {
            run.number == task.attempt && !matches!(run.parts[usize::from(task.part)], PartState::Running)
        }) {
            self.end_run(key, cause, actions);
        }
    }

    fn renewed(&mut self, ix: usize, result: Result<Box<WorkerReport>, WorkerError>, actions: &mut Vec<Action>) {
        self.workers[ix].is_renewing = false;
        let Ok(report) = result else {
            self.probe(ix, actions);
            return;
        };
        if report.sequence < self.workers[ix].sequence {
            // Either an old reply or a worker that lost its state; the inventory shows which.
            self.probe(ix, actions);
            return;
        }
        self.workers[ix].sequence = report.sequence;
        for change in &report.changes {
            self.handle_report(change, actions);
        }
        for lease in report.lapsed {
            if let Some(key) = self.workers[ix].attempt_leases.get(&lease).copied() {
                self.end_run(key, EndCause::PartEnded, actions);
            }
        }
        let worker = &mut self.workers[ix];
        if report.leaving {
            self.mark_draining(ix, Draining::Reported, actions);
        } else if worker.draining == Draining::Reported {
            worker.draining = Draining::No;
            if let Some(worker) = worker.policy_key {
                self.policy.observe(self.now_ms, Observed::WorkerUp { worker });
            }
        }
    }

    fn revoked(
        &mut self,
        ix: usize,
        lease: LeaseId,
        result: Result<Vec<TaskReport>, WorkerError>,
        actions: &mut Vec<Action>,
    ) {
        if self.workers[ix].grants.contains(&lease) {
            self.grant_revoked(lease, result.is_ok(), actions);
            return;
        }
        let Some(key) = self.workers[ix].attempt_leases.get(&lease).copied() else {
            return;
        };
        let Ok(reports) = result else {
            self.probe(ix, actions);
            return;
        };
        let Some(run) = self.jobs.get_mut(key).and_then(|job| job.run.as_mut()) else {
            return;
        };
        let mut present = Vec::new();
        for report in &reports {
            run.apply(report);
            if !report.state.is_ended() {
                // A revocation prevents further starts but does not stop running tasks, which need a stop command.
                present.push(report.task.part);
                actions.push(Action::Stop {
                    worker: self.workers[ix].id.clone(),
                    task: report.task.clone(),
                });
            }
        }
        run.settle_absent(lease, &present);
        if let Some(attempt_lease) = run.attempt_lease_mut(lease) {
            attempt_lease.is_revoked = true;
            if present.is_empty() {
                attempt_lease.state = LeaseState::Released;
            }
        }
        let event = Event::new(EventKind::LeaseEnded)
            .lease(lease)
            .worker(self.workers[ix].id.clone());
        self.event(event, actions);
        self.end_run(key, EndCause::PartEnded, actions);
    }

    fn command_lost(&mut self, ix: usize, command: &LostCommand, actions: &mut Vec<Action>) {
        let worker = &mut self.workers[ix];
        match command {
            LostCommand::Fence => {
                worker.fence_op = None;
                if self.mode == Mode::Recovering {
                    self.check_recovered(actions);
                }
                self.check_down(ix, actions);
                // The next fence is sent when the timer of the worker is due.
                return;
            }
            LostCommand::Renew => worker.is_renewing = false,
            LostCommand::Lease(lease) if worker.grants.contains(lease) => {
                let lease = *lease;
                self.grant_lost(lease, actions);
            }
            LostCommand::Lease(lease) => {
                if let Some(key) = worker.attempt_leases.get(lease).copied() {
                    self.end_run(key, EndCause::Refused(Some(ix)), actions);
                }
            }
            LostCommand::Start(_) | LostCommand::End(_) | LostCommand::Revoke(_) => {}
        }
        self.check_down(ix, actions);
        self.probe(ix, actions);
    }

    /// Handles an inventory: reconciles the worker's leases with it and marks the worker as up.
    fn fenced(&mut self, ix: usize, inventory: Box<Inventory>, actions: &mut Vec<Action>) {
        if inventory.epoch > self.epoch {
            self.step_down("fenced", actions);
            return;
        }
        let worker = &mut self.workers[ix];
        let Some(op) = worker.fence_op.take().filter(|_| inventory.epoch == self.epoch) else {
            return;
        };
        if inventory.sequence < worker.sequence && !worker.has_regressed {
            // A delayed old reply, unless the next inventory has regressed too, which means that the worker restarted.
            worker.has_regressed = true;
            self.probe(ix, actions);
            return;
        }
        worker.needs_inventory = false;
        let has_restarted = std::mem::take(&mut worker.has_regressed);
        worker.sequence = inventory.sequence;
        if has_restarted {
            self.invalidate_absence_proofs(ix);
        }
        if self.mode == Mode::Recovering {
            self.workers[ix].inventory = Some(inventory);
            self.check_recovered(actions);
        } else {
            self.reconcile(ix, &inventory, op, actions);
            self.mark_up(ix, inventory.leaving, actions);
        }
    }

    /// Handles a worker that lost its state: a task missing from its inventory may still have started.
    fn invalidate_absence_proofs(&mut self, ix: usize) {
        for key in self.workers[ix].attempt_leases.values() {
            if let Some(run) = self.jobs.get_mut(*key).and_then(|job| job.run.as_mut()) {
                run.is_absence_proof = false;
            }
        }
    }

    /// Marks a worker as up after its leases were reconciled.
    pub(crate) fn mark_up(&mut self, ix: usize, is_draining: bool, actions: &mut Vec<Action>) {
        let worker = &mut self.workers[ix];
        let was_up = worker.health == Health::Up;
        worker.health = Health::Up;
        let (id, key) = (worker.id.clone(), worker.policy_key);
        if !was_up {
            self.event(Event::new(EventKind::WorkerUp).worker(id), actions);
            if let Some(worker) = key {
                self.policy.observe(self.now_ms, Observed::WorkerUp { worker });
            }
            // The event `WorkerUp` cleared the draining state in the policy, so that it is reported again.
            let before = std::mem::replace(&mut self.workers[ix].draining, Draining::No);
            if before == Draining::Listed {
                self.mark_draining(ix, Draining::Listed, actions);
            }
        }
        if is_draining {
            self.mark_draining(ix, Draining::Reported, actions);
        }
    }

    /// Handles a platform list that shows a worker as draining.
    pub(crate) fn worker_draining(&mut self, id: &WorkerId, actions: &mut Vec<Action>) {
        if let Some(ix) = self.worker_index.get(id).copied() {
            self.mark_draining(ix, Draining::Listed, actions);
        }
    }

    fn mark_draining(&mut self, ix: usize, by: Draining, actions: &mut Vec<Action>) {
        let worker = &mut self.workers[ix];
        let before = worker.draining;
        if before != Draining::Listed {
            worker.draining = by;
        }
        if before != Draining::No {
            return;
        }
        let (id, key) = (worker.id.clone(), worker.policy_key);
        self.event(Event::new(EventKind::WorkerLeaving).worker(id), actions);
        if let Some(worker) = key {
            self.policy.observe(self.now_ms, Observed::WorkerDraining { worker });
        }
        self.withdraw_from(ix, actions);
    }
}
