use std::collections::{BTreeSet, HashMap};

use model::{Config, JobSpec, Refusal, Resources, WorkerId};
use policy::{Decision, Event, FailReason, JobKey, PlanError, Policy, Preemption, Stats, WorkerKey};
use slotmap::SlotMap;
use smallvec::SmallVec;

/// First-fit policy without guarantees, for tests of the scheduler only.
#[derive(Debug, Clone, Default)]
pub struct FirstFit {
    workers: SlotMap<WorkerKey, WorkerState>,
    ids: HashMap<WorkerId, WorkerKey>,
    jobs: SlotMap<JobKey, JobEntry>,
    queue: BTreeSet<JobKey>,
    is_out_of_service: bool,
    to_preempt: Vec<JobKey>,
    to_fail: Vec<(JobKey, FailReason)>,
}

#[derive(Debug, Clone)]
struct WorkerState {
    id: WorkerId,
    free: Resources,
    takes_work: bool,
}

#[derive(Debug, Clone)]
struct JobEntry {
    spec: JobSpec,
    workers: SmallVec<[WorkerKey; 4]>,
    failures: u32,
}

impl FirstFit {
    /// Creates the policy for equal workers.
    pub fn new(workers: &[WorkerId], capacity: Resources) -> Self {
        let mut policy = Self::default();
        for id in workers {
            let state = WorkerState {
                id: id.clone(),
                free: capacity,
                takes_work: true,
            };
            let key = policy.workers.insert(state);
            policy.ids.insert(id.clone(), key);
        }
        policy
    }

    fn release(&mut self, job: JobKey) {
        let Some(entry) = self.jobs.get_mut(job) else { return };
        let need = entry.spec.need_per_part();
        for worker in std::mem::take(&mut entry.workers) {
            self.workers[worker].free += need;
        }
    }

    fn place(&mut self, job: JobKey) -> bool {
        let entry = &self.jobs[job];
        let need = entry.spec.need_per_part();
        let mut chosen: SmallVec<[WorkerKey; 4]> = SmallVec::new();
        for _ in 0..entry.spec.shape.parts {
            let found = self
                .workers
                .iter_mut()
                .find(|(_, state)| state.takes_work && state.free.fits(need));
            let Some((key, state)) = found else { break };
            state.free -= need;
            chosen.push(key);
        }
        let is_complete = chosen.len() == usize::from(entry.spec.shape.parts);
        self.jobs[job].workers = chosen;
        if !is_complete {
            self.release(job);
        }
        is_complete
    }
}

impl Policy for FirstFit {
    fn configure(&mut self, _: u64, config: &Config) -> Result<(), PlanError> {
        self.is_out_of_service = !config.is_in_service(&"dc1".parse().unwrap());
        if self.is_out_of_service || !config.priorities.is_empty() {
            let running = self.jobs.iter().filter(|(_, entry)| !entry.workers.is_empty());
            let preemptible = running.filter(|(_, entry)| entry.spec.is_preemptible());
            self.to_preempt = preemptible.map(|(key, _)| key).collect();
        }
        Ok(())
    }

    fn submit(&mut self, _: u64, job: &JobSpec) -> Result<JobKey, Refusal> {
        let key = self.jobs.insert(JobEntry {
            spec: job.clone(),
            workers: SmallVec::new(),
            failures: 0,
        });
        self.queue.insert(key);
        Ok(key)
    }

    fn adopt(&mut self, _: u64, job: &JobSpec, workers: &[WorkerKey]) -> JobKey {
        for worker in workers {
            let free = &mut self.workers[*worker].free;
            *free = if free.fits(job.need_per_part()) {
                *free - job.need_per_part()
            } else {
                panic!("an adopted job does not fit beside the others")
            };
        }
        self.jobs.insert(JobEntry {
            spec: job.clone(),
            workers: workers.into(),
            failures: 0,
        })
    }

    fn grant(&mut self, _: u64, need: Resources) -> Option<WorkerKey> {
        let found = self
            .workers
            .iter_mut()
            .find(|(_, state)| state.takes_work && state.free.fits(need));
        let (key, state) = found.filter(|_| !self.is_out_of_service)?;
        state.free -= need;
        Some(key)
    }

    fn adopt_grant(&mut self, worker: WorkerKey, resources: Resources) {
        self.workers[worker].free -= resources;
    }

    fn release_grant(&mut self, worker: WorkerKey, resources: Resources) {
        self.workers[worker].free += resources;
    }

    fn observe(&mut self, _: u64, event: Event) {
        match event {
            Event::Started { .. } => {}
            Event::NotStarted { job, .. } | Event::Stopped { job, .. } => {
                self.release(job);
                self.queue.insert(job);
            }
            Event::Failed { job, .. } => {
                self.release(job);
                let entry = &mut self.jobs[job];
                entry.failures += 1;
                if !entry.spec.idempotent {
                    self.to_fail.push((job, FailReason::NotIdempotent));
                } else if entry.failures >= 3 {
                    self.to_fail.push((job, FailReason::FailedEverywhere));
                } else {
                    self.queue.insert(job);
                }
            }
            Event::Finished { job, .. } | Event::Removed { job } => {
                self.release(job);
                self.queue.remove(&job);
                self.jobs.remove(job);
            }
            Event::WorkerUp { worker } => self.workers[worker].takes_work = true,
            Event::WorkerDown { worker } | Event::WorkerDraining { worker } => self.workers[worker].takes_work = false,
        }
    }

    fn decide(&mut self, _: u64, decisions: &mut Vec<Decision>) {
        for (job, reason) in std::mem::take(&mut self.to_fail) {
            if self.jobs.remove(job).is_some() {
                decisions.push(Decision::Fail { job, reason });
            }
        }
        for job in std::mem::take(&mut self.to_preempt) {
            if let Some(entry) = self.jobs.get(job).filter(|entry| !entry.workers.is_empty()) {
                let mode = if entry.spec.checkpointable {
                    Preemption::Checkpoint
                } else {
                    Preemption::Stop
                };
                decisions.push(Decision::Preempt { job, mode });
            }
        }
        if self.is_out_of_service {
            return;
        }
        for job in self.queue.iter().copied().collect::<Vec<_>>() {
            if self.place(job) {
                self.queue.remove(&job);
                let workers = self.jobs[job].workers.clone();
                decisions.push(Decision::Start { job, workers });
            }
        }
    }

    fn worker_key(&self, id: &WorkerId) -> Option<WorkerKey> {
        self.ids.get(id).copied()
    }

    fn worker_id(&self, key: WorkerKey) -> &WorkerId {
        &self.workers[key].id
    }

    fn workers_of(&self, job: JobKey) -> SmallVec<[WorkerKey; 4]> {
        self.jobs[job].workers.clone()
    }

    fn stats(&self) -> Stats {
        let free: u32 = self
            .workers
            .values()
            .map(|state| u32::from(state.free.accelerators))
            .sum();
        Stats {
            queued_jobs: self.queue.len() as u32,
            running_jobs: (self.jobs.len() - self.queue.len()) as u32,
            total_accelerators: free,
            ..Stats::default()
        }
    }
}
