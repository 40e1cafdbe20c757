use super::keys::{RunKey, WorkerKey};
use super::{Engine, Run, RunState};
use crate::{Action, Step};

/// Throttling of fillers beside tasks that serve users.
impl Engine {
    /// Interval of adjusting a filler; the worker's figures cover the last half second.
    const PACE_MS: u64 = 500;

    /// Share of the target of a serving task from which fillers beside it are slowed.
    const PRESSED_SHARE: f64 = 0.8;

    /// Share of the target below which fillers may work more.
    const RELAXED_SHARE: f64 = 0.6;

    /// Percent by which a filler works more at a time; slower than the way down, so that the tail does not swing.
    const RAISE_PERCENT: u32 = 15;

    /// Adjusts the share of fillers on workers with serving tasks.
    pub(super) fn pace_fillers(&mut self, now_ms: u64) {
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Running && now_ms >= run.paced_ms + Self::PACE_MS)
            .filter(|(_, run)| self.shape_of(run).is_some_and(|shape| shape.is_filler))
            .map(|(key, run)| (key, run.worker))
            .collect();
        for (key, worker) in due {
            let percent = self.fitting_percent(key, worker);
            let Some(run) = self.runs.get_mut(key) else { continue };
            // A lower share is repeated: its order may be lost, and nothing reports the share in force.
            if percent == run.pace_percent && percent == 100 {
                continue;
            }
            run.paced_ms = now_ms;
            run.pace_percent = percent;
            let Some(what) = self.what_of(key) else { continue };
            self.actions.push(Action::Throttle { worker, what, percent });
        }
    }

    /// Returns the share at which a filler should work.
    fn fitting_percent(&self, key: RunKey, worker: WorkerKey) -> u32 {
        let now = self.runs.get(key).map_or(100, |run| run.pace_percent);
        match self.pressure(worker) {
            Some(share) if share >= 1.0 => 0,
            Some(share) if share >= Self::PRESSED_SHARE => now / 2,
            Some(share) if share >= Self::RELAXED_SHARE => now,
            Some(_) => (now + Self::RAISE_PERCENT).min(100),
            None => 100,
        }
    }

    /// Returns the highest tail latency on a worker as a share of its target; `None` if nothing serves there.
    fn pressure(&self, worker: WorkerKey) -> Option<f64> {
        let worker = self.workers.get(worker)?;
        worker
            .runs
            .iter()
            .filter_map(|key| self.runs.get(*key))
            .filter_map(|run| Some((run.recent, self.shape_of(run)?.target_ms)))
            .filter(|(_, target_ms)| *target_ms > 0)
            .map(|(tail_ms, target_ms)| tail_ms / target_ms as f64)
            .max_by(f64::total_cmp)
    }

    /// Returns whether serving tasks on a worker are close to their target, so that no filler should join them.
    pub(super) fn is_pressed(&self, worker: WorkerKey) -> bool {
        self.pressure(worker).is_some_and(|share| share >= Self::RELAXED_SHARE)
    }

    pub(super) fn shape_of(&self, run: &Run) -> Option<&Step> {
        if run.is_foreign {
            return None;
        }
        self.jobs.get(run.job)?.spec.steps.get(run.step as usize)
    }
}
