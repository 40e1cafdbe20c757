use super::keys::JobKey;
use super::queue::PlacementUnitKey;

/// Task of an open job that a run executes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct RunTask {
    pub job: JobKey,
    pub occurrence: u32,
    pub step: u32,
    pub index: u32,
}

impl RunTask {
    /// Returns the step to which the task belongs.
    pub const fn unit(self) -> PlacementUnitKey {
        PlacementUnitKey::new(self.job, self.occurrence, self.step)
    }
}
