use std::cmp::Ordering;

/// What is due in the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Due {
    Arrive(u32),
    Cancel(u32),
    /// All parts were started.
    Started(u32, u32),
    /// The start failed; nothing ran.
    NotStarted(u32, u32, Option<u32>),
    Finish(u32, u32),
    /// A part fails on this worker.
    Fail(u32, u32, u32),
    /// A stop or checkpoint is complete, or a dead worker's leases have expired; this much is preserved.
    Stopped(u32, u32, u64),
    /// An urgent request is tried again.
    Retry(u32),
    Incident(u32),
    /// The policy learns that the worker is dead.
    NoticeDown(u32),
    Tick,
    Sample,
}

/// Entry of the driver's queue; the earliest is the greatest, and equal instants keep their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Timed {
    pub(crate) at_ms: u64,
    pub(crate) number: u64,
    pub(crate) due: Due,
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at_ms, other.number).cmp(&(self.at_ms, self.number))
    }
}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
