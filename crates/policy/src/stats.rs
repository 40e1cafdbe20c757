/// Figures of a policy at one instant.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Stats {
    /// Jobs waiting.
    pub queued_jobs: u32,
    /// Jobs holding resources.
    pub running_jobs: u32,
    /// Accelerators of workers that are up and in service.
    pub total_accelerators: u32,
    /// Accelerators in use.
    pub used_accelerators: u32,
    /// Fraction of free accelerators that the largest waiting shape cannot use, from 0 to 1.
    pub fragmentation_ratio: f64,
    /// Accelerators of the largest gang of whole workers that could start now in one data centre.
    pub largest_gang_accelerators: u32,
    /// Workers in quarantine.
    pub quarantined_workers: u32,
    /// Guaranteed shapes that cannot be packed on the workers that are up.
    pub lost_guarantees: u32,
}
