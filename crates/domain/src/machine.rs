use compact_str::CompactString;

/// State of a machine in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Its worker runs.
    Up,
    /// It moves to another pool.
    Moving,
    /// It has its upkeep.
    Upkeep,
    /// It is off.
    Down,
}

/// Machine of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Name; stays over lives of its worker.
    pub name: CompactString,
    /// State.
    pub state: MachineState,
    /// Id of its present worker.
    pub worker: CompactString,
}

/// Wave of upkeep that operators ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// Machines.
    pub machines: Vec<CompactString>,
    /// Time for the whole wave.
    pub within_ms: u64,
    /// Most machines down at once.
    pub most_down: usize,
}

/// Why a machine was not taken down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpkeepReply {
    /// It is down for its upkeep, or has had it.
    Begun,
    /// It is not up at present.
    Busy,
    /// It does not belong to the wave, or does not exist.
    NotInWave,
    /// Another scheduler gives orders to it.
    Fenced,
    /// The machines' interface refused the call; nothing happened.
    Refused,
    /// No reply; it may go down at any time.
    Unanswered,
}
