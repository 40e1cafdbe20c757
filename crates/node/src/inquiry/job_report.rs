use compact_str::CompactString;
use domain::{EndKind, Explanation, Job, JobState, RunRecord};
use serde::{Deserialize, Serialize};

/// What an instance can tell of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobReport {
    /// Job id.
    pub job: CompactString,
    /// Instance that answers.
    pub instance: CompactString,
    /// Instance that holds the scheduling lease, as this one knows it; it alone knows why a job waits.
    pub holder: CompactString,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Queue.
    pub route: CompactString,
    /// Owner.
    pub organisation: CompactString,
    /// Durable state; `None` if the job has been final for so long that only its records are left.
    pub state: Option<JobState>,
    /// Whether its cancellation is durable.
    pub is_cancelled: bool,
    /// When it was accepted, by the clock of the accepting instance.
    pub accepted_unix_ms: Option<u64>,
    /// Epoch in which it was accepted.
    pub accept_epoch: Option<u64>,
    /// Durable records of the runs that ended, oldest first, without repetitions.
    pub records: Vec<RunRecord>,
    /// What the records do not show although the job is done.
    pub gaps: Vec<String>,
    /// What the scheduler knows, if this instance holds the lease and the job is open.
    pub schedule: Option<Explanation>,
}

impl JobReport {
    /// Returns what the records of a done job do not show: tasks that nothing shows to have run, and tasks that were
    /// done twice. A gang's end is one for all its members.
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

    /// Sorts records and drops those that two epochs wrote of the same end, and assumed ends of runs that a worker
    /// reported after all.
    #[must_use]
    pub fn without_repetitions(mut records: Vec<RunRecord>) -> Vec<RunRecord> {
        let key = |record: &RunRecord| (record.occurrence, record.step, record.index, record.run);
        records.sort_by_key(|record| (key(record), record.is_assumed));
        records.dedup_by_key(|record| key(record));
        records
    }
}
