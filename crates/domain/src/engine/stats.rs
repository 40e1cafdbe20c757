/// Counters since the start of the scheduler's epoch, and gauges.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Start commands.
    pub starts: u64,
    /// Start commands that a worker rejected.
    pub rejected_starts: u64,
    /// Start commands without a reply.
    pub unanswered_starts: u64,
    /// Stop commands.
    pub stops: u64,
    /// Tasks that were completed.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that ended in another way.
    pub broken: u64,
    /// Workers that lost runs without reporting their ends.
    pub lost_workers: u64,
    /// Workers whose loss was not concluded at once, as a successor may have renewed their leases.
    pub deferred_losses: u64,
    /// Runs that were lost with their worker.
    pub lost_runs: u64,
    /// Tasks that were given up because workers crashed under them.
    pub given_up_tasks: u64,
    /// Jobs that failed because their progress did not fit into a row of the store.
    pub unstorable_jobs: u64,
    /// Runs preempted for work of higher priority.
    pub preempted: u64,
    /// Starts of tasks or gangs that had waited too long for preferences of placement to hold them back.
    pub overdue_starts: u64,
    /// Unsaved work of runs that ended without completing their task, in core-milliseconds.
    pub wasted_core_ms: u64,
    /// Current number of runs, without those whose start commands were not sent yet.
    pub running: u64,
    /// Current number of runs whose start commands were not sent yet.
    pub unsent_starts: u64,
    /// Current number of workers.
    pub workers: u64,
    /// Current number of jobs that are not final.
    pub open_jobs: u64,
    /// Steps that had nothing running for a second or more at the last check although their turn had come.
    pub waiting_steps: u64,
    /// Steps among these for which there was room, so that a rule of placement withheld it.
    pub withheld_steps: u64,
    /// Longest time for which room was withheld from such a step.
    pub longest_withheld_ms: u64,
    /// Steps with tasks that wait for the maximum of their organisation.
    pub maximum_waits: u64,
    /// Steps that wait for a service without enough capacity, by [`overload::Standing`], as of the last pass.
    pub standings: [u64; overload::Standing::ALL.len()],
    /// Waiting work of such services by priority, in ms of the capacity of the service; the last one has all priorities
    /// from 3 on.
    pub backlog_ms: [u64; 4],
    /// Workers with a reliable estimate of their speed.
    pub known_speeds: u64,
    /// Lowest of these speeds, in percent of the mean.
    pub lowest_speed_percent: u64,
    /// Median of these speeds, in percent of the mean.
    pub median_speed_percent: u64,
    /// Highest of these speeds, in percent of the mean.
    pub highest_speed_percent: u64,
}
