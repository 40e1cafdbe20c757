use std::collections::HashMap;

use overload::Victim;

use super::job_entry::JobEntry;
use super::keys::RunKey;
use super::queue::{PlacementUnit, PlacementUnitKey};
use super::{Engine, Run, RunState, RunTask};

/// Times of a step whose runs may be stopped.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
struct VictimTimes {
    expected_ms: u64,
    /// Expected time from the end of the step to that of the job.
    after_ms: u64,
    objective_end_ms: u64,
    late_end_ms: u64,
}

/// Times of the steps that one search for victims has met; a step may have many runs.
#[derive(Debug, Default)]
pub(super) struct VictimTimesCache(HashMap<PlacementUnitKey, VictimTimes>);

/// What stopping runs costs their callers.
impl Engine {
    /// Longest time for which urgent work waits for the end of a run instead of stopping it; it has to start within 1.6 s.
    const ENDING_MS: u64 = 500;

    /// Time from the stop of a run until its task runs again, at best.
    const RESTART_MS: u64 = 300;

    /// Returns whether a run ends so soon that a unit needs no stop: it ends before the unit has to start, and if it does
    /// not, there is time left to stop it. Members of a gang end with the slowest, which their own progress does not show.
    pub(super) fn is_about_to_end(&self, run: &Run, unit: &PlacementUnit, now_ms: u64) -> bool {
        let is_gang = self.is_gang_member(run);
        let has_rate = run.progress.rate.is_some_and(|rate| rate > 0.0);
        let may_wait = self.limits.weighs_delays && has_rate && !is_gang && !run.is_lasting;
        if run.state != RunState::Running || !may_wait {
            return false;
        }
        // The progress is that of the last report.
        let report_age_ms = run
            .last_listed_ms
            .map_or(0, |listed_ms| now_ms.saturating_sub(listed_ms));
        let remaining_ms = self.remaining_ms(run, now_ms).saturating_sub(report_age_ms) + Self::STOP_REPORT_MS;
        let start_by_ms = unit.latest_start_ms.min(unit.due_ms + self.limits.reclaim_ms);
        let stop_by_ms = start_by_ms.saturating_sub(self.limits.stop_grace_ms + Self::STOP_REPORT_MS);
        remaining_ms <= Self::ENDING_MS && now_ms + remaining_ms <= stop_by_ms
    }

    /// Returns the cost of stopping a run, with the other members of its gang, of which `unsaved_core_ms` are lost.
    pub(super) fn victim_cost(
        &self,
        key: RunKey,
        unsaved_core_ms: u64,
        cache: &mut VictimTimesCache,
        now_ms: u64,
    ) -> u64 {
        if !self.limits.weighs_delays {
            return unsaved_core_ms;
        }
        let run = &self.runs[key];
        let Some(((task, job), shape)) = run.task.zip(self.job_of(run)).zip(self.shape_of(run)) else {
            return unsaved_core_ms;
        };
        let times = cache.0.entry(task.unit());
        let times = *times.or_insert_with(|| self.victim_times(job, task));
        let members = match self.step_of(run) {
            Some(state) if shape.is_gang => u64::from(state.active_count.max(1)),
            _ => 1,
        };
        let remaining_ms = self.remaining_ms(run, now_ms);
        let restarted_ms = if shape.saves_checkpoints {
            remaining_ms
        } else {
            times.expected_ms
        };
        overload::victim_cost(&Victim {
            unsaved_core_ms,
            work_core_ms: members * run.need.weight_milli() * times.expected_ms / 1_000,
            end_ms: now_ms + remaining_ms + times.after_ms,
            restarted_end_ms: now_ms + Self::RESTART_MS + restarted_ms + times.after_ms,
            objective_end_ms: times.objective_end_ms,
            late_end_ms: times.late_end_ms,
        })
    }

    fn victim_times(&self, job: &JobEntry, task: RunTask) -> VictimTimes {
        let critical_paths = self.critical_paths_ms(&job.spec);
        let objective_ms = Self::objective_ms(&job.spec, &critical_paths);
        let expected_ms = self.expected_ms(&job.spec, task.step);
        let due_ms = job.occurrences[&task.occurrence].due_ms;
        VictimTimes {
            expected_ms,
            after_ms: critical_paths[task.step as usize].saturating_sub(expected_ms),
            objective_end_ms: due_ms + objective_ms,
            late_end_ms: due_ms + objective_ms * Self::LATE_FACTOR,
        }
    }
}
