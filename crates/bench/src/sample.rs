/// State of the cluster at one instant, measured by the driver and not by the policy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Instant.
    pub at_ms: u64,
    /// Share of free accelerators that whole gangs of the widest waiting shape cannot use; 0 if nothing waits.
    pub waiting_fragmentation: f64,
    /// Share of free accelerators that whole gangs of the widest shape of the workload cannot use.
    pub probe_fragmentation: f64,
    /// Free accelerators in service.
    pub free_accelerators: u32,
    /// Accelerators that do work that will not fail.
    pub running_accelerators: u32,
    /// Accelerators that waiting jobs ask for.
    pub waiting_accelerators: u32,
    /// Accelerators of the largest gang of whole empty workers in one data centre.
    pub largest_gang: u32,
    /// Running tasks.
    pub running_tasks: u32,
    /// Whether a waiting job that can be preempted would fit into what is free.
    pub fits_waiting: bool,
    /// Workers on which at least one grant is held.
    pub grant_workers: u32,
}
