/// State of the cluster at one time, measured by the simulation and not by the policy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Time of the sample.
    pub at_ms: u64,
    /// Share of free accelerators that whole gangs of the widest waiting shape cannot use; 0 if nothing waits.
    pub waiting_fragmentation: f64,
    /// Share of free accelerators that whole gangs of the widest shape of the workload cannot use.
    pub probe_fragmentation: f64,
    /// Free accelerators in service.
    pub free_accelerators: u32,
    /// Accelerators running attempts that will not fail; grants excluded.
    pub running_accelerators: u32,
    /// Accelerators that waiting jobs ask for.
    pub waiting_accelerators: u32,
    /// Accelerators of the largest gang that fits on empty workers of one data centre.
    pub largest_gang: u32,
    /// Running tasks.
    pub running_tasks: u32,
    /// Whether a preemptible waiting job within its quota fits into the free capacity.
    pub fits_waiting: bool,
    /// Workers with at least one grant.
    pub grant_workers: u32,
}
