use std::collections::HashMap;

use compact_str::CompactString;
use shares::{Amounts, Entry};

use super::Engine;
use crate::Job;

/// Parts of each service's capacity that one step may expect to have at once.
#[derive(Debug, Default)]
pub(super) struct ServiceQuarters(HashMap<CompactString, Amounts>);

/// Waves in which wide steps run.
impl Engine {
    /// Part of the capacity of its service on which a step of any width is expected to run at once.
    const SERVICE_PART: u64 = 4;

    /// Takes the capacities of all services, for [`Self::waves_of`], which is asked for many steps in each pass.
    pub(super) fn take_service_quarters(&mut self) {
        self.service_quarters.0.clear();
        if !self.usages.has_shares() {
            return;
        }
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            let capacity: Amounts = worker.entry.capacity.into();
            let sum = self.service_quarters.0.entry(worker.entry.service.clone()).or_default();
            *sum = sum.plus(&capacity);
        }
        for sum in self.service_quarters.0.values_mut() {
            sum.cpu_milli /= Self::SERVICE_PART;
            sum.memory_mib /= Self::SERVICE_PART;
            sum.accelerators /= Self::SERVICE_PART;
        }
    }

    /// Returns in how many waves the tasks of a step run, of which only some fit at once into the maximum of its
    /// organisation or a quarter of the capacity of its service. A gang runs in one, and so does every step while no
    /// organisation has a maximum or weight.
    pub(super) fn waves_of(&self, spec: &Job, step: usize) -> u64 {
        let shape = &spec.steps[step];
        if shape.is_gang || shape.count < 2 || !self.usages.has_shares() {
            return 1;
        }
        let tasks = u64::from(shape.count);
        let under = |maximum: Amounts| {
            let limit = Entry {
                maximum,
                ..Entry::default()
            };
            shares::waves(tasks, limit.room_for(&shape.need.into()))
        };
        let of_organisation = self
            .usages
            .limited(&spec.organisation)
            .map_or(1, |entry| under(entry.maximum));
        let of_service = self
            .service_quarters
            .0
            .get(&spec.service)
            .map_or(1, |quarter| under(*quarter));
        of_organisation.max(of_service)
    }
}
