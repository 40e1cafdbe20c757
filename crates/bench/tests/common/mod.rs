//! Policies with an injected fault, so that tests can show that the simulation's checks detect it.

use model::{Config, JobSpec, Refusal, Resources, WorkerId};
use policy::{Decision, Event, JobKey, PlanError, Policy, Preemption, Stats, WorkerKey};
use smallvec::SmallVec;

/// Fault that [`FaultyPolicy`] injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Starts gangs without their last part.
    MissingPart,
    /// Puts all parts on the first worker.
    SameWorker,
    /// Drops every 50th start decision.
    DroppedStart,
    /// Preempts every 50th started job immediately.
    ImmediatePreemption,
    /// Hides from the policy that a data centre is out of service.
    IgnoreOutage,
}

/// Wraps a policy and injects one fault.
#[derive(Debug)]
pub struct FaultyPolicy<P> {
    pub inner: P,
    pub fault: Fault,
    pub starts: u64,
}

impl<P: Policy> Policy for FaultyPolicy<P> {
    fn configure(&mut self, now_ms: u64, config: &Config) -> Result<(), PlanError> {
        let mut config = config.clone();
        if self.fault == Fault::IgnoreOutage {
            config.data_centres.iter_mut().for_each(|dc| dc.in_service = true);
        }
        self.inner.configure(now_ms, &config)
    }

    fn submit(&mut self, now_ms: u64, job: &JobSpec) -> Result<JobKey, Refusal> {
        self.inner.submit(now_ms, job)
    }

    fn adopt(&mut self, now_ms: u64, job: &JobSpec, workers: &[WorkerKey]) -> JobKey {
        self.inner.adopt(now_ms, job, workers)
    }

    fn grant(&mut self, now_ms: u64, need: Resources) -> Option<WorkerKey> {
        self.inner.grant(now_ms, need)
    }

    fn adopt_grant(&mut self, worker: WorkerKey, resources: Resources) {
        self.inner.adopt_grant(worker, resources);
    }

    fn release_grant(&mut self, worker: WorkerKey, resources: Resources) {
        self.inner.release_grant(worker, resources);
    }

    fn observe(&mut self, now_ms: u64, event: Event) {
        self.inner.observe(now_ms, event);
    }

    fn decide(&mut self, now_ms: u64, decisions: &mut Vec<Decision>) {
        let first = decisions.len();
        self.inner.decide(now_ms, decisions);
        for mut decision in decisions.split_off(first) {
            if let Decision::Start { job, workers } = &mut decision {
                self.starts += 1;
                match self.fault {
                    Fault::MissingPart if workers.len() > 1 => drop(workers.pop()),
                    Fault::SameWorker => {
                        let worker = workers[0];
                        workers.iter_mut().for_each(|other| *other = worker);
                    }
                    Fault::DroppedStart if self.starts.is_multiple_of(50) => continue,
                    Fault::ImmediatePreemption if self.starts.is_multiple_of(50) => {
                        let (job, mode) = (*job, Preemption::Stop);
                        decisions.push(decision);
                        decisions.push(Decision::Preempt { job, mode });
                        continue;
                    }
                    _ => {}
                }
            }
            decisions.push(decision);
        }
    }

    fn worker_key(&self, id: &WorkerId) -> Option<WorkerKey> {
        self.inner.worker_key(id)
    }

    fn worker_id(&self, key: WorkerKey) -> &WorkerId {
        self.inner.worker_id(key)
    }

    fn workers_of(&self, job: JobKey) -> SmallVec<[WorkerKey; 4]> {
        self.inner.workers_of(job)
    }

    fn stats(&self) -> Stats {
        self.inner.stats()
    }
}
