use compact_str::CompactString;
use domain::{EndKind, Explanation, Job, JobState, RunRecord};
use serde::{Deserialize, Serialize};

/// State, records and schedule of a job as reported to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobReport {
    /// Job id.
    pub job: CompactString,
    /// Instance that answers.
    pub instance: CompactString,
    /// Instance that holds the scheduling lease, as known to this one. Only the lease holder knows why a job waits.
    pub holder: CompactString,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Queue.
    pub route: CompactString,
    /// Organisation that owns the job.
    pub organisation: CompactString,
    /// Durable state; `None` if the job finished so long ago that only its records are left.
    pub state: Option<JobState>,
    /// Whether a cancellation request is durable.
    pub is_cancelled: bool,
    /// When it was accepted, by the clock of the instance that accepted it.
    pub accepted_unix_ms: Option<u64>,
    /// Epoch in which it was accepted.
    pub accept_epoch: Option<u64>,
    /// Durable records of ended runs, deduplicated and sorted by task and run.
    pub records: Vec<RunRecord>,
    /// Missing or duplicate records of a done job.
    pub gaps: Vec<String>,
    /// The scheduler's explanation, if this instance holds the lease and the job is open.
    pub schedule: Option<Explanation>,
}

impl JobReport {
    /// Returns the gaps in the records of a done job: tasks without a record of a completed run, and tasks with more
    /// than one. A gang has one run end for all its members.
    pub fn gaps(job: &Job, records: &[RunRecord]) -> Vec<String> {
        let mut gaps = Vec::new();
        for occurrence in 0..job.occurrences() {
            for (number, step) in job.steps.iter().enumerate() {
                if step.is_long_running {
                    continue;
                }
                let done: Vec<_> = records
                    .iter()
                    .filter(|record| record.occurrence == occurrence && record.step as usize == number)
                    .filter(|record| record.how == EndKind::Done)
                    .collect();
                if step.is_gang {
                    if done.is_empty() {
                        gaps.push(format!("no run of gang {occurrence}.{number} is recorded as done"));
                    } else if done.iter().any(|record| record.run != done[0].run) {
                        gaps.push(format!("gang {occurrence}.{number} is recorded as done twice"));
                    }
                    continue;
                }
                for index in 0..step.count {
                    match done.iter().filter(|record| record.index == index).count() {
                        0 => gaps.push(format!(
                            "no run of task {occurrence}.{number}.{index} is recorded as done"
                        )),
                        1 => {}
                        _ if step.is_speculative => {}
                        _ => gaps.push(format!("task {occurrence}.{number}.{index} is recorded as done twice")),
                    }
                }
            }
        }
        gaps
    }

    /// Sorts records and removes duplicates that two epochs wrote of the same run end, and assumed run ends for which a
    /// worker's report exists.
    #[must_use]
    pub fn without_repetitions(mut records: Vec<RunRecord>) -> Vec<RunRecord> {
        let key = |record: &RunRecord| (record.occurrence, record.step, record.index, record.run);
        records.sort_by_key(|record| (key(record), record.is_assumed));
        records.dedup_by_key(|record| key(record));
        records
    }
}
