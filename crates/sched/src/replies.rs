use model::{Inventory, LeaseId, TaskReport, WorkerError, WorkerId, WorkerReport};
use policy::{Event as Observed, Policy};
use trace::{Event, EventKind};

use crate::run::{Cause, Part, Stage};
use crate::scheduler::{Mode, Scheduler};
use crate::worker_state::{Health, Leaving};
use crate::{Action, LostCommand, WorkerReply};

impl<P: Policy> Scheduler<P> {
    /// Takes a reply of a worker, or the news that there is none.
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
                Ok(report) => self.report(&report, actions),
                // A refusal is proof only of this copy of the request; the revocation settles it.
                Err(_) => self.end_attempt(&task, Cause::PartEnded, actions),
            },
            WorkerReply::Renewed(result) => self.renewed(ix, result, actions),
            WorkerReply::Ended { result, .. } => match result {
                Ok(report) => self.report(&report, actions),
                Err(_) => self.probe(ix, actions),
            },
            WorkerReply::Revoked { lease, result } => self.revoked(ix, lease, result, actions),
            WorkerReply::Lost(command) => self.lost(ix, &command, actions),
        }
    }

    fn leased(&mut self, ix: usize, lease: LeaseId, result: Result<(), WorkerError>, actions: &mut Vec<Action>) {
        if self.workers[ix].grants.contains(&lease) {
            self.grant_leased(lease, result, actions);
            return;
        }
        let Some(key) = self.workers[ix].seats.get(&lease).copied() else {
            return;
        };
        let Some(run) = self.jobs.get_mut(key).and_then(|job| job.run.as_mut()) else {
            return;
        };
        let Some(seat) = run.seat_mut(lease).filter(|seat| seat.stage == Stage::Asked) else {
            return;
        };
        match result {
            Ok(()) => {
                seat.stage = Stage::Granted;
                let event = Event::new(EventKind::LeaseGranted)
                    .lease(lease)
                    .worker(self.workers[ix].id.clone());
                self.event(event, actions);
                self.advance(key, actions);
            }
            Err(error) => {
                // No start was sent under it, so a late copy of the request can only hold the slot until it expires.
                seat.stage = Stage::Released;
                run.settle_absent(lease, &[]);
                if error == WorkerError::Leaving {
                    self.leave(ix, Leaving::Reported, actions);
                }
                self.end_run(key, Cause::Refused(Some(ix)), actions);
            }
        }
    }

    /// Takes a report of a task.
    pub(crate) fn report(&mut self, report: &TaskReport, actions: &mut Vec<Action>) {
        let Some(key) = self.by_id.get(&report.task.job).copied() else {
            return;
        };
        let Some(run) = self.jobs.get_mut(key).and_then(|job| job.run.as_mut()) else {
            return;
        };
        if run.apply(report) {
            let lease = report.lease;
            let is_settled = run.is_seat_settled(lease);
            if let Some(seat) = run.seat_mut(lease)
                && (seat.stage == Stage::Lapsed || (seat.stage == Stage::Revoking && seat.is_revoked))
                && is_settled
            {
                seat.stage = Stage::Released;
            }
            self.advance(key, actions);
        }
    }

    fn end_attempt(&mut self, task: &model::TaskId, cause: Cause, actions: &mut Vec<Action>) {
        let Some(key) = self.by_id.get(&task.job).copied() else {
            return;
        };
        let run = self.jobs[key].run.as_ref();
        if run.is_some_and(|run| {
            run.number == task.attempt && !matches!(run.parts[usize::from(task.part)], Part::Running)
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
            // Either an old reply or a worker that lost its memory; the inventory tells.
            self.probe(ix, actions);
            return;
        }
        self.workers[ix].sequence = report.sequence;
        for change in &report.changes {
            self.report(change, actions);
        }
        for lease in report.lapsed {
            if let Some(key) = self.workers[ix].seats.get(&lease).copied() {
                self.end_run(key, Cause::PartEnded, actions);
            }
        }
        let worker = &mut self.workers[ix];
        if report.leaving {
            self.leave(ix, Leaving::Reported, actions);
        } else if worker.leaving == Leaving::Reported {
            worker.leaving = Leaving::No;
            if let Some(worker) = worker.key {
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
        let Some(key) = self.workers[ix].seats.get(&lease).copied() else {
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
                // The worker revokes without stopping: nothing more can start, and what runs is stopped by command.
                present.push(report.task.part);
                actions.push(Action::Stop {
                    worker: self.workers[ix].id.clone(),
                    task: report.task.clone(),
                });
            }
        }
        run.settle_absent(lease, &present);
        if let Some(seat) = run.seat_mut(lease) {
            seat.is_revoked = true;
            if present.is_empty() {
                seat.stage = Stage::Released;
            }
        }
        let event = Event::new(EventKind::LeaseEnded)
            .lease(lease)
            .worker(self.workers[ix].id.clone());
        self.event(event, actions);
        self.end_run(key, Cause::PartEnded, actions);
    }

    fn lost(&mut self, ix: usize, command: &LostCommand, actions: &mut Vec<Action>) {
        let worker = &mut self.workers[ix];
        match command {
            LostCommand::Fence => {
                worker.fence_op = None;
                if self.mode == Mode::Recovering {
                    self.check_recovered(actions);
                }
                self.check_down(ix, actions);
                // The next one is sent when the worker is due.
                return;
            }
            LostCommand::Renew => worker.is_renewing = false,
            LostCommand::Lease(lease) if worker.grants.contains(lease) => {
                let lease = *lease;
                self.grant_lost(lease, actions);
            }
            LostCommand::Lease(lease) => {
                if let Some(key) = worker.seats.get(lease).copied() {
                    self.end_run(key, Cause::Refused(Some(ix)), actions);
                }
            }
            LostCommand::Start(_) | LostCommand::End(_) | LostCommand::Revoke(_) => {}
        }
        self.check_down(ix, actions);
        self.probe(ix, actions);
    }

    /// Takes an inventory: settles what is known of the worker's leases and takes it as answering.
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
            // An old reply that overtook a newer one, unless the next one is the same.
            worker.has_regressed = true;
            self.probe(ix, actions);
            return;
        }
        worker.wants_inventory = false;
        let has_restarted = std::mem::take(&mut worker.has_regressed);
        worker.sequence = inventory.sequence;
        if has_restarted {
            self.distrust(ix);
        }
        if self.mode == Mode::Recovering {
            self.workers[ix].inventory = Some(inventory);
            self.check_recovered(actions);
        } else {
            self.reconcile(ix, &inventory, op, actions);
            self.up(ix, inventory.leaving, actions);
        }
    }

    /// The worker lost its memory: that it does not know a task proves nothing about the task.
    fn distrust(&mut self, ix: usize) {
        for key in self.workers[ix].seats.values() {
            if let Some(run) = self.jobs.get_mut(*key).and_then(|job| job.run.as_mut()) {
                run.is_absence_proof = false;
            }
        }
    }

    /// The worker answers and its leases are settled.
    pub(crate) fn up(&mut self, ix: usize, is_leaving: bool, actions: &mut Vec<Action>) {
        let worker = &mut self.workers[ix];
        let was_up = worker.health == Health::Up;
        worker.health = Health::Up;
        let (id, key) = (worker.id.clone(), worker.key);
        if !was_up {
            self.event(Event::new(EventKind::WorkerUp).worker(id), actions);
            if let Some(worker) = key {
                self.policy.observe(self.now_ms, Observed::WorkerUp { worker });
            }
            // What the policy was told of the leaving worker is replaced by its return.
            let before = std::mem::replace(&mut self.workers[ix].leaving, Leaving::No);
            if before == Leaving::Listed {
                self.leave(ix, Leaving::Listed, actions);
            }
        }
        if is_leaving {
            self.leave(ix, Leaving::Reported, actions);
        }
    }

    /// Takes the platform's word that a worker is leaving.
    pub(crate) fn worker_leaving(&mut self, id: &WorkerId, actions: &mut Vec<Action>) {
        if let Some(ix) = self.worker_index.get(id).copied() {
            self.leave(ix, Leaving::Listed, actions);
        }
    }

    fn leave(&mut self, ix: usize, by: Leaving, actions: &mut Vec<Action>) {
        let worker = &mut self.workers[ix];
        let before = worker.leaving;
        if before != Leaving::Listed {
            worker.leaving = by;
        }
        if before != Leaving::No {
            return;
        }
        let (id, key) = (worker.id.clone(), worker.key);
        self.event(Event::new(EventKind::WorkerLeaving).worker(id), actions);
        if let Some(worker) = key {
            self.policy.observe(self.now_ms, Observed::WorkerLeaving { worker });
        }
        self.withdraw_from(ix, actions);
    }
}
