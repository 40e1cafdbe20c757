use std::cmp::Ordering;

/// Event of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SimulationEvent {
    Arrive(u32),
    Cancel(u32),
    /// All parts of the attempt were started.
    Started(u32, u32),
    /// The start failed; nothing ran.
    NotStarted(u32, u32, Option<u32>),
    Finish(u32, u32),
    /// A part fails on this worker.
    Fail(u32, u32, u32),
    /// A stop or checkpoint is complete, or a crashed worker's leases have expired; the last value is the preserved run
    /// time in milliseconds.
    Stopped(u32, u32, u64),
    /// An urgent request is retried.
    Retry(u32),
    Incident(u32),
    /// The policy is told that the worker is down.
    CrashDetected(u32),
    Tick,
    Sample,
}

/// Entry of the event queue. The earliest is the greatest, since the heap yields the greatest first; entries of equal
/// time keep their insertion order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ScheduledEvent {
    pub(crate) at_ms: u64,
    pub(crate) number: u64,
    pub(crate) event: SimulationEvent,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at_ms, other.number).cmp(&(self.at_ms, self.number))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
