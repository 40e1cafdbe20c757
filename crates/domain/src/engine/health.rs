use std::collections::HashSet;

use super::Engine;
use super::keys::WorkerKey;
use super::queue::PlacementUnit;
use crate::Step;

/// Exclusion and deprioritisation of unhealthy workers.
impl Engine {
    /// Number of distinct jobs that fail in a row after which a worker is excluded for some time.
    const FAILED_JOBS_TO_EXCLUDE: usize = 2;

    /// First exclusion of a failing worker; doubles up to [`Engine::MAX_EXCLUSION_MS`].
    const EXCLUSION_MS: u64 = 2_000;

    /// Longest exclusion.
    const MAX_EXCLUSION_MS: u64 = 16_000;

    /// Excludes workers that failed several jobs in a row.
    pub(super) fn check_health(&mut self, now_ms: u64) {
        for worker in self.workers.values_mut() {
            if worker.failed_jobs.len() < Self::FAILED_JOBS_TO_EXCLUDE {
                if worker.failed_jobs.is_empty() && now_ms > worker.excluded_until_ms + Self::MAX_EXCLUSION_MS {
                    worker.exclusion_ms = 0;
                }
                continue;
            }
            worker.exclusion_ms = (worker.exclusion_ms * 2).clamp(Self::EXCLUSION_MS, Self::MAX_EXCLUSION_MS);
            worker.excluded_until_ms = now_ms + worker.exclusion_ms;
            // One more failure after the exclusion renews it; one success clears the list.
            worker.failed_jobs.truncate(1);
            self.log_lines.push(format!(
                "worker_excluded worker={} for_ms={} cause=failures",
                worker.entry.id, worker.exclusion_ms
            ));
        }
    }

    /// Returns the workers that a unit should use only if it fits nowhere else: it failed or was slow there, or they
    /// are suspect and the unit is urgent or a gang, which a single bad worker delays.
    pub(super) fn last_resort_workers(&self, unit: &PlacementUnit, shape: &Step, now_ms: u64) -> HashSet<WorkerKey> {
        let state = &self.jobs[unit.job].occurrences[&unit.occurrence].steps[unit.step as usize];
        let mut last_resort: HashSet<_> = state
            .failed_on
            .iter()
            .filter_map(|id| self.worker_ids.get(id).copied())
            .collect();
        if unit.priority == 0 || shape.is_gang {
            let suspects = self.workers.iter().filter(|(_, worker)| worker.is_suspect(now_ms));
            last_resort.extend(suspects.map(|(key, _)| key));
        }
        last_resort
    }
}
