use model::{
    Answer, Attempt, AttemptState, Charge, DataCentreId, JobId, JobRow, JobState, PartPlacement, Refusal, TaskId,
    TaskReport, TaskState,
};

use super::grant_pool::Ticket;

/// Result of an urgent attempt.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum AttemptResult {
    /// The task finished with an answer.
    Ran { answer: Answer, accelerator_ms: u64 },
    /// The task failed, or was stopped before it finished.
    Failed { message: String, accelerator_ms: u64 },
    /// The task never started and can no longer start.
    NotStarted,
    /// The worker no longer knows the task.
    Unknown,
}

impl AttemptResult {
    /// Converts the last report of a task; an answer that fails verification counts as a failure of the task.
    pub(crate) fn from_report(report: TaskReport) -> Self {
        let accelerator_ms = report.accelerator_ms;
        let failed = |message: String| Self::Failed {
            message,
            accelerator_ms,
        };
        match (report.state, report.answer) {
            (TaskState::Finished, Some(answer)) => match answer.verify(&report.task.job.request) {
                Ok(()) => Self::Ran { answer, accelerator_ms },
                Err(error) => failed(error.to_string()),
            },
            (TaskState::Finished, None) => failed("task finished without an answer".to_owned()),
            (TaskState::Failed, _) => failed(report.failure.unwrap_or_else(|| "task failed".to_owned())),
            _ => failed("task was stopped before its end because its lease lapsed".to_owned()),
        }
    }
}

/// Returns the key of the index row that marks an urgent attempt as open.
pub(crate) fn urgent_key(data_centre: &DataCentreId, job: &JobId) -> String {
    format!("urgent/{data_centre}/{job}")
}

/// Returns the prefix of the index rows of all open urgent attempts of a data centre.
pub(crate) fn urgent_prefix(data_centre: &DataCentreId) -> String {
    format!("urgent/{data_centre}/")
}

/// Adds an attempt under a grant to the row and returns its task.
pub(super) fn open_attempt(row: &mut JobRow, ticket: &Ticket, now_unix_ms: u64) -> TaskId {
    let number = row.attempts.last().map_or(1, |attempt| attempt.number + 1);
    if let Some(last) = row.attempts.last_mut()
        && last.state == AttemptState::Recorded
    {
        last.state = AttemptState::NotStarted;
    }
    row.state = JobState::Running;
    row.refusal = None;
    row.attempts.push(Attempt {
        number,
        epoch: ticket.lease.epoch,
        placement: std::iter::once(PartPlacement {
            worker: ticket.worker.clone(),
            lease: ticket.lease,
        })
        .collect(),
        state: AttemptState::Recorded,
        recorded_unix_ms: now_unix_ms,
    });
    TaskId::new(row.id(), number, 0)
}

/// Sets the row's state from the result and returns the answer and charge to be written with it.
pub(crate) fn apply_result(
    row: &mut JobRow,
    attempt_result: &AttemptResult,
    retry_after_ms: u64,
) -> (Option<Answer>, Option<Charge>) {
    let data_centre = row.data_centre.clone();
    let job = row.id();
    let Some(last) = row.attempts.last_mut() else {
        return (None, None);
    };
    let (number, leases) = (last.number, last.placement.parts.iter());
    let leases = leases.map(|part| (part.worker.clone(), part.lease)).collect();
    let charge = |accelerator_ms| Charge {
        job,
        attempt: number,
        data_centre,
        leases,
        accelerator_ms,
        confirmed: true,
    };
    match attempt_result {
        AttemptResult::Ran { answer, accelerator_ms } => {
            last.state = AttemptState::Finished;
            row.state = JobState::Finished;
            row.answer_length_bytes = Some(answer.length_bytes);
            row.answer_sha256 = Some(answer.sha256.clone());
            (Some(answer.clone()), Some(charge(*accelerator_ms)))
        }
        AttemptResult::Failed {
            message,
            accelerator_ms,
        } => {
            last.state = AttemptState::Failed;
            row.state = JobState::Failed;
            row.failure = Some(message.clone());
            (None, Some(charge(*accelerator_ms)))
        }
        AttemptResult::NotStarted => {
            last.state = AttemptState::NotStarted;
            row.state = JobState::DidNotRun;
            row.refusal = Some(Refusal::NotStarted { retry_after_ms });
            (None, None)
        }
        AttemptResult::Unknown => {
            last.state = AttemptState::Unknown;
            row.state = JobState::Indeterminate;
            (None, None)
        }
    }
}
