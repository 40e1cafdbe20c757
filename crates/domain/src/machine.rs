use compact_str::CompactString;

/// State of a machine in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Running, with its worker.
    Up,
    /// Moving to another pool.
    Moving,
    /// In maintenance.
    Maintenance,
    /// Off.
    Down,
}

/// Machine that runs a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Name; stays the same across incarnations of its worker.
    pub name: CompactString,
    /// State.
    pub state: MachineState,
    /// Id of its current worker.
    pub worker: CompactString,
}

/// Maintenance wave that operators request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// Names of the machines.
    pub machines: Vec<CompactString>,
    /// Time in which the whole wave has to be done.
    pub within_ms: u64,
    /// Maximum number of machines down at once.
    pub most_down: usize,
}

/// Outcome of taking a machine down for maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceReply {
    /// The machine goes down, or the wave's maintenance of it is over already.
    Confirmed,
    /// The machine is not up.
    Busy,
    /// The machine is not part of the wave or does not exist.
    NotInWave,
    /// Another scheduler controls the machine.
    Fenced,
    /// The platform's machine interface refused the call; nothing happened.
    Refused,
    /// No reply; the machine may still go down at any time.
    Unanswered,
}
