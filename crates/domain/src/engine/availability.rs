use std::collections::HashSet;

use compact_str::CompactString;

use super::keys::RunKey;
use super::place::is_below_worker_limit;
use super::{Engine, Run, RunState};

/// Availability of steps of which only some tasks may be interrupted at the same time.
impl Engine {
    /// Returns whether all tasks on a machine may be interrupted: no step has more tasks unavailable then than it allows.
    /// Tasks count as unavailable if they are not known to be at work, or are on a machine that another command takes down.
    pub(super) fn may_interrupt(&self, machine: &str) -> bool {
        let going_down = self.waves.workers_going_down(machine);
        let here = self.runs_on(machine);
        here.iter().all(|key| {
            let run = &self.runs[*key];
            let Some(shape) = self.shape_of(run) else { return true };
            let remains = |other: &&RunKey| {
                let other = &self.runs[**other];
                other.worker != run.worker && self.is_available(other, &going_down)
            };
            shape.max_unavailable == 0 || self.unavailable_beside(run, remains) <= shape.max_unavailable
        })
    }

    /// Stops one task on a machine that holds more tasks of a step than may be interrupted at once, so that it starts
    /// elsewhere, if there is room and no other task of the step is unavailable beyond its limit.
    pub(super) fn move_off_shared_machine(&mut self, machine: &str, now_ms: u64) {
        let going_down = self.waves.workers_going_down(machine);
        let here = self.runs_on(machine);
        let movable = here.into_iter().find(|key| {
            let run = &self.runs[*key];
            let Some(shape) = self.shape_of(run).filter(|shape| shape.max_unavailable > 0) else {
                return false;
            };
            let is_available = |other: &&RunKey| self.is_available(&self.runs[**other], &going_down);
            let is_here = |other: &&RunKey| self.runs[**other].worker == run.worker;
            let unavailable = self.unavailable_beside(run, is_available);
            let count_here = self
                .step_of(run)
                .map_or(0, |state| state.active.iter().flatten().filter(is_here).count());
            run.state == RunState::Running
                && count_here > shape.max_unavailable as usize
                && unavailable < shape.max_unavailable
        });
        let Some(key) = movable.filter(|key| self.has_room_elsewhere(*key, now_ms)) else {
            return;
        };
        self.log_move(key, "maintenance");
        self.abort_run(key, now_ms);
    }

    /// Returns how many tasks of a run's step have no run that is `available`.
    fn unavailable_beside(&self, run: &Run, available: impl FnMut(&&RunKey) -> bool) -> u32 {
        self.step_of(run).map_or(0, |state| {
            let available = state.active.iter().flatten().filter(available).count();
            (state.active.len() - available) as u32
        })
    }

    /// Returns whether a run is known to be at work on a worker that answers and does not go down.
    fn is_available(&self, run: &Run, going_down: &HashSet<&CompactString>) -> bool {
        let worker = &self.workers[run.worker];
        let has_started_up = !run.is_lasting || run.progress.percent >= 100.0;
        run.is_at_work()
            && has_started_up
            && worker.unresponsive_since_ms.is_none()
            && !going_down.contains(&worker.entry.id)
    }

    fn has_room_elsewhere(&mut self, key: RunKey, now_ms: u64) -> bool {
        let candidates = self.candidates(now_ms);
        let run = &self.runs[key];
        let Some((spec, shape)) = self.job_of(run).map(|job| &job.spec).zip(self.shape_of(run)) else {
            return false;
        };
        candidates.iter().any(|candidate| {
            let on_worker = self.workers[candidate.worker].runs.iter();
            let alike = on_worker.filter(|other| self.runs[**other].unit() == run.unit());
            let alike = alike.count() as u32;
            candidate.worker != run.worker
                && shape.charged().fits(&candidate.free)
                && is_below_worker_limit(shape, Some(&alike))
                && self.is_eligible(candidate, spec, shape)
        })
    }
}
