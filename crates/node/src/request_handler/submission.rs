use domain::Step;
use shares::{Amounts, Entry};

use super::Refused;
use super::admission::AdmittedRequest;

/// Job as submitted by a caller.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Submission {
    /// Payload passed to the workers.
    pub spec: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// Number of occurrences of a scheduled job; 0 for a job that runs once.
    pub times: u32,
    /// Due time of the first occurrence, as Unix time.
    pub first_run_unix_ms: u64,
    /// Time between occurrences.
    pub interval_ms: u64,
}

/// Maximum number of tasks per job; the job's progress has to fit into one row.
const MAX_TASKS: u32 = 5_000;

/// Maximum number of tasks in all occurrences of a scheduled job, which the lease holder keeps in memory.
const MAX_SCHEDULED_TASKS: u64 = 50_000;

/// Maximum amount of a resource and of a declared run time in milliseconds; sums of them do not overflow.
const MAX_AMOUNT: u64 = u32::MAX as u64;

/// Latest time of an occurrence, as Unix time: the year 10000.
const MAX_UNIX_MS: u64 = 253_402_300_800_000;

/// Validates id and steps of a submission.
///
/// A job row is durable before anything is done with it, so what a scheduler cannot hold would end one lease holder after
/// the other.
pub(super) fn check(submission: &Submission, id: &str) -> Result<(), Refused> {
    const ID_LENGTH: usize = 16;
    if id.len() != ID_LENGTH || !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Refused::Invalid("the id must have 16 hexadecimal digits"));
    }
    if submission.steps.is_empty() {
        return Err(Refused::Invalid("a job needs at least one step"));
    }
    let mut tasks = 0_u32;
    for (number, step) in submission.steps.iter().enumerate() {
        tasks = tasks.saturating_add(step.count);
        if step.count == 0 {
            return Err(Refused::Invalid("a step needs at least one task"));
        }
        let amounts = [
            step.need.cpu_milli,
            step.need.memory_mib,
            step.need.accelerators,
            step.estimate_ms,
        ];
        if amounts.iter().any(|amount| *amount > MAX_AMOUNT) {
            return Err(Refused::Invalid("an amount of a step is too large"));
        }
        if step.after.iter().any(|earlier| *earlier as usize >= number) {
            return Err(Refused::Invalid("a step can only follow earlier steps"));
        }
    }
    if tasks > MAX_TASKS {
        return Err(Refused::Invalid("the job has too many tasks"));
    }
    if u64::from(tasks) * u64::from(submission.times) > MAX_SCHEDULED_TASKS {
        return Err(Refused::Invalid("the job has too many tasks in all its occurrences"));
    }
    let last_unix_ms = u64::from(submission.times)
        .checked_mul(submission.interval_ms)
        .and_then(|offset_ms| offset_ms.checked_add(submission.first_run_unix_ms));
    if last_unix_ms.is_none_or(|at_ms| at_ms > MAX_UNIX_MS) {
        return Err(Refused::Invalid("the last occurrence is too far in the future"));
    }
    Ok(())
}

/// Returns whether a gang or a single task alone exceeds the maximum of its organisation.
pub(super) fn exceeds_maximum(submission: &Submission, admitted: &AdmittedRequest) -> bool {
    let organisations = &admitted.config.organisations;
    let own = organisations.iter().find(|known| known.name == admitted.organisation);
    let Some(maximum) = own.map(|organisation| organisation.maximum) else {
        return false;
    };
    let entry = Entry {
        maximum: maximum.into(),
        ..Entry::default()
    };
    submission.steps.iter().any(|step| {
        let together = if step.is_gang { u64::from(step.count) } else { 1 };
        entry.excess_alone(&Amounts::from(step.need).times(together)).is_some()
    })
}
