use slotmap::new_key_type;

new_key_type! {
    /// Key of a worker in a scheduler.
    pub struct WorkerKey;
    /// Key of a job in a scheduler.
    pub(super) struct JobKey;
    /// Key of a run in a scheduler.
    pub(super) struct RunKey;
}
