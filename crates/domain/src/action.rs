use compact_str::CompactString;

use crate::{Progress, RunRecord, WorkerKey};

/// Run of a task, as workers name it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskRun {
    /// Task name.
    pub task: CompactString,
    /// Run.
    pub run: u64,
}

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// What to start.
    pub what: TaskRun,
    /// Payload of the job.
    pub spec: String,
    /// End of the lease on the worker's clock.
    pub lease_until_ms: u64,
    /// Checkpoint to resume from.
    pub checkpoint: Option<CompactString>,
    /// Ticket of the placement service.
    pub ticket: Option<CompactString>,
}

/// Progress row of a job to write.
#[derive(Debug, Clone, PartialEq)]
pub struct CommitRow {
    /// Job id.
    pub job: CompactString,
    /// Version that the row must have.
    pub expected_version: u64,
    /// New value.
    pub progress: Progress,
    /// Runs that ended since the last write, and the number of their row among those of the job in this epoch.
    pub records: Option<(u32, Vec<RunRecord>)>,
}

/// Rows to write in one transaction under the scheduler's epoch.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Commit {
    /// Progress of jobs.
    pub rows: Vec<CommitRow>,
    /// Workers that get tasks from now on, with their addresses.
    pub add_workers: Vec<(CompactString, CompactString)>,
    /// Workers that run nothing any more.
    pub remove_workers: Vec<CompactString>,
    /// Jobs that have been final for long enough: all their rows but the records of runs go.
    pub remove_jobs: Vec<CompactString>,
    /// Jobs of which no task has started, by queue, where the count changed.
    pub pending: Vec<(CompactString, u64)>,
    /// Waves of upkeep that run or are done.
    pub waves: Vec<(u64, WaveProgress)>,
}

/// How far a wave of upkeep is, as its operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaveProgress {
    /// Machines wait for their upkeep or have it.
    Running,
    /// Every machine that stays has had it.
    Done,
}

impl Commit {
    /// Most entries in one transaction of the store: conditions, writes and removals together.
    pub const MAX_ENTRIES: usize = 100;

    /// Most entries of a row: its condition, its write and that of the records.
    pub const ROW_ENTRIES: usize = 3;

    /// Entries of a job that goes: its row, its wish to be cancelled and its progress.
    const REMOVAL_ENTRIES: usize = 3;

    /// Entries of every commit: the condition on the epoch and the heartbeat.
    const BASE_ENTRIES: usize = 2;

    /// Returns the entries of the transaction.
    pub fn entries(&self) -> usize {
        let others = self.add_workers.len() + self.remove_workers.len() + self.pending.len() + self.waves.len();
        Self::BASE_ENTRIES
            + self.rows.len() * Self::ROW_ENTRIES
            + self.remove_jobs.len() * Self::REMOVAL_ENTRIES
            + others
    }
}

/// What the caller of the engine has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Order a worker to start a run.
    Start {
        /// Worker.
        worker: WorkerKey,
        /// Order.
        order: StartOrder,
    },
    /// Order a worker to stop a run; it also voids a start that has not arrived.
    Stop {
        /// Worker.
        worker: WorkerKey,
        /// What to stop.
        what: TaskRun,
    },
    /// Renew the lease of everything on a worker and read its lists.
    Renew {
        /// Worker.
        worker: WorkerKey,
        /// End of the lease on the worker's clock, if that clock is known.
        lease_until_ms: Option<u64>,
        /// Newest end that is durable.
        noted: u64,
        /// How long the worker may wait for an end before it replies.
        wait_ms: u64,
    },
    /// Set the share at which a run works.
    Pace {
        /// Worker.
        worker: WorkerKey,
        /// Run.
        what: TaskRun,
        /// Share.
        percent: u32,
    },
    /// Ask the placement service which workers may run a step; at most one call is under way.
    Advise {
        /// Step: job, occurrence and number.
        step: CompactString,
        /// Ids of the workers to ask about.
        workers: Vec<CompactString>,
    },
    /// Read the list of machines; at most one call is under way.
    ListMachines,
    /// Take a machine down for its upkeep.
    Upkeep {
        /// Machine.
        machine: CompactString,
        /// Wave.
        wave: u64,
    },
    /// Write rows; at most one commit is under way.
    Commit(Commit),
    /// Make durable that jobs accepted up to a version may be started; at most one write is under way.
    WriteStartBound {
        /// Version of the store.
        version: u64,
    },
}
