use std::collections::{HashMap, HashSet};

use super::keys::{JobKey, RunKey, WorkerKey};
use super::{Engine, Run, RunState};

/// Runs that work far below their normal rate.
impl Engine {
    /// Interval of comparing rates; reports of busy workers come less often.
    const SLOW_CHECK_MS: u64 = 200;

    /// Share of the run's own earlier rate below which it is slow.
    const DROPPED_SHARE: f64 = 0.4;

    /// Share of the rate of similar tasks below which it is slow. Uneven tasks of a step differ by less.
    const SLOW_SHARE: f64 = 0.2;

    /// Share at which a run shows that its worker is sound.
    const SOUND_SHARE: f64 = 0.6;

    /// Time without new work after the last sign of slowness. The next task tells whether it is over.
    const SLOW_AVOID_MS: u64 = 2_500;

    /// Time after a sign of slowness for which urgent work and gangs prefer other workers, unless a sound run clears it.
    const SUSPECT_MS: u64 = 8_000;

    /// Longest time for which a slowdown is expected to last when moving is weighed against staying.
    const SLOWDOWN_MS: f64 = 6_000.0;

    /// Time that a move takes: stop, its listing and the start elsewhere.
    const MOVE_MS: f64 = 500.0;

    /// Part of the expected gain that must remain after the cost of a move.
    const GAIN_MARGIN: f64 = 0.7;

    /// Excludes slow workers and moves work that gains by it.
    pub(super) fn move_slow_work(&mut self, now_ms: u64) {
        if now_ms < self.next_slow_check_ms {
            return;
        }
        self.next_slow_check_ms = now_ms + Self::SLOW_CHECK_MS;
        let rates = self.normal_rates();
        let mut slow = Vec::new();
        let mut sound = HashSet::new();
        for (key, run) in &self.runs {
            if run.state != RunState::Running || run.is_foreign {
                continue;
            }
            let similar = rates.get(&(run.job, run.occurrence, run.step)).copied().unwrap_or(0.0);
            let similar = similar / self.remote_factor_of(run);
            let own = run.progress.share_of(run.progress.best_rate);
            let other = run.progress.share_of(similar);
            if own.is_some_and(|share| share < Self::DROPPED_SHARE)
                || other.is_some_and(|share| share < Self::SLOW_SHARE)
            {
                slow.push((key, run.worker, similar.max(run.progress.best_rate)));
            } else if other.or(own).is_some_and(|share| share > Self::SOUND_SHARE) {
                sound.insert(run.worker);
            }
        }
        for worker in &sound {
            self.workers[*worker].suspect_until_ms = 0;
        }
        for (key, worker, normal) in slow {
            let is_gang = self.runs.get(key).is_some_and(|run| {
                let shape = &self.job_of(run).spec.steps[run.step as usize];
                shape.is_gang && shape.count > 1
            });
            if !is_gang && sound.contains(&worker) {
                continue;
            }
            // Reports come at different times, so not every member of a slow gang shows as slow in this pass.
            for worker in self.workers_of_unit(key) {
                if !sound.contains(&worker) {
                    self.workers[worker].suspect_until_ms = now_ms + Self::SUSPECT_MS;
                }
            }
            self.handle_slow(key, normal, now_ms);
        }
    }

    /// Returns the worker of a run, or those of all members of its gang.
    fn workers_of_unit(&self, key: RunKey) -> Vec<WorkerKey> {
        let Some(run) = self.runs.get(key) else {
            return Vec::new();
        };
        let is_gang = self.job_of(run).spec.steps[run.step as usize].is_gang;
        match self.step_of(run).filter(|_| is_gang) {
            Some(state) => {
                let members = state.active.iter().flatten().filter_map(|key| self.runs.get(*key));
                members.map(|member| member.worker).collect()
            }
            None => vec![run.worker],
        }
    }

    /// Moves work off leaving workers that cannot end there in time. What saves checkpoints saves one when it is
    /// stopped; the rest would be lost anyway, and starts again sooner.
    pub(super) fn leave_draining(&mut self, now_ms: u64) {
        /// Time for the end to be listed before the worker is gone.
        const LISTING_MS: u64 = 150;
        let mut late = Vec::new();
        for worker in self
            .workers
            .values()
            .filter(|worker| worker.draining_since_ms.is_some())
        {
            for key in &worker.runs {
                let run = &self.runs[*key];
                let is_movable = run.state == RunState::Running && !run.is_foreign;
                if is_movable && now_ms + self.left_ms(run, now_ms) + LISTING_MS > worker.leaves_ms {
                    late.push(*key);
                }
            }
        }
        for key in late {
            let Some(run) = self.runs.get(key).filter(|run| run.state == RunState::Running) else {
                continue;
            };
            let id = self.job_of(run).spec.id.clone();
            self.notes
                .push(format!("run_moved job={id} step={} cause=worker_leaves", run.step));
            self.give_up_run(key, now_ms);
        }
    }

    /// Returns the expected time until a run ends.
    fn left_ms(&self, run: &Run, now_ms: u64) -> u64 {
        if let Some(rate) = run.progress.rate.filter(|rate| *rate > 0.0) {
            return run.progress.left_ms(rate) as u64;
        }
        let spec = &self.job_of(run).spec;
        (self.expected_ms(spec, run.step) + run.ordered_ms).saturating_sub(now_ms)
    }

    /// Returns the normal rate of each step at work: the best of its corrected estimate and the median of its tasks.
    fn normal_rates(&self) -> HashMap<(JobKey, u32, u32), f64> {
        /// Tasks of a step on different workers from which a median means something.
        const SIBLINGS: usize = 3;
        let mut rates: HashMap<_, Vec<f64>> = HashMap::new();
        for run in self
            .runs
            .values()
            .filter(|run| run.state == RunState::Running && !run.is_foreign)
        {
            let step = rates.entry((run.job, run.occurrence, run.step)).or_default();
            let factor = self.remote_factor_of(run);
            step.extend(run.progress.rate.map(|rate| rate * factor));
        }
        rates
            .into_iter()
            .map(|((job, occurrence, step), mut rates)| {
                let spec = &self.jobs[job].spec;
                let estimated = self.estimated_rate(spec, step).unwrap_or(0.0);
                rates.sort_by(f64::total_cmp);
                let has_siblings = rates.len() >= SIBLINGS && !spec.steps[step as usize].is_gang;
                let median = if has_siblings { rates[rates.len() / 2] } else { 0.0 };
                ((job, occurrence, step), estimated.max(median))
            })
            .collect()
    }

    /// Returns by how much a run is slower because it is away from its data or its gang is spread over racks.
    pub(super) fn remote_factor_of(&self, run: &Run) -> f64 {
        let shape = &self.job_of(run).spec.steps[run.step as usize];
        let rack = |run: &Run| self.workers.get(run.worker).map(|worker| &worker.entry.rack);
        let own = rack(run);
        let is_away = shape.data_rack.is_some() && own != shape.data_rack.as_ref();
        let is_spread = shape.is_same_rack
            && self.step_of(run).is_some_and(|state| {
                let mut members = state.active.iter().flatten().filter_map(|key| self.runs.get(*key));
                members.any(|member| rack(member) != own)
            });
        if is_away || is_spread {
            self.limits.remote_factor
        } else {
            1.0
        }
    }

    fn handle_slow(&mut self, key: RunKey, normal: f64, now_ms: u64) {
        let Some(run) = self.runs.get(key) else { return };
        if run.state != RunState::Running {
            return;
        }
        let (job, occurrence, step) = (run.job, run.occurrence, run.step);
        let spec = std::rc::Rc::clone(&self.jobs[job].spec);
        let shape = &spec.steps[step as usize];
        let rate = run.progress.rate.unwrap_or(0.0);
        let lost_ms = if shape.saves_checkpoints {
            0.0
        } else {
            now_ms.saturating_sub(run.ordered_ms) as f64
        };
        let delay_ms = (run.progress.left_ms(rate) - run.progress.left_ms(normal)).min(Self::SLOWDOWN_MS);
        let worker = run.worker;
        // All members of a gang proceed at the rate of the slowest, so its workers say nothing about themselves.
        if !shape.is_gang || shape.count == 1 {
            let worker = &mut self.workers[worker];
            if now_ms + Self::SLOW_AVOID_MS > worker.avoid_until_ms + Self::SLOW_CHECK_MS {
                self.notes.push(format!(
                    "worker_slow worker={} share={:.2}",
                    worker.entry.id,
                    rate / normal
                ));
            }
            worker.avoid_until_ms = worker.avoid_until_ms.max(now_ms + Self::SLOW_AVOID_MS);
        }
        // A step that is slow again elsewhere has a wrong estimate; only a standing run moves a second time.
        let has_moved = self.step_of(run).is_some_and(|state| state.has_moved);
        if has_moved && rate > 0.0 {
            return;
        }
        if shape.is_non_preemptible() || delay_ms * Self::GAIN_MARGIN < lost_ms + Self::MOVE_MS {
            return;
        }
        self.notes.push(format!(
            "run_moved job={} step={step} delay_ms={delay_ms:.0} lost_ms={lost_ms:.0} share={:.2}",
            spec.id,
            rate / normal
        ));
        self.avoid_workers_of(job, occurrence, step, key);
        self.give_up_run(key, now_ms);
    }

    /// Makes a step prefer other workers than those of a run, or of all members of its gang.
    fn avoid_workers_of(&mut self, job: JobKey, occurrence: u32, step: u32, key: RunKey) {
        let ids: Vec<_> = self
            .workers_of_unit(key)
            .into_iter()
            .filter_map(|worker| self.workers.get(worker))
            .map(|worker| worker.entry.id.clone())
            .collect();
        if let Some(state) = self.step_mut(job, occurrence, step) {
            state.has_moved = true;
            for id in ids {
                if !state.failed_on.contains(&id) {
                    state.failed_on.push(id);
                }
            }
        }
    }
}
