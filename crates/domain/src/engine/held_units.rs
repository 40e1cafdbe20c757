use compact_str::CompactString;
use indexmap::IndexMap;
use shares::{Amounts, Entry, Excess};
use smallvec::SmallVec;

use super::Engine;
use super::queue::{PlacementUnit, PlacementUnitKey};
use crate::{Job, Step, WaitCause};

/// Why the maximum of its organisation holds a step back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Hold {
    /// The tasks that have to start together do not fit into the maximum.
    Excess(Excess),
    /// What the organisation has running is not known: earlier runs may be unknown, or the job of a run is.
    UsageUnknown,
}

impl Hold {
    /// Returns the resource that binds, the amount in use and the limit.
    const fn parts(self) -> (&'static str, u64, u64) {
        match self {
            Self::Excess(excess) => (excess.resource.code(), excess.in_use, excess.limit),
            Self::UsageUnknown => ("unknown", 0, 0),
        }
    }
}

/// Steps that wait for the maximum of their organisation.
impl Engine {
    /// Removes the units that the maximum of their organisation holds back, before any worker is looked at for them: they
    /// would take the place of others in a long queue. Nothing that happens during a pass admits them. Returns the keys of
    /// all units.
    pub(super) fn set_aside_held_units(
        &mut self,
        units: &mut Vec<PlacementUnit>,
        now_ms: u64,
    ) -> Vec<PlacementUnitKey> {
        self.note_complete_usage();
        if !self.usages.has_maximum() {
            return Vec::new();
        }
        let ready: Vec<_> = units.iter().map(PlacementUnit::key).collect();
        let held: Vec<_> = units.extract_if(.., |unit| self.is_held_by_maximum(unit)).collect();
        self.set_aside_refills(units, &held);
        let urgent = held.iter().filter(|unit| unit.priority == 0 && !unit.has_suspects);
        for unit in urgent.take(Self::MAX_PREEMPTIONS) {
            self.preempt_own(unit, now_ms);
        }
        if units.is_empty() {
            self.note_held_units(&ready, now_ms);
        }
        ready
    }

    /// Removes the units of lower priority of an organisation whose guaranteed work is held back: they would take what the
    /// ends of its runs free under the maximum, so that the guaranteed work never fits.
    fn set_aside_refills(&self, units: &mut Vec<PlacementUnit>, held: &[PlacementUnit]) {
        let organisation = |unit: &PlacementUnit| &self.jobs[unit.job].spec.organisation;
        let mut waiting: SmallVec<[&CompactString; 2]> = SmallVec::new();
        for unit in held.iter().filter(|unit| unit.priority == 0) {
            let name = organisation(unit);
            if !waiting.contains(&name) && self.fits_alone(unit) && self.is_within_guarantee(name) {
                waiting.push(name);
            }
        }
        if !waiting.is_empty() {
            units.retain(|unit| unit.priority == 0 || !waiting.contains(&organisation(unit)));
        }
    }

    /// Returns whether the tasks of a unit that have to start together fit into the maximum of their organisation if nothing
    /// else runs.
    fn fits_alone(&self, unit: &PlacementUnit) -> bool {
        let spec = &self.jobs[unit.job].spec;
        let shape = &spec.steps[unit.step as usize];
        let together = if shape.is_gang { u64::from(shape.count) } else { 1 };
        self.usages.entry(&spec.organisation).is_none_or(|entry| {
            let unused = Entry {
                usage: Amounts::default(),
                ..*entry
            };
            unused.room_for(&shape.need.into()) >= together
        })
    }

    /// Returns why the maximum of its organisation holds the waiting tasks of a step back, if it does.
    fn hold_of(&self, spec: &Job, shape: &Step) -> Option<Hold> {
        if self.room_under_maximum(spec, shape) > 0 {
            return None;
        }
        let together = if shape.is_gang { u64::from(shape.count) } else { 1 };
        let needed = Amounts::from(shape.need).times(together);
        let entry = self.usages.limited(&spec.organisation)?;
        let excess = entry.excess_with(&needed).filter(|_| self.usages.is_known());
        Some(excess.map_or(Hold::UsageUnknown, Hold::Excess))
    }

    /// Returns the wait of a step for the maximum of its organisation, if it waits for it.
    pub(super) fn maximum_wait(&self, unit: &PlacementUnit, now_ms: u64) -> Option<WaitCause> {
        let spec = &self.jobs[unit.job].spec;
        let (resource, in_use, limit) = self.hold_of(spec, &spec.steps[unit.step as usize])?.parts();
        let since_ms = self.usages.held.get(&unit.key()).copied().unwrap_or(now_ms);
        Some(WaitCause::OrganisationMaximum {
            resource: resource.into(),
            in_use,
            limit,
            held_ms: now_ms.saturating_sub(since_ms),
        })
    }

    /// Notes and logs which of the ready steps have tasks that wait for the maximum of their organisation.
    pub(super) fn note_held_units(&mut self, ready: &[PlacementUnitKey], now_ms: u64) {
        if !self.usages.has_maximum() && self.usages.held.is_empty() {
            return;
        }
        let mut held = IndexMap::new();
        for key in ready {
            if held.contains_key(key) {
                continue;
            }
            let (occurrence, step) = key.step();
            let Some(job) = self.jobs.get(key.job()) else { continue };
            let Some(opened) = job.occurrences.get(&occurrence) else {
                continue;
            };
            if opened.steps[step as usize].idle_count() == 0 {
                continue;
            }
            let spec = &job.spec;
            let Some(cause) = self.hold_of(spec, &spec.steps[step as usize]) else {
                continue;
            };
            let since_ms = self.usages.held.get(key).copied();
            if since_ms.is_none() {
                let (resource, in_use, limit) = cause.parts();
                self.log_lines.push(format!(
                    "held_by_maximum job={} occurrence={occurrence} step={step} organisation={} resource={resource} \
                     in_use={in_use} limit={limit}",
                    spec.id, spec.organisation
                ));
            }
            held.insert(*key, since_ms.unwrap_or(now_ms));
        }
        for (key, since_ms) in std::mem::replace(&mut self.usages.held, held) {
            if self.usages.held.contains_key(&key) {
                continue;
            }
            let Some(job) = self.jobs.get(key.job()) else { continue };
            let (occurrence, step) = key.step();
            self.log_lines.push(format!(
                "released_by_maximum job={} occurrence={occurrence} step={step} organisation={} held_ms={}",
                job.spec.id,
                job.spec.organisation,
                now_ms.saturating_sub(since_ms)
            ));
        }
        self.stats.maximum_waits = self.usages.held.len() as u64;
    }
}
