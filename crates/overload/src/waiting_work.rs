/// Work that waits for capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingWork {
    /// Expected work in core-milliseconds, with an accelerator at its price in cores.
    pub work_core_ms: f64,
    /// Capacity that it takes while it runs, in cores.
    pub cores: f64,
    /// Expected end if it starts now.
    pub expected_end_ms: u64,
    /// Time by which it is in time.
    pub objective_end_ms: u64,
    /// Time after which completing it has no further value.
    pub late_end_ms: u64,
    /// Time from its acceptance to its objective.
    pub objective_ms: u64,
    /// Time since its acceptance.
    pub age_ms: u64,
}

impl WaitingWork {
    /// Returns the time for which it can wait and still meet its objective.
    pub(crate) const fn slack_ms(&self) -> u64 {
        self.objective_end_ms.saturating_sub(self.expected_end_ms)
    }

    pub(crate) const fn can_be_in_time(&self) -> bool {
        self.expected_end_ms <= self.objective_end_ms
    }

    pub(crate) const fn can_be_late(&self) -> bool {
        self.expected_end_ms <= self.late_end_ms
    }

    /// Returns whether it has waited for half of its objective.
    pub(crate) const fn is_aged(&self) -> bool {
        self.age_ms * 2 >= self.objective_ms
    }
}
