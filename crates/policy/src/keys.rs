slotmap::new_key_type! {
    /// Key of a job in a policy's arena.
    pub struct JobKey;
    /// Key of a worker in a policy's arena.
    pub struct WorkerKey;
}
