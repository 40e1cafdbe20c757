use std::collections::{BTreeMap, BTreeSet};

use model::{
    Answer, Epoch, InstanceId, Inventory, LeaseId, LeaseInfo, LeaseKind, LeaseRequest, RenewRequest, Resources,
    StartRequest, TaskId, TaskReport, TaskState, WorkerError, WorkerId, WorkerReport,
};
use sched::WorkerReply;

use super::{Command, Defect};

/// Start of a task, as the worker recorded it.
#[derive(Debug, Clone)]
pub struct StartRecord {
    pub task: TaskId,
    pub lease: LeaseId,
    pub at_ms: u64,
    /// When the task ended; `None` while it runs.
    pub end_ms: Option<u64>,
    pub state: TaskState,
    pub is_resumed: bool,
}

#[derive(Debug, Clone)]
struct Lease {
    holder: InstanceId,
    kind: LeaseKind,
    resources: Resources,
    expires_at_ms: u64,
}

#[derive(Debug, Clone)]
struct Task {
    report: TaskReport,
    finishes_at_ms: u64,
    sequence: u64,
    log_index: usize,
}

/// Worker that honours leases, epochs, fences, revocations and repeated starts.
#[derive(Debug, Clone)]
pub struct FakeWorker {
    pub id: WorkerId,
    pub start_log: Vec<StartRecord>,
    pub defect: Option<Defect>,
    pub fails_all_tasks: bool,
    pub is_draining: bool,
    pub is_dead: bool,
    pub frozen_at_ms: Option<u64>,
    epoch: Epoch,
    capacity: Resources,
    leases: BTreeMap<LeaseId, Lease>,
    /// Revoked and expired leases, which a late request must not recreate.
    ended_leases: BTreeSet<LeaseId>,
    tasks: BTreeMap<TaskId, Task>,
    sequence: u64,
}

impl FakeWorker {
    /// Creates an idle worker.
    pub fn new(id: WorkerId, capacity: Resources, defect: Option<Defect>) -> Self {
        Self {
            id,
            start_log: Vec::new(),
            defect,
            fails_all_tasks: false,
            is_draining: false,
            is_dead: false,
            frozen_at_ms: None,
            epoch: Epoch(0),
            capacity,
            leases: BTreeMap::new(),
            ended_leases: BTreeSet::new(),
            tasks: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Loses its state, as a killed process does, and does not restart; `start_log` is kept for the checks.
    pub fn kill(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.is_dead = true;
        self.clear_memory(now_ms);
    }

    /// Restarts without state and answers at once.
    pub fn restart(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.clear_memory(now_ms);
    }

    fn clear_memory(&mut self, now_ms: u64) {
        for task in std::mem::take(&mut self.tasks).into_values() {
            let record = &mut self.start_log[task.log_index];
            record.end_ms.get_or_insert(now_ms);
        }
        self.leases.clear();
        self.ended_leases.clear();
        self.sequence = 0;
    }

    /// Advances the clock: tasks finish, and leases expire and stop their tasks.
    pub fn advance(&mut self, now_ms: u64) {
        if self.frozen_at_ms.is_some() || self.is_dead {
            return;
        }
        let running: Vec<TaskId> = self.running();
        for id in running {
            let task = &self.tasks[&id];
            let expires_at_ms = match self.leases.get(&task.report.lease) {
                Some(lease) => lease.expires_at_ms,
                None if self.defect == Some(Defect::KeepsTasksOnRevoke) => u64::MAX,
                None => 0,
            };
            let finishes_at_ms = task.finishes_at_ms;
            if finishes_at_ms <= now_ms && finishes_at_ms <= expires_at_ms {
                let state = if self.fails_all_tasks {
                    TaskState::Failed
                } else {
                    TaskState::Finished
                };
                self.end_task(&id, state, finishes_at_ms);
            } else if expires_at_ms <= now_ms && self.defect != Some(Defect::IgnoresLeases) {
                self.end_task(&id, TaskState::Stopped, expires_at_ms);
            } else if finishes_at_ms <= now_ms {
                self.end_task(&id, TaskState::Finished, finishes_at_ms);
            }
        }
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            self.ended_leases.insert(id);
        }
    }

    /// Resumes a frozen worker and processes what was due meanwhile.
    pub fn thaw(&mut self, now_ms: u64) {
        let Some(frozen_ms) = self.frozen_at_ms.take() else {
            return;
        };
        for task in self.tasks.values_mut().filter(|task| !task.report.state.is_ended()) {
            task.finishes_at_ms += now_ms - frozen_ms;
        }
        for id in self.running() {
            let lease = self.tasks[&id].report.lease;
            if self
                .leases
                .get(&lease)
                .is_none_or(|lease| lease.expires_at_ms <= now_ms)
            {
                // The task made no progress while frozen, so its run ended when the freeze began.
                self.end_task(&id, TaskState::Stopped, frozen_ms);
            }
        }
        self.advance(now_ms);
    }

    fn running(&self) -> Vec<TaskId> {
        let running = self.tasks.values().filter(|task| !task.report.state.is_ended());
        running.map(|task| task.report.task.clone()).collect()
    }

    fn end_task(&mut self, id: &TaskId, state: TaskState, at_ms: u64) {
        self.sequence += 1;
        let Some(task) = self.tasks.get_mut(id) else { return };
        task.sequence = self.sequence;
        let record = &mut self.start_log[task.log_index];
        record.end_ms = Some(at_ms);
        record.state = state;
        task.report.state = state;
        task.report.accelerator_ms = at_ms - record.at_ms;
        match state {
            TaskState::Finished => {
                let body = expected_answer_body(id);
                let body = if self.defect == Some(Defect::CutsAnswers) {
                    body[1..].to_owned()
                } else {
                    body
                };
                task.report.answer = Some(Answer::new(id.job.request.clone(), body));
            }
            TaskState::Failed => task.report.failure = Some("fails everything".into()),
            TaskState::Checkpointed => task.report.checkpoint = Some(format!("checkpoint of {id}")),
            _ => {}
        }
    }

    fn reports(&self, keep: impl Fn(&Task) -> bool) -> Vec<TaskReport> {
        let is_reported = |task: &&Task| self.defect != Some(Defect::ForgetsTasks) || !task.report.state.is_ended();
        let tasks = self.tasks.values().filter(|task| keep(task)).filter(is_reported);
        tasks.map(|task| task.report.clone()).collect()
    }

    /// Returns the inventory.
    pub fn inventory(&self, now_ms: u64) -> Inventory {
        let info = |(id, lease): (&LeaseId, &Lease)| LeaseInfo {
            lease: *id,
            holder: lease.holder.clone(),
            kind: lease.kind,
            resources: lease.resources,
            remaining_ms: lease.expires_at_ms - now_ms,
        };
        Inventory {
            worker: self.id.clone(),
            epoch: self.epoch,
            leaving: self.is_draining,
            sequence: self.sequence,
            leases: self.leases.iter().map(info).collect(),
            tasks: self.reports(|_| true),
            ended_leases: Vec::new(),
        }
    }

    fn check_epoch(&mut self, epoch: Epoch) -> Result<(), WorkerError> {
        if epoch < self.epoch && self.defect != Some(Defect::IgnoresEpoch) {
            return Err(WorkerError::Fenced { highest: self.epoch });
        }
        self.epoch = self.epoch.max(epoch);
        Ok(())
    }

    /// Carries out a command.
    pub fn handle(&mut self, now_ms: u64, command: Command) -> WorkerReply {
        self.advance(now_ms);
        match command {
            Command::Fence(epoch) => {
                if self.check_epoch(epoch).is_ok() && self.defect != Some(Defect::IgnoresEpoch) {
                    let used: BTreeSet<LeaseId> = self.tasks.values().map(|task| task.report.lease).collect();
                    let ended_leases = &mut self.ended_leases;
                    self.leases.retain(|id, lease| {
                        let keep = lease.kind == LeaseKind::Grant || id.epoch >= epoch || used.contains(id);
                        keep || !ended_leases.insert(*id)
                    });
                }
                WorkerReply::Fenced(Box::new(self.inventory(now_ms)))
            }
            Command::Lease(request) => WorkerReply::Leased {
                lease: request.lease,
                result: self.lease(now_ms, request),
            },
            Command::Start(request) => WorkerReply::Started {
                task: request.task.clone(),
                result: self.start(now_ms, request).map(Box::new),
            },
            Command::Renew(request) => WorkerReply::Renewed(self.renew(now_ms, request).map(Box::new)),
            Command::Stop(epoch, task) => self.stop_task(now_ms, epoch, task, TaskState::Stopped),
            Command::Checkpoint(epoch, task) => self.stop_task(now_ms, epoch, task, TaskState::Checkpointed),
            Command::Revoke(epoch, lease) => WorkerReply::Revoked {
                lease,
                result: self.check_epoch(epoch).map(|()| self.revoke(now_ms, lease)),
            },
        }
    }

    /// Renews a grant for its holder, by lease id alone; returns whether it is live.
    pub fn renew_grant(&mut self, now_ms: u64, lease: LeaseId) -> bool {
        self.advance(now_ms);
        let grant = self
            .leases
            .get_mut(&lease)
            .filter(|lease| lease.kind == LeaseKind::Grant);
        grant.map(|grant| grant.expires_at_ms = now_ms + 5_000).is_some()
    }

    fn lease(&mut self, now_ms: u64, request: LeaseRequest) -> Result<(), WorkerError> {
        self.check_epoch(request.epoch)?;
        if self.ended_leases.contains(&request.lease) {
            return Err(WorkerError::LeaseNotLive);
        }
        if self.leases.contains_key(&request.lease) {
            return Ok(());
        }
        if self.is_draining {
            return Err(WorkerError::Leaving);
        }
        let mut used = Resources::default();
        self.leases.values().for_each(|lease| used += lease.resources);
        if !self.capacity.fits(used + request.resources) {
            return Err(WorkerError::NoCapacity);
        }
        let lease = Lease {
            holder: request.holder,
            kind: request.kind,
            resources: request.resources,
            expires_at_ms: now_ms + request.ttl_ms,
        };
        self.leases.insert(request.lease, lease);
        Ok(())
    }

    fn start(&mut self, now_ms: u64, request: StartRequest) -> Result<TaskReport, WorkerError> {
        self.check_epoch(request.epoch)?;
        let known = self
            .tasks
            .get(&request.task)
            .filter(|_| self.defect != Some(Defect::StartsTwice));
        if let Some(task) = known {
            return Ok(task.report.clone());
        }
        if !self.leases.contains_key(&request.lease) {
            return Err(WorkerError::LeaseNotLive);
        }
        if request.lease.epoch < self.epoch && self.defect != Some(Defect::IgnoresEpoch) {
            return Err(WorkerError::Fenced { highest: self.epoch });
        }
        self.sequence += 1;
        let report = TaskReport {
            task: request.task.clone(),
            lease: request.lease,
            state: TaskState::Running,
            answer: None,
            failure: None,
            checkpoint: None,
            accelerator_ms: 0,
        };
        self.start_log.push(StartRecord {
            task: request.task.clone(),
            lease: request.lease,
            at_ms: now_ms,
            end_ms: None,
            state: TaskState::Running,
            is_resumed: request.resume_from.is_some(),
        });
        let run_ms = if self.fails_all_tasks {
            10
        } else {
            request.payload.as_u64().unwrap_or(0)
        };
        let task = Task {
            report: report.clone(),
            finishes_at_ms: now_ms + run_ms,
            sequence: self.sequence,
            log_index: self.start_log.len() - 1,
        };
        self.tasks.insert(request.task, task);
        Ok(report)
    }

    fn renew(&mut self, now_ms: u64, request: RenewRequest) -> Result<WorkerReport, WorkerError> {
        self.check_epoch(request.epoch)?;
        let mut lapsed = Vec::new();
        for id in request.leases {
            match self.leases.get_mut(&id) {
                Some(lease) => lease.expires_at_ms = now_ms + request.ttl_ms,
                None => lapsed.push(id),
            }
        }
        Ok(WorkerReport {
            worker: self.id.clone(),
            leaving: self.is_draining,
            sequence: self.sequence,
            changes: (self.tasks.values())
                .filter(|task| task.sequence > request.after_sequence)
                .map(|task| task.report.clone())
                .collect(),
            lapsed,
        })
    }

    fn stop_task(&mut self, now_ms: u64, epoch: Epoch, task: TaskId, state: TaskState) -> WorkerReply {
        let mut result = self.check_epoch(epoch).and_then(|()| {
            let known = self.tasks.get(&task).ok_or(WorkerError::UnknownTask)?;
            Ok(Box::new(known.report.clone()))
        });
        let honours_leases = self.defect != Some(Defect::IgnoresLeases);
        if honours_leases && result.as_ref().is_ok_and(|report| !report.state.is_ended()) {
            self.end_task(&task, state, now_ms);
            result = Ok(Box::new(self.tasks[&task].report.clone()));
        }
        WorkerReply::Ended { task, result }
    }

    fn revoke(&mut self, now_ms: u64, lease: LeaseId) -> Vec<TaskReport> {
        if self.defect != Some(Defect::IgnoresLeases) {
            for id in self.running() {
                if self.tasks[&id].report.lease == lease && self.defect != Some(Defect::KeepsTasksOnRevoke) {
                    self.end_task(&id, TaskState::Stopped, now_ms);
                }
            }
            self.leases.remove(&lease);
            self.ended_leases.insert(lease);
        }
        self.reports(|task| task.report.lease == lease)
    }
}

/// Returns the answer body that a part of a job has to produce.
pub fn expected_answer_body(task: &TaskId) -> String {
    format!("{}#{}", task.job, task.part)
}
