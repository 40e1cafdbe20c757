use slotmap::new_key_type;

new_key_type! {
    /// Key of a worker in the engine.
    pub struct WorkerKey;
    /// Key of a job in the engine.
    pub(super) struct JobKey;
    /// Key of a run in the engine.
    pub(super) struct RunKey;
}
