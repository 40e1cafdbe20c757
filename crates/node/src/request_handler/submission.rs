use domain::Step;

use super::Refused;

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

/// Validates id and steps of a submission.
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
        if step.after.iter().any(|earlier| *earlier as usize >= number) {
            return Err(Refused::Invalid("a step can only follow earlier steps"));
        }
    }
    if tasks > MAX_TASKS {
        return Err(Refused::Invalid("the job has too many tasks"));
    }
    Ok(())
}
