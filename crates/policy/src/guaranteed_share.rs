use std::collections::{BTreeMap, BTreeSet};

use model::{Adjacency, Class, Config, DataCentreId, JobSpec, OrganisationId, Refusal, Resources, Topology, WorkerId};
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::amount::Amount;
use crate::cluster::Cluster;
use crate::job::Job;
use crate::org::Org;
use crate::reservation::Reservation;
use crate::share::Share;
use crate::urgent_load::UrgentLoad;
use crate::worker::{View, WorkerStatus};
use crate::{Decision, Event, JobKey, Plan, PlanError, Policy, Stats, WorkerKey};

/// Policy with guaranteed shapes, borrowing, reclaim, fair share and reservations for wide jobs.
///
/// Workers take work unless [`Event::WorkerDown`] or [`Event::WorkerDraining`] was observed for them, so the scheduler
/// must report unresponsive workers before its first decision. Nothing starts before the first configuration.
///
/// ```
/// use model::{Config, DataCentreStatus, JobSpec, Organisation, Resources, Topology};
/// use policy::{Decision, GuaranteedShare, Policy};
///
/// let topology = Topology::uniform(1, 8, 8, Resources::new(8, 8, 32_000, 65_536));
/// let config = Config {
///     organisations: vec![Organisation::new("clyde-koi".parse()?)],
///     data_centres: vec![DataCentreStatus { id: "dc1".parse()?, in_service: true }],
///     ..Config::default()
/// };
/// let mut policy = GuaranteedShare::new(&topology);
/// policy.configure(0, &config)?;
/// let job = policy.submit(0, &JobSpec::new("clyde-koi".parse()?, "appraisal-1".parse()?))?;
/// let mut decisions = Vec::new();
/// policy.decide(0, &mut decisions);
/// assert!(matches!(decisions[..], [Decision::Start { job: started, .. }] if started == job));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct GuaranteedShare {
    pub(crate) topology: Topology,
    pub(crate) served: Option<Vec<DataCentreId>>,
    pub(crate) cluster: Cluster,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) orgs: Vec<Org>,
    pub(crate) org_ids: BTreeMap<OrganisationId, u16>,
    pub(crate) configured: bool,
    /// Guarantees that this instance plans for.
    pub(crate) plan_config: Config,
    pub(crate) plan: Plan,
    /// Shares of the plan in force; charges refer to them by position.
    pub(crate) shares: Vec<Share>,
    pub(crate) deadlines: BTreeSet<(u64, JobKey)>,
    pub(crate) exclusions: BTreeSet<(u64, WorkerKey)>,
    pub(crate) probes: BTreeSet<(u64, WorkerKey)>,
    /// Workers on which resources were released since the last pass.
    pub(crate) freed_workers: Vec<WorkerKey>,
    pub(crate) reservations: Vec<Reservation>,
    pub(crate) urgent: UrgentLoad,
    /// Decisions made outside of `decide`, returned by its next call.
    pub(crate) pending_decisions: Vec<Decision>,
    /// Queued shapes with their counts, for the fragmentation figure.
    pub(crate) waiting: BTreeMap<(u32, u16, Adjacency), u32>,
    pub(crate) running: u32,
    pub(crate) dirty: bool,
    pub(crate) wake_ms: u64,
    pub(crate) next_scan_ms: u64,
    pub(crate) sequence: u64,
    /// Whether non-preemptible work occupies guaranteed capacity; the plan is then recomputed periodically.
    pub(crate) has_blocked_shares: bool,
    pub(crate) next_replan_ms: u64,
    /// Moving average of the run times of deferred jobs.
    pub(crate) typical_run_ms: f64,
    /// Latest instant that was passed in.
    pub(crate) now_ms: u64,
}

impl GuaranteedShare {
    /// Creates a policy for all data centres of the topology.
    pub fn new(topology: &Topology) -> Self {
        Self {
            topology: topology.clone(),
            served: None,
            cluster: Cluster::new(topology),
            jobs: SlotMap::with_key(),
            orgs: Vec::new(),
            org_ids: BTreeMap::new(),
            configured: false,
            plan_config: Config::default(),
            plan: Plan::default(),
            shares: Vec::new(),
            deadlines: BTreeSet::new(),
            exclusions: BTreeSet::new(),
            probes: BTreeSet::new(),
            freed_workers: Vec::new(),
            reservations: Vec::new(),
            urgent: UrgentLoad::default(),
            pending_decisions: Vec::new(),
            waiting: BTreeMap::new(),
            running: 0,
            dirty: true,
            wake_ms: 0,
            next_scan_ms: 0,
            sequence: 0,
            has_blocked_shares: false,
            next_replan_ms: 0,
            typical_run_ms: 0.0,
            now_ms: 0,
        }
    }

    /// Sets the data centres that this instance schedules; the others matter only to the guarantee plan.
    ///
    /// Each scheduler plans over the whole topology, so that all agree which data centre provides which guarantee.
    #[must_use]
    pub fn serving(mut self, data_centres: impl IntoIterator<Item = DataCentreId>) -> Self {
        self.served = Some(data_centres.into_iter().collect());
        self
    }

    /// Returns the guarantee plan in force.
    pub const fn plan(&self) -> &Plan {
        &self.plan
    }

    pub(crate) fn serves(&self, dc: &DataCentreId) -> bool {
        self.served.as_ref().is_none_or(|served| served.contains(dc))
    }
}

impl Policy for GuaranteedShare {
    fn configure(&mut self, now_ms: u64, config: &Config) -> Result<(), PlanError> {
        self.apply_config(now_ms, config)
    }

    fn submit(&mut self, now_ms: u64, job: &JobSpec) -> Result<JobKey, Refusal> {
        self.admit(now_ms, job)
    }

    fn adopt(&mut self, now_ms: u64, job: &JobSpec, workers: &[WorkerKey]) -> JobKey {
        self.adopt_running(now_ms, job, workers)
    }

    fn grant(&mut self, now_ms: u64, need: Resources) -> Option<WorkerKey> {
        let need = Amount::from(need);
        let dcs = self.dcs_by_free_accelerators();
        let mut open = dcs
            .into_iter()
            .filter(|&dc| self.cluster.dcs[dc].allows_start(now_ms, 1));
        let worker = open.find_map(|dc| self.cluster.place_non_evictable(dc, need, &[]))?;
        self.change_grant(worker, need, 1);
        Some(worker)
    }

    fn adopt_grant(&mut self, worker: WorkerKey, resources: Resources) {
        self.change_grant(worker, resources.into(), 1);
    }

    fn release_grant(&mut self, worker: WorkerKey, resources: Resources) {
        self.change_grant(worker, resources.into(), -1);
        self.freed_workers.push(worker);
        self.dirty = true;
    }

    fn observe(&mut self, now_ms: u64, event: Event) {
        self.apply_event(now_ms, event);
    }

    fn decide(&mut self, now_ms: u64, decisions: &mut Vec<Decision>) {
        self.run_passes(now_ms, decisions);
    }

    fn worker_key(&self, id: &WorkerId) -> Option<WorkerKey> {
        self.cluster.key(id)
    }

    fn worker_id(&self, key: WorkerKey) -> &WorkerId {
        &self.cluster.workers[key].id
    }

    fn could_run(&self, job: JobKey) -> bool {
        self.fits_when_idle(job)
    }

    fn workers_of(&self, job: JobKey) -> SmallVec<[WorkerKey; 4]> {
        let parts = self.jobs.get(job).into_iter().flat_map(|job| &job.parts);
        parts.map(|part| part.worker).collect()
    }

    fn stats(&self) -> Stats {
        let total = self
            .cluster
            .dcs
            .iter()
            .map(|dc| dc.total.accelerators.max(0) as u32)
            .sum();
        let free: i32 = self.cluster.dcs.iter().map(|dc| dc.free.accelerators.max(0)).sum();
        let idle = self.cluster.dcs.iter().map(|dc| dc.idle_accelerators).max();
        Stats {
            queued_jobs: self.orgs.iter().map(|org| org.queued[0] + org.queued[1]).sum(),
            running_jobs: self.running,
            total_accelerators: total,
            used_accelerators: total.saturating_sub(free as u32),
            fragmentation_ratio: self.fragmentation(free as u32),
            largest_gang_accelerators: idle.unwrap_or(0),
            quarantined_workers: self.probes.len() as u32,
            lost_guarantees: self.plan.lost() as u32,
        }
    }
}

impl GuaranteedShare {
    fn change_grant(&mut self, worker: WorkerKey, resources: Amount, sign: i32) {
        let amount = if sign > 0 {
            resources
        } else {
            Amount::default() - resources
        };
        self.cluster.change(worker, |worker| {
            worker.free -= amount;
            worker.non_evictable += amount;
            worker.granted += amount;
        });
        self.urgent.change(amount);
    }

    /// Returns the data centres in ascending order of free accelerators, so that the others stay free for gangs.
    pub(crate) fn dcs_by_free_accelerators(&self) -> SmallVec<[usize; 4]> {
        let mut order: SmallVec<[usize; 4]> = (0..self.cluster.dcs.len()).collect();
        order.sort_by_key(|&dc| (self.cluster.dcs[dc].free.accelerators, dc));
        order
    }

    /// Returns the fraction of free accelerators that the largest waiting shape cannot use.
    fn fragmentation(&self, free: u32) -> f64 {
        let Some((&(accelerators, parts, adjacency), _)) = self.waiting.last_key_value() else {
            return 0.0;
        };
        if free == 0 || accelerators == 0 {
            return 0.0;
        }
        let parts = u32::from(parts);
        let usable: u32 = self
            .cluster
            .dcs
            .iter()
            .map(|dc| {
                let index = &dc.indexes[View::Free as usize];
                let size = (accelerators / parts) as usize;
                match adjacency {
                    Adjacency::Worker => index.counts(accelerators as usize).sum::<u32>() * accelerators,
                    Adjacency::Rack => index.counts(size).map(|n| n / parts).sum::<u32>() * accelerators,
                    Adjacency::DataCentre => index.counts(size).sum::<u32>() / parts * accelerators,
                }
            })
            .sum();
        1.0 - f64::from(usable.min(free)) / f64::from(free)
    }

    pub(crate) fn is_urgent(&self, job: JobKey) -> bool {
        self.jobs[job].class == Class::Urgent
    }

    pub(crate) fn is_up(&self, worker: WorkerKey) -> bool {
        self.cluster.workers[worker].status == WorkerStatus::Up
    }
}
