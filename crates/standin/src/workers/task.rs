use model::{Answer, Epoch, LeaseKind, Resources, StartRequest, TaskReport, TaskState, WorkerId};

use crate::{TaskAnswer, TaskPayload};

/// Task of a worker, running or ended.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub report: TaskReport,
    pub kind: LeaseKind,
    pub epoch: Epoch,
    pub resources: Resources,
    pub is_checkpointable: bool,
    pub starts: u32,
    pub started_ms: u64,
    /// When the task completes at its current speed.
    pub ends_ms: u64,
    /// When it ended; `None` while it runs.
    pub ended_ms: Option<u64>,
    /// Sequence number of the last change.
    pub changed: u64,
    fails: bool,
    answer_bytes: usize,
    run_ms: u64,
    /// Work done until `share_since_ms`, in milliseconds at full speed.
    done_ms: u64,
    share_since_ms: u64,
    share_percent: u8,
}

impl Task {
    pub fn start(request: &StartRequest, kind: LeaseKind, starts: u32, now_ms: u64, run_percent: u32) -> Self {
        let payload = TaskPayload::from(&request.payload);
        let run_ms = payload.run_ms * u64::from(run_percent) / 100;
        let done_ms = request
            .resume_from
            .as_deref()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
            .min(run_ms);
        Self {
            report: TaskReport {
                task: request.task.clone(),
                lease: request.lease,
                state: TaskState::Running,
                answer: None,
                failure: None,
                checkpoint: None,
                accelerator_ms: 0,
            },
            kind,
            epoch: request.epoch,
            resources: request.resources,
            is_checkpointable: request.checkpointable,
            starts,
            started_ms: now_ms,
            ends_ms: now_ms + run_ms - done_ms,
            ended_ms: None,
            changed: 0,
            fails: payload.fail,
            answer_bytes: payload.answer_bytes,
            run_ms,
            done_ms,
            share_since_ms: now_ms,
            share_percent: 100,
        }
    }

    pub const fn is_running(&self) -> bool {
        self.ended_ms.is_none()
    }

    /// Returns the report with the accelerator time up to `now_ms`.
    pub fn report_at(&self, now_ms: u64) -> TaskReport {
        let mut report = self.report.clone();
        report.accelerator_ms = self.accelerator_ms(now_ms);
        report
    }

    pub fn throttle(&mut self, share_percent: u8, now_ms: u64) {
        self.done_ms = self.work_done_at(now_ms);
        self.share_since_ms = now_ms;
        self.share_percent = share_percent.clamp(1, 100);
        self.ends_ms = now_ms + (self.run_ms - self.done_ms) * 100 / u64::from(self.share_percent);
    }

    /// Ends the task at the end of its work, with an answer or a failure.
    pub fn complete(&mut self, worker: &WorkerId, at_ms: u64, worker_fails_tasks: bool) {
        if self.fails || worker_fails_tasks {
            let failure = if self.fails {
                "task failed as its payload asks"
            } else {
                "worker fails every task"
            };
            self.report.failure = Some(failure.to_owned());
            self.end(TaskState::Failed, at_ms);
            return;
        }
        let id = &self.report.task;
        let mut answer = TaskAnswer {
            request_id: id.job.request.clone(),
            attempt: id.attempt,
            part: id.part,
            worker: worker.clone(),
            starts: self.starts,
            data: String::new(),
        };
        let serialise = |answer: &TaskAnswer| serde_json::to_string(answer).expect("an answer serialises to JSON");
        let unpadded = serialise(&answer);
        answer.data = "x".repeat(self.answer_bytes.saturating_sub(unpadded.len()));
        let body = if answer.data.is_empty() {
            unpadded
        } else {
            serialise(&answer)
        };
        self.report.answer = Some(Answer::new(answer.request_id, body));
        self.end(TaskState::Finished, at_ms);
    }

    /// Stops the task after taking a checkpoint.
    pub fn checkpoint(&mut self, at_ms: u64) {
        self.report.checkpoint = Some(self.work_done_at(at_ms).to_string());
        self.end(TaskState::Checkpointed, at_ms);
    }

    /// Stops the task.
    pub fn stop(&mut self, at_ms: u64, reason: &str) {
        self.report.failure = Some(reason.to_owned());
        self.end(TaskState::Stopped, at_ms);
    }

    fn end(&mut self, state: TaskState, at_ms: u64) {
        self.report.accelerator_ms = self.accelerator_ms(at_ms);
        self.report.state = state;
        self.ended_ms = Some(at_ms);
    }

    fn work_done_at(&self, now_ms: u64) -> u64 {
        let done_since_ms = now_ms.saturating_sub(self.share_since_ms) * u64::from(self.share_percent) / 100;
        (self.done_ms + done_since_ms).min(self.run_ms)
    }

    fn accelerator_ms(&self, now_ms: u64) -> u64 {
        let until_ms = self.ended_ms.unwrap_or(now_ms);
        until_ms.saturating_sub(self.started_ms) * u64::from(self.resources.accelerators)
    }
}
