use super::keys::{RunKey, WorkerKey};
use super::{Engine, RunState};
use crate::Action;

/// Throttling of background tasks beside tasks that serve users.
impl Engine {
    /// Interval between adjustments of a background task; workers report figures for the last half second.
    const THROTTLE_INTERVAL_MS: u64 = 500;

    /// Throttle commands in flight to one worker; workers close connections beyond 64.
    const MAX_THROTTLES_IN_FLIGHT: usize = 8;

    /// Ratio of a serving task's tail latency to its target from which background tasks beside it are throttled.
    const THROTTLE_LATENCY_RATIO: f64 = 0.8;

    /// Ratio of tail latency to target below which the share of background tasks is raised.
    const RAISE_LATENCY_RATIO: f64 = 0.6;

    /// Percentage points by which a background task is raised at a time; slower than the decrease, so that the tail
    /// latency does not oscillate.
    const RAISE_PERCENT: u32 = 15;

    /// Adjusts the share of background tasks on workers with serving tasks.
    pub(super) fn throttle_background_tasks(&mut self, now_ms: u64) {
        let mut due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                run.state == RunState::Running && now_ms >= run.throttle_sent_ms + Self::THROTTLE_INTERVAL_MS
            })
            .filter(|(_, run)| self.shape_of(run).is_some_and(|shape| shape.is_filler))
            .map(|(key, run)| (run.throttle_sent_ms, key, run.worker))
            .collect();
        // With too many for one pass, all get their turn.
        due.sort_by_key(|(sent_ms, ..)| *sent_ms);
        for (_, key, worker) in due {
            let percent = self.target_percent(key, worker);
            let Some(run) = self.runs.get_mut(key) else { continue };
            let Some(throttled) = self.workers.get_mut(worker) else {
                continue;
            };
            if throttled.throttles_in_flight >= Self::MAX_THROTTLES_IN_FLIGHT {
                // A later pass decides on newer figures.
                throttled.awaits_throttles = true;
                continue;
            }
            // A lower share is sent repeatedly: a command may be lost, and nothing reports the current share.
            if percent == run.work_percent && percent == 100 {
                continue;
            }
            throttled.throttles_in_flight += 1;
            run.throttle_sent_ms = now_ms;
            run.work_percent = percent;
            let task_run = run.id.clone();
            self.actions.push(Action::Throttle {
                worker,
                task_run,
                percent,
            });
        }
    }

    /// Takes note that a throttle command to a worker is no longer in flight.
    pub fn throttle_replied(&mut self, worker: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.throttles_in_flight = worker.throttles_in_flight.saturating_sub(1);
            self.is_schedule_due |= std::mem::take(&mut worker.awaits_throttles);
        }
    }

    /// Returns the share at which a background task should work, in percent.
    fn target_percent(&self, key: RunKey, worker: WorkerKey) -> u32 {
        let current = self.runs.get(key).map_or(100, |run| run.work_percent);
        match self.latency_ratio(worker) {
            Some(ratio) if ratio >= 1.0 => 0,
            Some(ratio) if ratio >= Self::THROTTLE_LATENCY_RATIO => current / 2,
            Some(ratio) if ratio >= Self::RAISE_LATENCY_RATIO => current,
            Some(_) => (current + Self::RAISE_PERCENT).min(100),
            None => 100,
        }
    }

    /// Returns the highest ratio of tail latency to target on a worker; `None` if it has no serving task.
    fn latency_ratio(&self, worker: WorkerKey) -> Option<f64> {
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

    /// Returns whether serving tasks on a worker are close to their target, so that no background task should be added.
    pub(super) fn is_near_latency_target(&self, worker: WorkerKey) -> bool {
        self.latency_ratio(worker)
            .is_some_and(|ratio| ratio >= Self::RAISE_LATENCY_RATIO)
    }
}
