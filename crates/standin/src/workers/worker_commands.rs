use model::{
    Epoch, Inventory, LeaseId, LeaseInfo, LeaseKind, LeaseRequest, RenewRequest, Resources, StartRequest, TaskId,
    TaskReport, WorkerError, WorkerReport,
};
use net::{RevokeRequest, TaskCommand, ThrottleRequest};

use super::execution_log::ExecutionLog;
use super::lease::Lease;
use super::task::Task;
use super::worker_state::WorkerState;

/// Commands of the worker protocol. The caller must have advanced the state to `now_ms`.
impl WorkerState {
    pub fn fence(&mut self, epoch: Epoch, now_ms: u64) -> Result<Inventory, WorkerError> {
        self.check_epoch(epoch, now_ms)?;
        Ok(self.inventory(now_ms))
    }

    pub fn lease(&mut self, request: &LeaseRequest, now_ms: u64) -> Result<LeaseInfo, WorkerError> {
        self.check_epoch(request.epoch, now_ms)?;
        let id = request.lease;
        if let Some(lease) = self.leases.get(&id) {
            return Ok(lease.info(id, now_ms));
        }
        if self.tombstones.contains_key(&id) || id.epoch < self.epoch {
            return Err(WorkerError::LeaseNotLive);
        }
        if self.faults.leaving {
            return Err(WorkerError::Leaving);
        }
        let leased = sum(self.leases.values().map(|lease| lease.resources));
        if !(self.capacity - leased).fits(request.resources) {
            return Err(WorkerError::NoCapacity);
        }
        let lease = Lease {
            holder: request.holder.clone(),
            kind: request.kind,
            resources: request.resources,
            expires_ms: now_ms + request.ttl_ms,
            is_used: false,
        };
        let info = lease.info(id, now_ms);
        self.leases.insert(id, lease);
        self.reset_next_due();
        Ok(info)
    }

    pub fn start(
        &mut self,
        request: &StartRequest,
        now_ms: u64,
        log: &mut ExecutionLog,
    ) -> Result<TaskReport, WorkerError> {
        let is_grant = self.lease_kind(request.lease) == Some(LeaseKind::Grant);
        if !is_grant {
            self.check_epoch(request.epoch, now_ms)?;
        }
        if let Some(task) = self.tasks.get(&request.task) {
            return Ok(task.report_at(now_ms));
        }
        let (highest, run_percent) = (self.epoch, self.faults.run_percent);
        let used = sum(self
            .running()
            .filter(|task| task.report.lease == request.lease)
            .map(|task| task.resources));
        let lease = self.leases.get_mut(&request.lease).ok_or(WorkerError::LeaseNotLive)?;
        if !is_grant && request.lease.epoch < highest {
            return Err(WorkerError::Fenced { highest });
        }
        if !(lease.resources - used).fits(request.resources) {
            return Err(WorkerError::NoCapacity);
        }
        lease.is_used = true;
        let kind = lease.kind;
        let starts = log.count_start(&request.task);
        let task = Task::start(request, kind, starts, now_ms, run_percent);
        let report = task.report_at(now_ms);
        self.add_task(task, now_ms, log);
        Ok(report)
    }

    pub fn renew(&mut self, request: &RenewRequest, now_ms: u64) -> Result<WorkerReport, WorkerError> {
        let is_grant = |id: &LeaseId| self.lease_kind(*id) == Some(LeaseKind::Grant);
        let is_scheduler = request.leases.is_empty() || !request.leases.iter().all(is_grant);
        if is_scheduler {
            self.check_epoch(request.epoch, now_ms)?;
        }
        let mut lapsed = Vec::new();
        for id in &request.leases {
            match self.leases.get_mut(id) {
                Some(lease) => lease.expires_ms = now_ms + request.ttl_ms,
                None => lapsed.push(*id),
            }
        }
        // The scheduler gets all tasks but those under grants, whose answers only the lease holder gets.
        let is_visible = |task: &&Task| {
            is_scheduler && task.kind == LeaseKind::Attempt || request.leases.contains(&task.report.lease)
        };
        let report = WorkerReport {
            worker: self.id.clone(),
            leaving: self.faults.leaving,
            sequence: self.sequence(),
            changes: self
                .changed_after(request.after_sequence)
                .filter(is_visible)
                .map(|task| task.report_at(now_ms))
                .collect(),
            lapsed,
        };
        self.reset_next_due();
        Ok(report)
    }

    pub fn stop(
        &mut self,
        command: &TaskCommand,
        now_ms: u64,
        log: &mut ExecutionLog,
    ) -> Result<TaskReport, WorkerError> {
        self.check_task(command.epoch, &command.task, now_ms)?;
        self.end_task(&command.task, now_ms, log, |task, at| {
            task.stop(at, "stopped by command");
        });
        self.report_of(&command.task, now_ms)
    }

    /// Takes a checkpoint and stops the task; `None` if the task cannot be checkpointed.
    pub fn checkpoint(
        &mut self,
        command: &TaskCommand,
        now_ms: u64,
        log: &mut ExecutionLog,
    ) -> Result<Option<TaskReport>, WorkerError> {
        let task = self.check_task(command.epoch, &command.task, now_ms)?;
        if task.is_running() && !task.is_checkpointable {
            return Ok(None);
        }
        self.end_task(&command.task, now_ms, log, Task::checkpoint);
        self.report_of(&command.task, now_ms).map(Some)
    }

    pub fn throttle(&mut self, request: &ThrottleRequest, now_ms: u64) -> Result<TaskReport, WorkerError> {
        let task = self.check_task(request.epoch, &request.task, now_ms)?;
        if task.is_running() {
            task.throttle(request.share_percent, now_ms);
        }
        let report = task.report_at(now_ms);
        self.reset_next_due();
        Ok(report)
    }

    pub fn revoke(
        &mut self,
        request: &RevokeRequest,
        now_ms: u64,
        log: &mut ExecutionLog,
    ) -> Result<Vec<TaskReport>, WorkerError> {
        if self.lease_kind(request.lease) != Some(LeaseKind::Grant) {
            self.check_epoch(request.epoch, now_ms)?;
        }
        let under_lease = self.tasks.values().filter(|task| task.report.lease == request.lease);
        let mut tasks: Vec<TaskId> = under_lease.map(|task| task.report.task.clone()).collect();
        tasks.sort();
        for id in &tasks {
            self.end_task(id, now_ms, log, |task, at| {
                task.stop(at, "slot lease was revoked");
            });
        }
        self.end_lease(request.lease, now_ms);
        tasks.iter().map(|id| self.report_of(id, now_ms)).collect()
    }

    /// Rejects an epoch below the highest seen; a higher one fences off the former epochs, whatever the command.
    fn check_epoch(&mut self, epoch: Epoch, now_ms: u64) -> Result<(), WorkerError> {
        if epoch < self.epoch {
            return Err(WorkerError::Fenced { highest: self.epoch });
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            let unused = self
                .leases
                .iter()
                .filter(|(id, lease)| lease.kind == LeaseKind::Attempt && !lease.is_used && id.epoch < epoch);
            let unused: Vec<LeaseId> = unused.map(|(id, _)| *id).collect();
            for id in unused {
                self.end_lease(id, now_ms);
            }
        }
        Ok(())
    }

    /// Checks the epoch, except for tasks under grants, and returns the task.
    fn check_task(&mut self, epoch: Epoch, id: &TaskId, now_ms: u64) -> Result<&mut Task, WorkerError> {
        if self.tasks.get(id).is_none_or(|task| task.kind == LeaseKind::Attempt) {
            self.check_epoch(epoch, now_ms)?;
        }
        self.tasks.get_mut(id).ok_or(WorkerError::UnknownTask)
    }

    fn report_of(&self, id: &TaskId, now_ms: u64) -> Result<TaskReport, WorkerError> {
        self.report(id, now_ms).ok_or(WorkerError::UnknownTask)
    }
}

fn sum(amounts: impl Iterator<Item = Resources>) -> Resources {
    amounts.fold(Resources::default(), |total, amount| total + amount)
}
