/// Operator action or worker fault at a fixed time of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incident {
    /// Operators take the data centre with this index out of service or bring it back.
    DataCentre {
        /// Index in the topology.
        index: usize,
        /// Whether it is in service from now on.
        in_service: bool,
    },
    /// The worker with this index crashes.
    WorkerCrashes {
        /// Index in topology order.
        worker: u32,
    },
    /// The worker with this index restarts without tasks.
    WorkerRestarts {
        /// Index in topology order.
        worker: u32,
    },
    /// The worker with this index fails every task from now on, or is repaired.
    WorkerBroken {
        /// Index in topology order.
        worker: u32,
        /// Whether it fails every task.
        broken: bool,
    },
}
