use std::collections::{BTreeSet, HashMap, HashSet};

use model::Shape;
use policy::Policy;

use super::Simulation;
use crate::{Sample, Scenario};

/// Queued and allocated accelerators by organisation.
#[derive(Debug, Clone)]
pub(crate) struct OrganisationDemand {
    /// Organisation and accelerators of each job.
    jobs: Vec<(u16, u32)>,
    quotas: Vec<u32>,
    queued: Vec<u32>,
    allocated: Vec<u32>,
    by_width: BTreeSet<(u32, u32)>,
    owner_jobs: HashMap<(u16, Shape), u16>,
    shapes: Vec<Shape>,
    pub(crate) running_tasks: u32,
}

impl OrganisationDemand {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let organisations = &scenario.config.organisations;
        let index: HashMap<_, _> = organisations
            .iter()
            .zip(0..)
            .map(|(org, index)| (&org.id, index))
            .collect();
        let jobs = scenario.arrivals.iter().map(|arrival| {
            let spec = &arrival.spec;
            (index[&spec.organisation], spec.shape.accelerators())
        });
        let quota = |organisation: &model::Organisation| organisation.quota_accelerators.unwrap_or(u32::MAX);
        Self {
            jobs: jobs.collect(),
            quotas: organisations.iter().map(quota).collect(),
            queued: vec![0; organisations.len()],
            allocated: vec![0; organisations.len()],
            by_width: BTreeSet::new(),
            owner_jobs: HashMap::new(),
            shapes: scenario.arrivals.iter().map(|arrival| arrival.spec.shape).collect(),
            running_tasks: 0,
        }
    }

    pub(crate) fn add(&mut self, job: u32) {
        let (organisation, accelerators) = self.jobs[job as usize];
        self.queued[organisation as usize] += accelerators;
        self.by_width.insert((accelerators, job));
    }

    pub(crate) fn remove(&mut self, job: u32) {
        let (organisation, accelerators) = self.jobs[job as usize];
        self.queued[organisation as usize] -= accelerators;
        self.by_width.remove(&(accelerators, job));
    }

    pub(crate) fn allocate(&mut self, job: u32) {
        let (organisation, accelerators) = self.jobs[job as usize];
        self.allocated[organisation as usize] += accelerators;
    }

    pub(crate) fn release(&mut self, job: u32) {
        let (organisation, accelerators) = self.jobs[job as usize];
        self.allocated[organisation as usize] -= accelerators;
    }

    /// Returns the accelerators that the organisations can use within their quotas.
    fn within_quotas(&self) -> u32 {
        let organisations = self.queued.iter().zip(&self.allocated).zip(&self.quotas);
        organisations
            .map(|((queued, allocated), quota)| (queued + allocated).min(*quota))
            .sum()
    }

    /// Counts an owner job and returns how many of its organisation and shape are live.
    fn owner_arrived(&mut self, job: u32) -> u16 {
        let key = (self.jobs[job as usize].0, self.shapes[job as usize]);
        let count = self.owner_jobs.entry(key).or_default();
        *count += 1;
        *count
    }

    pub(crate) fn owner_ended(&mut self, job: u32) {
        let key = (self.jobs[job as usize].0, self.shapes[job as usize]);
        if let Some(count) = self.owner_jobs.get_mut(&key) {
            *count -= 1;
        }
    }
}

impl<P: Policy> Simulation<'_, P> {
    /// Marks a job that the guarantee covers, so that the time until its start counts as reclaim time.
    pub(super) fn record_guaranteed_demand(&mut self, job: u32) {
        let spec = &self.arrival(job).spec;
        let live = self.demand.owner_arrived(job);
        let guaranteed: u16 = self
            .config
            .organisation(&spec.organisation)
            .into_iter()
            .flat_map(|organisation| &organisation.guarantees)
            .filter(|guarantee| guarantee.shape == spec.shape)
            .map(|guarantee| guarantee.count)
            .sum();
        if live > guaranteed {
            return;
        }
        self.records[job as usize].is_reclaim = true;
        self.metrics.reclaims += 1;
        let fleet = &self.fleet;
        let usable = fleet
            .layout
            .usable_accelerators(spec.shape, spec.need_per_part(), |worker| fleet.usable(worker));
        self.metrics.contended_reclaims += u64::from(usable < spec.shape.accelerators());
    }

    /// Returns start and end of the current data centre outage.
    fn current_outage(&self) -> Option<(u64, u64)> {
        let outages = &self.scenario.workload.outages;
        let current = outages
            .iter()
            .find(|(_, from, until)| (*from..*until).contains(&self.now_ms));
        current.map(|(_, from, until)| (*from, *until))
    }

    /// Adds the accelerator time of progress that a preemption discarded.
    pub(super) fn count_discarded(&mut self, job: u32, lost_ms: u64) {
        let accelerators = u64::from(self.arrival(job).spec.shape.accelerators());
        self.metrics.discarded_ms += lost_ms * accelerators;
        let record = &self.records[job as usize];
        let serves = |worker: &u32| self.fleet.in_service[self.fleet.data_centre_of[*worker as usize]];
        if let Some((from_ms, _)) = self.current_outage()
            && record.workers.iter().all(serves)
        {
            let during_ms = lost_ms.min(self.now_ms - from_ms);
            self.metrics.outage_discarded_ms += during_ms * accelerators;
        }
    }

    /// Records a sample of the cluster state.
    pub(super) fn sample(&mut self) {
        let fleet = &self.fleet;
        let free = fleet.healthy_accelerators(|worker| fleet.free[worker]);
        let share = |shape: Shape, part| {
            if free == 0 {
                return 0.0;
            }
            let usable = fleet
                .layout
                .usable_accelerators(shape, part, |worker| fleet.usable(worker));
            1.0 - f64::from(usable) / f64::from(free)
        };
        let waiting_fragmentation = self.demand.by_width.last().map_or(0.0, |(_, job)| {
            let spec = &self.arrival(*job).spec;
            share(spec.shape, spec.need_per_part())
        });
        let shapes = self.scenario.workload.wide_shapes.iter().map(|entry| entry.0);
        let probe_fragmentation = shapes.max_by_key(|shape| shape.accelerators()).map_or(0.0, |shape| {
            share(shape, model::Resources::new(1, shape.accelerators_per_part, 0, 0))
        });
        let largest_gang = fleet.layout.data_centres.iter().map(|(_, range)| {
            let empty = range
                .clone()
                .filter(|worker| fleet.usable(*worker) == fleet.capacity[*worker]);
            empty.map(|worker| u32::from(fleet.capacity[worker].accelerators)).sum()
        });
        let running_in_service: u32 = fleet
            .useful
            .iter()
            .zip(&fleet.in_service)
            .map(|(useful, in_service)| if *in_service { *useful } else { 0 })
            .sum();
        let sample = Sample {
            at_ms: self.now_ms,
            waiting_fragmentation,
            probe_fragmentation,
            free_accelerators: free,
            running_accelerators: fleet.useful.iter().sum(),
            waiting_accelerators: self.demand.queued.iter().sum(),
            largest_gang: largest_gang.max().unwrap_or(0),
            running_tasks: self.demand.running_tasks,
            fits_waiting: self.fits_waiting(),
            grant_workers: self.grants.workers(),
        };
        self.metrics.samples.push(sample);
        if self.current_outage().is_some() {
            let capacity = fleet.healthy_accelerators(|worker| fleet.capacity[worker]);
            let allowed = capacity
                .saturating_sub(self.grants.live())
                .min(self.demand_in_service());
            self.metrics.outage_work_ms += u64::from(running_in_service.min(allowed)) * Self::SAMPLE_MS;
            self.metrics.outage_allowed_ms += u64::from(allowed) * Self::SAMPLE_MS;
        }
    }

    /// Returns whether a preemptible waiting job within its organisation's quota fits into the free capacity.
    fn fits_waiting(&self) -> bool {
        let mut seen = HashSet::new();
        self.demand.by_width.iter().any(|(accelerators, job)| {
            let spec = &self.arrival(*job).spec;
            let organisation = self.demand.jobs[*job as usize].0 as usize;
            let in_quota = self.demand.allocated[organisation] + accelerators <= self.demand.quotas[organisation];
            if !spec.is_preemptible() || !in_quota || !seen.insert((spec.shape, spec.need_per_part())) {
                return false;
            }
            let layout = &self.fleet.layout;
            (0..layout.domain_count(spec.shape.adjacency)).any(|index| {
                let range = layout.domain(spec.shape.adjacency, index);
                let fitting_parts =
                    range.map(|worker| u32::from(self.fleet.usable(worker).count_of(spec.need_per_part())));
                fitting_parts.sum::<u32>() >= u32::from(spec.shape.parts)
            })
        })
    }

    /// Returns the accelerators that waiting jobs and jobs in data centres in service can use.
    fn demand_in_service(&self) -> u32 {
        let out: u32 = self
            .fleet
            .useful
            .iter()
            .zip(&self.fleet.in_service)
            .map(|(useful, in_service)| if *in_service { 0 } else { *useful })
            .sum();
        self.demand.within_quotas().saturating_sub(out)
    }
}
