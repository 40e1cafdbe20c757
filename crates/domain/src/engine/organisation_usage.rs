use std::collections::HashMap;

use compact_str::CompactString;
use indexmap::IndexMap;
use shares::{Amounts, Entry};

use super::former_runs::FormerRuns;
use super::keys::WorkerKey;
use super::queue::{PlacementUnit, PlacementUnitKey};
use super::{Engine, Run};
use crate::{Config, Job, OrganisationShare, Step, TaskName, TaskRun};

/// What a run counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Claim {
    /// An organisation, given by its index, with the full declared resources of the task.
    Of(usize, Amounts),
    /// Its job is not known, so that it may belong to any organisation and be of any size.
    Unknown,
}

/// Usage of all organisations, kept with each run that is added or removed.
#[derive(Debug, Default)]
pub(super) struct OrganisationUsages {
    entries: IndexMap<CompactString, Entry>,
    /// Number of runs whose job is not known.
    unknown_runs: u32,
    /// Runs that rows of former schedulers name and that no report has confirmed or ended yet.
    pub former: HashMap<WorkerKey, FormerRuns>,
    has_maximum: bool,
    has_weight: bool,
    /// All runs of former epochs are known.
    is_complete: bool,
    /// Steps that wait for the maximum of their organisation, and since when.
    pub held: IndexMap<PlacementUnitKey, u64>,
}

impl OrganisationUsages {
    pub fn set_config(&mut self, config: &Config) {
        for entry in self.entries.values_mut() {
            *entry = Entry {
                usage: entry.usage,
                ..Entry::default()
            };
        }
        for organisation in &config.organisations {
            let index = self.index(&organisation.name);
            let usage = self.entries[index].usage;
            self.entries[index] = Entry {
                weight: organisation.weight,
                guaranteed_accelerators: organisation.guaranteed_accelerators,
                maximum: organisation.maximum.into(),
                usage,
            };
        }
        self.has_weight = self.entries.values().any(|entry| entry.weight > 0);
        self.has_maximum = self.entries.values().any(Entry::is_limited);
    }

    /// Returns the index of an organisation, which it keeps for the epoch.
    fn index(&mut self, name: &CompactString) -> usize {
        match self.entries.get_index_of(name) {
            Some(index) => index,
            None => self.entries.insert_full(name.clone(), Entry::default()).0,
        }
    }

    pub fn add(&mut self, claim: Claim) {
        match claim {
            Claim::Of(index, amounts) => self.entries[index].usage = self.entries[index].usage.plus(&amounts),
            Claim::Unknown => self.unknown_runs += 1,
        }
    }

    pub fn remove(&mut self, claim: Claim) {
        match claim {
            Claim::Of(index, amounts) => self.entries[index].usage = self.entries[index].usage.minus(&amounts),
            Claim::Unknown => self.unknown_runs -= 1,
        }
    }

    pub fn entry(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// Returns the entry of an organisation if it has a maximum.
    pub fn limited(&self, name: &str) -> Option<&Entry> {
        if !self.has_maximum {
            return None;
        }
        self.entries.get(name).filter(|entry| entry.is_limited())
    }

    /// Returns whether any organisation has a weight; without one, there are no shares.
    pub const fn has_weight(&self) -> bool {
        self.has_weight
    }

    /// Returns whether any organisation has a maximum or a weight.
    pub const fn has_shares(&self) -> bool {
        self.has_maximum || self.has_weight
    }

    /// Returns the entries by their index.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.entries.get_index_of(name)
    }

    pub const fn has_maximum(&self) -> bool {
        self.has_maximum
    }

    pub const fn is_known(&self) -> bool {
        self.is_complete && self.unknown_runs == 0
    }
}

/// Maximum that each organisation may have running.
///
/// Every run counts from its placement until its end is certain, whatever its state. Runs of former epochs that only rows
/// of last runs name count as well. While some may be unknown, nothing starts for an organisation with a maximum.
impl Engine {
    /// Returns what a run counts for.
    pub(super) fn claim_of(&mut self, run: &Run) -> Claim {
        if let Some(task) = run.task
            && let Some(spec) = self.jobs.get(task.job).map(|job| std::rc::Rc::clone(&job.spec))
        {
            return self.claim_of_step(&spec, task.step);
        }
        self.claim_of_name(&run.id)
    }

    /// Returns what a run counts for whose job may have ended.
    pub(super) fn claim_of_name(&mut self, run: &TaskRun) -> Claim {
        let Ok(name) = run.task.parse::<TaskName>() else {
            return Claim::Unknown;
        };
        let open = self.job_ids.get(&name.job).map(|key| &self.jobs[*key].spec);
        match open.or_else(|| self.ended_jobs.get(&name.job)).cloned() {
            Some(spec) => self.claim_of_step(&spec, name.step),
            None => Claim::Unknown,
        }
    }

    fn claim_of_step(&mut self, spec: &Job, step: u32) -> Claim {
        match spec.steps.get(step as usize) {
            Some(shape) => Claim::Of(self.usages.index(&spec.organisation), shape.need.into()),
            None => Claim::Unknown,
        }
    }

    /// Notes once all runs of former epochs are known; from then on, every run is.
    pub(super) fn note_complete_usage(&mut self) {
        if !self.usages.is_complete && self.is_loaded {
            self.usages.is_complete = !self.has_unreported_workers();
        }
    }

    /// Returns how many more tasks of a step the maximum of its organisation admits: all or none of a gang.
    pub(super) fn room_under_maximum(&self, spec: &Job, shape: &Step) -> u64 {
        let Some(entry) = self.usages.limited(&spec.organisation) else {
            return u64::MAX;
        };
        if !self.usages.is_known() {
            return 0;
        }
        let room = entry.room_for(&shape.need.into());
        if shape.is_gang && room < u64::from(shape.count) {
            0
        } else {
            room
        }
    }

    /// Returns whether the maximum of its organisation keeps all waiting tasks of a unit from starting.
    pub(super) fn is_held_by_maximum(&self, unit: &PlacementUnit) -> bool {
        let spec = &self.jobs[unit.job].spec;
        self.room_under_maximum(spec, &spec.steps[unit.step as usize]) == 0
    }

    /// Returns whether an organisation has more than its maximum with a run that was placed and not sent, or may have.
    pub(super) fn exceeds_maximum(&self, run: &Run) -> bool {
        let Some(job) = self.job_of(run) else { return false };
        self.usages
            .limited(&job.spec.organisation)
            .is_some_and(|entry| !self.usages.is_known() || entry.excess_with(&Amounts::default()).is_some())
    }

    /// Returns the capacity of all listed workers.
    pub(super) fn total_capacity(&self) -> Amounts {
        let workers = self.workers.values().filter(|worker| worker.is_listed);
        workers.fold(Amounts::default(), |sum, worker| {
            sum.plus(&worker.entry.capacity.into())
        })
    }

    /// Returns the share of each organisation that is configured or has something running.
    pub fn organisation_shares(&self) -> Vec<OrganisationShare> {
        let capacity = self.total_capacity();
        let entries = self.usages.entries.iter();
        entries
            .map(|(name, entry)| OrganisationShare::new(name, entry, &capacity))
            .collect()
    }

    /// Returns the share of one organisation.
    pub(super) fn organisation_share(&self, name: &str) -> Option<OrganisationShare> {
        let entry = self.usages.entry(name)?;
        Some(OrganisationShare::new(name, entry, &self.total_capacity()))
    }

    /// Returns whether the usage of each organisation equals the sum over all runs, for tests.
    #[doc(hidden)]
    pub fn is_usage_consistent(&self) -> bool {
        let mut sums = vec![Amounts::default(); self.usages.entries.len()];
        let mut unknown = 0;
        let former = self.usages.former.values().flat_map(FormerRuns::claims);
        for claim in self.runs.values().map(|run| run.claim).chain(former) {
            match claim {
                Claim::Of(index, amounts) => sums[index] = sums[index].plus(&amounts),
                Claim::Unknown => unknown += 1,
            }
        }
        let usages = self.usages.entries.values().map(|entry| entry.usage);
        usages.eq(sums) && unknown == self.usages.unknown_runs
    }
}
