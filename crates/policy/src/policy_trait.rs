use std::fmt::Debug;

use model::{Config, JobSpec, Refusal, Resources, WorkerId};
use smallvec::SmallVec;

use crate::{Decision, Event, JobKey, PlanError, Stats, WorkerKey};

/// Scheduling policy: decides which job runs on which workers. Implementations do no I/O and read no clock.
pub trait Policy: Debug {
    /// Applies a configuration. Versions are checked by the caller.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError`] and keeps the former configuration if the guarantees cannot be met by the topology.
    fn configure(&mut self, now_ms: u64, config: &Config) -> Result<(), PlanError>;

    /// Queues a job.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] if the job can never run, its queue is full, or its deadline cannot be met.
    fn submit(&mut self, now_ms: u64, job: &JobSpec) -> Result<JobKey, Refusal>;

    /// Adds a job that already runs on these workers, one for each part.
    fn adopt(&mut self, now_ms: u64, job: &JobSpec, workers: &[WorkerKey]) -> JobKey;

    /// Reserves resources for urgent work that an entry instance will place itself.
    ///
    /// Returns the worker, or `None` if nothing suitable is free.
    fn grant(&mut self, now_ms: u64, need: Resources) -> Option<WorkerKey>;

    /// Records resources that a grant already holds on a worker, after recovery.
    fn adopt_grant(&mut self, worker: WorkerKey, resources: Resources);

    /// Releases the resources of a grant.
    fn release_grant(&mut self, worker: WorkerKey, resources: Resources);

    /// Applies an event to the policy's state.
    fn observe(&mut self, now_ms: u64, event: Event);

    /// Appends the decisions that are due to `decisions`.
    fn decide(&mut self, now_ms: u64, decisions: &mut Vec<Decision>);

    /// Returns the key of a worker.
    fn worker_key(&self, id: &WorkerId) -> Option<WorkerKey>;

    /// Returns the id of a worker.
    ///
    /// # Panics
    ///
    /// Panics if the key does not belong to this policy.
    fn worker_id(&self, key: WorkerKey) -> &WorkerId;

    /// Returns the workers of a job that holds resources; empty while it is queued.
    fn workers_of(&self, job: JobKey) -> SmallVec<[WorkerKey; 4]>;

    /// Returns whether a queued job could start here once all other deferred work has ended.
    ///
    /// The scheduler moves a waiting job for which this is false to another data centre.
    fn could_run(&self, job: JobKey) -> bool {
        let _ = job;
        true
    }

    /// Returns the current statistics.
    fn stats(&self) -> Stats;
}
