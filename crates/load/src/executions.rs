use std::collections::{BTreeMap, BTreeSet};

use model::{JobId, TaskId};
use serde::Deserialize;

use crate::LoadError;

/// Starts of each job according to the execution logs of the workers.
#[derive(Debug, Default)]
pub struct Executions {
    /// Attempts of each job that started at least one part.
    attempts: BTreeMap<JobId, BTreeSet<u32>>,
    /// Starts of each task; more than one is a duplicate start.
    starts: BTreeMap<TaskId, u32>,
}

/// Entry of an execution log, with the fields that are read here.
#[derive(Debug, Clone, Deserialize)]
pub struct LogEntry {
    /// Task.
    pub task: TaskId,
    /// `start` or `end`.
    pub event: String,
}

/// Execution log of a worker process.
#[derive(Debug, Deserialize)]
struct LogPage {
    entries: Vec<LogEntry>,
    /// Entries that the process no longer has; a log with gaps cannot rule out duplicate runs.
    dropped: u64,
}

impl Executions {
    /// Reads the logs of all worker processes.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError`] if one of them cannot be read.
    pub async fn read(client: &awc::Client, workers: &[String]) -> Result<Self, LoadError> {
        let mut executions = Self::default();
        for worker in workers {
            let url = format!("{worker}/v1/log?after=0");
            let unreadable = || LoadError::WorkerLog { url: url.clone() };
            let mut response = client.get(&url).send().await.map_err(|_| unreadable())?;
            let page: LogPage = response.json().limit(256 << 20).await.map_err(|_| unreadable())?;
            if page.dropped > 0 {
                return Err(unreadable());
            }
            executions.extend(page.entries);
        }
        Ok(executions)
    }

    /// Adds log entries.
    pub fn extend(&mut self, entries: impl IntoIterator<Item = LogEntry>) {
        for entry in entries.into_iter().filter(|entry| entry.event == "start") {
            self.attempts
                .entry(entry.task.job.clone())
                .or_default()
                .insert(entry.task.attempt);
            *self.starts.entry(entry.task).or_default() += 1;
        }
    }

    /// Returns how many attempts of the job started at least one part.
    pub fn attempts_of(&self, job: &JobId) -> usize {
        self.attempts.get(job).map_or(0, BTreeSet::len)
    }

    /// Returns the tasks that were started more than once.
    pub fn doubled_tasks(&self) -> impl Iterator<Item = &TaskId> {
        self.starts
            .iter()
            .filter(|(_, starts)| **starts > 1)
            .map(|(task, _)| task)
    }
}
