use compact_str::CompactString;
use smallvec::SmallVec;

use super::Engine;
use super::candidate::Candidate;
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

    /// One in this many workers of a service may be excluded at once. If more fail or are slow, the cause is not with the
    /// workers, and excluding them would keep sound work from all of them.
    const EXCLUDED_ONE_IN: usize = 3;

    /// Returns whether one more worker of a service may be excluded.
    pub(super) fn may_exclude(&self, service: &CompactString, now_ms: u64) -> bool {
        let workers = self.workers.values();
        let (listed, excluded) = workers
            .filter(|worker| worker.is_listed && worker.entry.service == *service)
            .fold((0_usize, 0_usize), |(listed, excluded), worker| {
                (listed + 1, excluded + usize::from(now_ms < worker.excluded_until_ms))
            });
        (excluded + 1) * Self::EXCLUDED_ONE_IN <= listed
    }

    /// Excludes workers that failed several jobs in a row.
    pub(super) fn check_health(&mut self, now_ms: u64) {
        let mut failing = Vec::new();
        for (key, worker) in &mut self.workers {
            if worker.failed_jobs.len() >= Self::FAILED_JOBS_TO_EXCLUDE {
                failing.push(key);
            } else if worker.failed_jobs.is_empty() && now_ms > worker.excluded_until_ms + Self::MAX_EXCLUSION_MS {
                worker.exclusion_ms = 0;
            }
        }
        let mut full_services: SmallVec<[CompactString; 2]> = SmallVec::new();
        for key in failing {
            let worker = &self.workers[key];
            let service = worker.entry.service.clone();
            let is_excluded = now_ms < worker.excluded_until_ms;
            let may_exclude = is_excluded || (!full_services.contains(&service) && self.may_exclude(&service, now_ms));
            let worker = &mut self.workers[key];
            if !may_exclude {
                if !full_services.contains(&service) {
                    full_services.push(service);
                }
                worker.failed_jobs.truncate(Self::FAILED_JOBS_TO_EXCLUDE);
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

    /// Returns the workers on which tasks of a unit failed or were slow.
    pub(super) fn failed_workers(&self, unit: &PlacementUnit) -> SmallVec<[WorkerKey; 4]> {
        let state = &self.jobs[unit.job].occurrences[&unit.occurrence].steps[unit.step as usize];
        let failed_on = state.failed_on.iter();
        failed_on.filter_map(|id| self.worker_ids.get(id).copied()).collect()
    }
}

/// Returns whether a unit should use a worker only if it fits nowhere else: it failed or was slow there, or the worker
/// is suspect and the unit is urgent or a gang, which a single bad worker delays. A unit that may have crashed workers
/// avoids those that crashed, so that a second crash is evidence against the unit and not against the worker.
pub(super) fn is_last_resort(
    unit: &PlacementUnit,
    shape: &Step,
    candidate: &Candidate,
    failed_on: &[WorkerKey],
) -> bool {
    let avoids_suspects = unit.priority == 0 || shape.is_gang;
    (avoids_suspects && candidate.is_suspect)
        || (unit.has_suspects && candidate.has_crashed)
        || failed_on.contains(&candidate.worker)
}
