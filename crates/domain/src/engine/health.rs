use std::collections::HashSet;

use super::Engine;
use super::keys::WorkerKey;
use super::order::Unit;
use crate::Step;

/// Workers that fail or delay what they run.
impl Engine {
    /// Failures of different jobs in a row after which a worker is excluded for a time.
    const FAILED_JOBS: usize = 2;

    /// First exclusion of a failing worker; doubles up to [`Engine::AVOID_MAX_MS`].
    const AVOID_MS: u64 = 2_000;

    /// Longest exclusion.
    const AVOID_MAX_MS: u64 = 16_000;

    /// Excludes workers that failed several jobs in a row.
    pub(super) fn check_health(&mut self, now_ms: u64) {
        for worker in self.workers.values_mut() {
            if worker.failed_jobs.len() < Self::FAILED_JOBS {
                if worker.failed_jobs.is_empty() && now_ms > worker.avoid_until_ms + Self::AVOID_MAX_MS {
                    worker.avoid_for_ms = 0;
                }
                continue;
            }
            worker.avoid_for_ms = (worker.avoid_for_ms * 2).clamp(Self::AVOID_MS, Self::AVOID_MAX_MS);
            worker.avoid_until_ms = now_ms + worker.avoid_for_ms;
            // One more failure after the exclusion renews it; one success clears the list.
            worker.failed_jobs.truncate(1);
            self.notes.push(format!(
                "worker_excluded worker={} for_ms={} cause=failures",
                worker.entry.id, worker.avoid_for_ms
            ));
        }
    }

    /// Returns the workers that a unit should use only if it fits nowhere else: it failed or was slow there, or the last
    /// sign of their health was bad and it is urgent or a gang, which one bad worker holds up.
    pub(super) fn doubtful_workers(&self, unit: &Unit, shape: &Step, now_ms: u64) -> HashSet<WorkerKey> {
        let state = &self.jobs[unit.job].occurrences[&unit.occurrence].steps[unit.step as usize];
        let mut doubtful: HashSet<_> = state
            .failed_on
            .iter()
            .filter_map(|id| self.worker_ids.get(id).copied())
            .collect();
        if unit.priority == 0 || shape.is_gang {
            let suspects = self.workers.iter().filter(|(_, worker)| worker.is_suspect(now_ms));
            doubtful.extend(suspects.map(|(key, _)| key));
        }
        doubtful
    }
}
