use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    marker::PhantomData,
};

use model::{Config, JobSpec, OrganisationId, Refusal, Resources, Topology, WorkerId};
use policy::{Decision, Event, FailReason, JobKey, PlanError, Policy, Preemption, Stats, WorkerKey};
use slotmap::SlotMap;
use smallvec::SmallVec;

use super::{
    Fit,
    account::Account,
    health::Health,
    job::Job,
    nodes::Nodes,
    queue::{BucketKey, Queue},
};

/// Baseline that places by the strategy `F` and treats guarantees and quotas as accelerator counts.
///
/// An organisation below its guarantee preempts the most recently started borrowers, for as many accelerators as its
/// job needs, and again if the job still does not fit once they have stopped.
#[derive(Debug)]
pub struct CountQuota<F> {
    pub(super) nodes: Nodes,
    worker_keys: SlotMap<WorkerKey, usize>,
    keys: Vec<WorkerKey>,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) accounts: Vec<Account>,
    account_index: HashMap<OrganisationId, usize>,
    pub(super) queue: Queue,
    /// Jobs with allocated resources, in order of their start.
    pub(super) allocated: BTreeMap<u64, JobKey>,
    pub(super) reclaimers: Vec<JobKey>,
    /// Decisions that the next call of `decide` returns.
    pub(super) pending_decisions: Vec<Decision>,
    /// Jobs queued since the last pass; only these are tried if no capacity was freed.
    pub(super) newly_queued: Vec<JobKey>,
    pub(super) capacity_freed: bool,
    next_number: u64,
    fit: PhantomData<F>,
}

impl<F: Fit> CountQuota<F> {
    /// Maximum number of distinct workers on which a job may fail.
    const MAX_FAILED_WORKERS: usize = 3;

    /// Creates a baseline without configuration.
    pub fn new(topology: &Topology) -> Self {
        let nodes = Nodes::new(topology);
        let mut worker_keys = SlotMap::with_key();
        let keys = (0..nodes.all.len()).map(|node| worker_keys.insert(node)).collect();
        Self {
            nodes,
            worker_keys,
            keys,
            jobs: SlotMap::with_key(),
            accounts: Vec::new(),
            account_index: HashMap::new(),
            queue: Queue::default(),
            allocated: BTreeMap::new(),
            reclaimers: Vec::new(),
            pending_decisions: Vec::new(),
            newly_queued: Vec::new(),
            capacity_freed: false,
            next_number: 0,
            fit: PhantomData,
        }
    }

    pub(super) fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn insert(&mut self, now_ms: u64, spec: &JobSpec, organisation: usize) -> JobKey {
        let part = spec.need_per_part();
        let boost = self.accounts[organisation].boost[Account::class_index(spec.class)];
        let queue_key = (Reverse(spec.priority.saturating_add(boost)), self.take_number());
        let bucket = self.queue.bucket_of(BucketKey {
            organisation,
            class: spec.class,
            shape: spec.shape,
            part,
            idempotent: spec.idempotent,
        });
        self.jobs.insert(Job {
            organisation,
            class: spec.class,
            shape: spec.shape,
            part,
            idempotent: spec.idempotent,
            checkpointable: spec.checkpointable,
            bucket,
            queue_key,
            deadline_at_ms: spec.deadline_ms.map(|deadline_ms| now_ms + deadline_ms),
            workers: SmallVec::new(),
            start_number: 0,
            failed_on: SmallVec::new(),
            preemption_pending: false,
            victim_of: None,
            awaited_victims: 0,
        })
    }

    fn enqueue(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        self.queue.insert(job.bucket, job.queue_key, key);
        self.accounts[job.organisation].queued[Account::class_index(job.class)] += 1;
        self.newly_queued.push(key);
    }

    pub(super) fn dequeue(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        self.queue.remove(job.bucket, job.queue_key);
        self.accounts[job.organisation].queued[Account::class_index(job.class)] -= 1;
        self.reclaimers.retain(|other| *other != key);
    }

    /// Allocates the resources of all parts.
    pub(super) fn allocate(&mut self, key: JobKey, workers: SmallVec<[usize; 4]>) {
        let number = self.take_number();
        let job = &mut self.jobs[key];
        for node in &workers {
            self.nodes.all[*node].free -= job.part;
        }
        self.accounts[job.organisation].used += job.accelerators();
        job.workers = workers;
        job.start_number = number;
        job.deadline_at_ms = None;
        self.allocated.insert(number, key);
    }

    /// Frees the resources of the job.
    fn release(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        for node in &job.workers {
            self.nodes.all[*node].free += job.part;
        }
        self.accounts[job.organisation].used -= job.accelerators();
        job.workers.clear();
        job.preemption_pending = false;
        self.allocated.remove(&job.start_number);
        let owner = job.victim_of.take();
        if let Some(owner) = owner.and_then(|owner| self.jobs.get_mut(owner)) {
            owner.awaited_victims = owner.awaited_victims.saturating_sub(1);
        }
        self.capacity_freed = true;
    }

    fn remove(&mut self, key: JobKey) {
        if self.jobs[key].workers.is_empty() {
            self.dequeue(key);
        } else {
            self.release(key);
        }
        self.reclaimers.retain(|other| *other != key);
        self.jobs.remove(key);
    }

    fn requeue(&mut self, key: JobKey) {
        self.release(key);
        self.enqueue(key);
    }

    fn record_health(&mut self, now_ms: u64, node: usize, job: JobKey, failed: bool) {
        let (number, organisation) = (self.jobs[job].queue_key.1, self.jobs[job].organisation);
        let node = &mut self.nodes.all[node];
        let failing = node.health.record(number, organisation, failed);
        node.probing = false;
        self.capacity_freed |= node.health.quarantined_until_ms.is_some() && !failing;
        node.health.quarantined_until_ms = failing.then_some(now_ms + Health::PROBE_INTERVAL_MS);
    }

    fn on_failed(&mut self, now_ms: u64, key: JobKey, node: usize) {
        self.record_health(now_ms, node, key, true);
        let job = &mut self.jobs[key];
        if !job.failed_on.contains(&node) {
            job.failed_on.push(node);
        }
        let reason = if !job.idempotent {
            FailReason::NotIdempotent
        } else if job.failed_on.len() >= Self::MAX_FAILED_WORKERS {
            FailReason::FailedEverywhere
        } else {
            self.requeue(key);
            return;
        };
        self.remove(key);
        self.pending_decisions.push(Decision::Fail { job: key, reason });
    }

    /// Preempts all preemptible jobs in data centres that are out of service.
    fn evacuate(&mut self) {
        let keys: Vec<JobKey> = self.allocated.values().copied().collect();
        for key in keys {
            let job = &mut self.jobs[key];
            let out = job.workers.iter().any(|node| !self.nodes.all[*node].in_service);
            if out && job.is_preemptible() && !job.preemption_pending {
                job.preemption_pending = true;
                let mode = Self::mode_of(job);
                self.pending_decisions.push(Decision::Preempt { job: key, mode });
            }
        }
    }

    pub(super) fn mode_of(job: &Job) -> Preemption {
        if job.checkpointable {
            Preemption::Checkpoint
        } else {
            Preemption::Stop
        }
    }

    fn start_probes(&mut self, now_ms: u64) {
        for node in &mut self.nodes.all {
            if !node.probing
                && node
                    .health
                    .quarantined_until_ms
                    .is_some_and(|until_ms| now_ms >= until_ms)
            {
                node.probing = true;
                self.capacity_freed = true;
            }
        }
    }
}

impl<F: Fit> Policy for CountQuota<F> {
    fn configure(&mut self, _now_ms: u64, config: &Config) -> Result<(), PlanError> {
        config.validate()?;
        for organisation in &config.organisations {
            let next = self.accounts.len();
            let index = *self.account_index.entry(organisation.id.clone()).or_insert(next);
            if index == next {
                self.accounts.push(Account::new());
            }
            self.accounts[index].configure(config, organisation);
        }
        for (id, range) in &self.nodes.layout.data_centres {
            for node in &mut self.nodes.all[range.clone()] {
                node.in_service = config.is_in_service(id);
            }
        }
        self.evacuate();
        self.capacity_freed = true;
        Ok(())
    }

    fn submit(&mut self, now_ms: u64, job: &JobSpec) -> Result<JobKey, Refusal> {
        let Some(organisation) = self.account_index.get(&job.organisation).copied() else {
            return Err(Refusal::UnknownOrganisation {
                organisation: job.organisation.clone(),
            });
        };
        job.shape.validate()?;
        if !self.nodes.fits_empty(job.shape, job.need_per_part()) {
            return Err(Refusal::NeverFits { shape: job.shape });
        }
        let account = &self.accounts[organisation];
        if account.queued[Account::class_index(job.class)] >= account.queue_limit {
            return Err(Refusal::QueueFull {
                organisation: job.organisation.clone(),
                limit: account.queue_limit,
                retry_after_ms: 1_000,
            });
        }
        let key = self.insert(now_ms, job, organisation);
        self.enqueue(key);
        Ok(key)
    }

    fn adopt(&mut self, now_ms: u64, job: &JobSpec, workers: &[WorkerKey]) -> JobKey {
        let next = self.accounts.len();
        let organisation = *self.account_index.entry(job.organisation.clone()).or_insert(next);
        if organisation == next {
            self.accounts.push(Account::new());
        }
        let key = self.insert(now_ms, job, organisation);
        let workers = workers.iter().map(|worker| self.worker_keys[*worker]).collect();
        self.allocate(key, workers);
        key
    }

    fn grant(&mut self, _now_ms: u64, need: Resources) -> Option<WorkerKey> {
        let need = super::nodes::Need {
            shape: model::Shape::new(1, need.accelerators, model::Adjacency::Worker),
            part: need,
            idempotent: false,
            excluded: &[],
        };
        let node = self.nodes.place::<F>(need)?[0];
        self.nodes.all[node].free -= need.part;
        Some(self.keys[node])
    }

    fn adopt_grant(&mut self, worker: WorkerKey, resources: Resources) {
        self.nodes.all[self.worker_keys[worker]].free -= resources;
    }

    fn release_grant(&mut self, worker: WorkerKey, resources: Resources) {
        self.nodes.all[self.worker_keys[worker]].free += resources;
        self.capacity_freed = true;
    }

    fn observe(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Started { .. } => {}
            Event::NotStarted { job, .. } | Event::Stopped { job, .. } => self.requeue(job),
            Event::Finished { job, .. } => {
                let mut workers = self.jobs[job].workers.clone();
                workers.dedup();
                for node in workers {
                    self.record_health(now_ms, node, job, false);
                }
                self.remove(job);
            }
            Event::Failed { job, worker } => self.on_failed(now_ms, job, self.worker_keys[worker]),
            Event::Removed { job } => self.remove(job),
            Event::WorkerUp { worker } => {
                self.nodes.all[self.worker_keys[worker]].up = true;
                self.capacity_freed = true;
            }
            Event::WorkerDown { worker } | Event::WorkerDraining { worker } => {
                self.nodes.all[self.worker_keys[worker]].up = false;
            }
        }
    }

    fn decide(&mut self, now_ms: u64, decisions: &mut Vec<Decision>) {
        self.start_probes(now_ms);
        self.pass(now_ms);
        decisions.append(&mut self.pending_decisions);
    }

    fn worker_key(&self, id: &WorkerId) -> Option<WorkerKey> {
        let node = self.nodes.all.iter().position(|node| node.id == *id)?;
        Some(self.keys[node])
    }

    fn worker_id(&self, key: WorkerKey) -> &WorkerId {
        &self.nodes.all[self.worker_keys[key]].id
    }

    fn workers_of(&self, job: JobKey) -> SmallVec<[WorkerKey; 4]> {
        self.jobs
            .get(job)
            .map(|job| self.keys_of(&job.workers))
            .unwrap_or_default()
    }

    fn stats(&self) -> Stats {
        self.compute_stats()
    }
}

impl<F: Fit> CountQuota<F> {
    pub(super) fn keys_of(&self, workers: &[usize]) -> SmallVec<[WorkerKey; 4]> {
        workers.iter().map(|node| self.keys[*node]).collect()
    }
}
