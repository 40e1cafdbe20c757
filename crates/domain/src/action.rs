use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{LastRuns, Progress, RunRecord, SpeedRow, StartBoundRow, WaveRow, WorkerKey};

/// Run of a task, as workers identify it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRun {
    /// Task name.
    pub task: CompactString,
    /// Run number.
    pub run: u64,
}

/// Command to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCommand {
    /// Run to start.
    pub task_run: TaskRun,
    /// Payload of the job, passed on unread.
    pub spec: String,
    /// End of the lease on the worker's clock.
    pub lease_until_ms: u64,
    /// Checkpoint to resume from.
    pub checkpoint: Option<CompactString>,
    /// Ticket of the placement service.
    pub ticket: Option<CompactString>,
}

/// Write of a job's progress row.
#[derive(Debug, Clone, PartialEq)]
pub struct CommitRow {
    /// Job id.
    pub job: CompactString,
    /// Version that the row must have for the write to take effect.
    pub expected_version: u64,
    /// New progress.
    pub progress: Progress,
    /// Runs that ended since the last write, with the sequence number of their record row within the job and epoch.
    pub records: Option<(u32, Vec<RunRecord>)>,
}

impl CommitRow {
    /// Returns the size of the progress and the run records in the store.
    ///
    /// # Panics
    ///
    /// Never: rows have string keys and finite numbers.
    pub fn bytes(&self) -> usize {
        let records = self.records.as_ref().map_or(0, |(_, records)| {
            let row = serde_json::to_vec(records);
            row.expect("rows have string keys and finite numbers").len()
        });
        self.progress.bytes() + records
    }
}

/// Rows to write in one transaction that is conditional on the scheduler's epoch.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Commit {
    /// Progress of jobs.
    pub rows: Vec<CommitRow>,
    /// Workers that may get tasks from now on, with their addresses.
    pub add_workers: Vec<(CompactString, CompactString)>,
    /// Workers that no longer run anything.
    pub remove_workers: Vec<CompactString>,
    /// Runs that may be on workers.
    pub last_runs: Vec<(CompactString, LastRuns)>,
    /// Workers on which nothing runs, so that what was written about their last runs is outdated.
    pub remove_last_runs: Vec<CompactString>,
    /// Jobs whose retention after their final state has ended; all their rows except run records are deleted.
    pub remove_jobs: Vec<CompactString>,
    /// Number of jobs without a started task, by queue; only counts that changed.
    pub pending: Vec<(CompactString, u64)>,
    /// Maintenance waves that run or are done.
    pub waves: Vec<(u64, WaveProgress)>,
    /// Facts about maintenance waves from which a successor continues.
    pub wave_rows: Vec<WaveRow>,
    /// Speeds of workers; only rows with material changes.
    pub speed_rows: Vec<SpeedRow>,
}

/// Progress of a maintenance wave as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaveProgress {
    /// Machines await maintenance or are in it.
    Running,
    /// Every machine that remains in the deployment has been maintained.
    Done,
}

impl Commit {
    /// Maximum entries in one store transaction: conditions, writes and deletions together.
    pub const MAX_ENTRIES: usize = 100;

    /// Returns whether rows change that have no condition on their own version: all but the progress of jobs. A revision
    /// that each such commit replaces keeps one without a reply from taking effect after a newer one.
    pub fn has_unversioned_rows(&self) -> bool {
        !self.add_workers.is_empty()
            || !self.remove_workers.is_empty()
            || !self.last_runs.is_empty()
            || !self.remove_last_runs.is_empty()
            || !self.remove_jobs.is_empty()
            || !self.pending.is_empty()
            || !self.waves.is_empty()
            || !self.wave_rows.is_empty()
            || !self.speed_rows.is_empty()
    }

    /// Entries of the revision of rows without versions: its condition and its write.
    pub const REVISION_ENTRIES: usize = 2;

    /// Maximum entries of a progress row: its condition, its write and the write of its run records.
    pub const ROW_ENTRIES: usize = 3;

    /// Entries of a deleted job: its row, its cancellation request and its progress.
    const REMOVAL_ENTRIES: usize = 3;

    /// Entries of every commit: the condition on the epoch and the heartbeat.
    const BASE_ENTRIES: usize = 2;

    /// Returns the number of entries in the transaction.
    pub fn entries(&self) -> usize {
        let revision = if self.has_unversioned_rows() {
            Self::REVISION_ENTRIES
        } else {
            0
        };
        let workers = self.add_workers.len() + self.remove_workers.len();
        let last_runs = self.last_runs.len() + self.remove_last_runs.len();
        let facts = self.pending.len() + self.waves.len() + self.wave_rows.len() + self.speed_rows.len();
        Self::BASE_ENTRIES
            + self.rows.len() * Self::ROW_ENTRIES
            + self.remove_jobs.len() * Self::REMOVAL_ENTRIES
            + workers
            + last_runs
            + facts
            + revision
    }
}

/// What the caller of the engine has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a start command to a worker.
    Start {
        /// Worker.
        worker: WorkerKey,
        /// Command.
        command: StartCommand,
    },
    /// Send a stop command to a worker; it also invalidates a start of the run that has not arrived.
    Stop {
        /// Worker.
        worker: WorkerKey,
        /// Run to stop.
        task_run: TaskRun,
    },
    /// Renew the lease of all runs on a worker and read its report.
    Renew {
        /// Worker.
        worker: WorkerKey,
        /// End of the lease on the worker's clock, if that clock is known.
        lease_until_ms: Option<u64>,
        /// Number of the newest run end that is acknowledged, as it is durable.
        acked_run_end: u64,
        /// How long the worker may delay its reply until a run ends.
        wait_ms: u64,
    },
    /// Throttle a background task.
    Throttle {
        /// Worker.
        worker: WorkerKey,
        /// Run.
        task_run: TaskRun,
        /// Share of full speed at which it may run.
        percent: u32,
    },
    /// Ask the placement service which workers may run a step; at most one call is in flight.
    FetchPlacementHints {
        /// Step as job, occurrence and number.
        step: CompactString,
        /// Ids of the workers to ask about.
        workers: Vec<CompactString>,
    },
    /// Read the list of machines; at most one call is in flight.
    ListMachines,
    /// Take a machine down for maintenance.
    StartMaintenance {
        /// Machine.
        machine: CompactString,
        /// Number of the wave.
        wave: u64,
    },
    /// Write rows; at most one commit is in flight.
    Commit(Commit),
    /// Write the start bound, up to which accepted jobs may be started; at most one write is in flight.
    WriteStartBound {
        /// Bound.
        row: StartBoundRow,
    },
}
