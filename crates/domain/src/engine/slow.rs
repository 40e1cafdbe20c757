use std::collections::{HashMap, HashSet};

use super::keys::{RunKey, WorkerKey};
use super::queue::PlacementUnitKey;
use super::{Engine, Run, RunState};

/// Runs that progress far below their normal rate.
impl Engine {
    /// Interval between comparisons of rates; busy workers report less often.
    const SLOW_CHECK_MS: u64 = 200;

    /// Share of the run's own best rate below which it counts as slow.
    const SELF_SLOW_SHARE: f64 = 0.4;

    /// Share of the rate of similar tasks below which a run counts as slow. Uneven tasks of a step differ by less.
    const PEER_SLOW_SHARE: f64 = 0.2;

    /// Share above which a run shows that its worker is healthy.
    const HEALTHY_SHARE: f64 = 0.6;

    /// Exclusion after a worker was last seen slow. The next task shows whether the slowdown is over.
    const SLOW_EXCLUSION_MS: u64 = 2_500;

    /// Time for which urgent work and gangs prefer other workers after a slow run, unless a healthy run clears it.
    const SUSPECT_MS: u64 = 8_000;

    /// Longest assumed duration of a slowdown when moving a run is weighed against leaving it.
    const MAX_SLOWDOWN_MS: f64 = 6_000.0;

    /// Time that a move takes: the stop, its report and the start elsewhere.
    const MOVE_MS: f64 = 500.0;

    /// Share of the expected gain that must cover the cost of a move.
    const GAIN_MARGIN: f64 = 0.7;

    /// Excludes slow workers and moves runs that are expected to finish earlier elsewhere.
    pub(super) fn move_slow_work(&mut self, now_ms: u64) {
        if now_ms < self.next_slow_check_ms {
            return;
        }
        self.next_slow_check_ms = now_ms + Self::SLOW_CHECK_MS;
        let rates = self.normal_rates();
        let mut slow = Vec::new();
        let mut healthy = HashSet::new();
        for (key, run) in &self.runs {
            let Some(unit) = run.unit().filter(|_| run.state == RunState::Running) else {
                continue;
            };
            if self.waits_for_gang(run) {
                continue;
            }
            let similar = rates.get(&unit).copied().unwrap_or(0.0);
            let similar = similar / self.remote_factor_of(run) * self.speed_factor(run.worker);
            let own = run.progress.share_of(run.progress.best_rate);
            let other = run.progress.share_of(similar);
            if own.is_some_and(|share| share < Self::SELF_SLOW_SHARE)
                || other.is_some_and(|share| share < Self::PEER_SLOW_SHARE)
            {
                slow.push((key, run.worker, similar.max(run.progress.best_rate)));
            } else if other.or(own).is_some_and(|share| share > Self::HEALTHY_SHARE) {
                healthy.insert(run.worker);
            }
        }
        for worker in &healthy {
            self.workers[*worker].suspect_until_ms = 0;
        }
        for (key, worker, normal) in slow {
            if healthy.contains(&worker) {
                // The task is long, not the worker slow.
                continue;
            }
            self.workers[worker].suspect_until_ms = now_ms + Self::SUSPECT_MS;
            self.handle_slow(key, normal, now_ms);
        }
    }

    /// Moves runs that cannot finish in time off draining workers. A run that saves checkpoints saves one when it is
    /// stopped; any other would be lost anyway, and restarts sooner this way.
    pub(super) fn move_off_draining_workers(&mut self, now_ms: u64) {
        /// Time for the end to be reported before the worker exits.
        const REPORT_MS: u64 = 150;
        let mut to_move = Vec::new();
        for worker in self
            .workers
            .values()
            .filter(|worker| worker.draining_since_ms.is_some())
        {
            for key in &worker.runs {
                let run = &self.runs[*key];
                let is_movable = run.state == RunState::Running && run.task.is_some();
                if is_movable && now_ms + self.remaining_of_unit_ms(run, now_ms) + REPORT_MS > worker.earliest_exit_ms {
                    to_move.push(*key);
                }
            }
        }
        for key in to_move {
            let run = self.runs.get(key);
            if run.is_none_or(|run| run.state != RunState::Running) {
                continue;
            }
            self.log_move(key, "worker_leaves");
            self.abort_run(key, now_ms);
        }
    }

    /// Logs that a run is stopped so that its task starts elsewhere.
    pub(super) fn log_move(&mut self, key: RunKey, cause: &str) {
        let Some(task) = self.runs.get(key).and_then(|run| run.task) else {
            return;
        };
        let id = self.jobs.get(task.job).map_or("", |job| job.spec.id.as_str());
        let line = format!("run_moved job={id} step={} cause={cause}", task.step);
        self.log_lines.push(line);
    }

    /// Returns the expected time until a run ends: a member of a gang ends with the last one.
    fn remaining_of_unit_ms(&self, run: &Run, now_ms: u64) -> u64 {
        let own_ms = self.remaining_ms(run, now_ms);
        let Some(state) = self.step_of(run).filter(|_| self.is_gang_member(run)) else {
            return own_ms;
        };
        let members = state.active.iter().flatten().filter_map(|key| self.runs.get(*key));
        members.fold(own_ms, |longest_ms, member| {
            longest_ms.max(self.remaining_ms(member, now_ms))
        })
    }

    /// Returns the expected remaining run time of a run by itself; 0 if no open job needs it.
    pub(super) fn remaining_ms(&self, run: &Run, now_ms: u64) -> u64 {
        if let Some(rate) = run.progress.rate.filter(|rate| *rate > 0.0) {
            return run.progress.remaining_ms(rate) as u64;
        }
        let Some((job, task)) = self.job_of(run).zip(run.task) else {
            return 0;
        };
        let expected_ms = (self.expected_ms(&job.spec, task.step) as f64 / self.completion_speed(run)) as u64;
        (expected_ms + run.start_sent_ms).saturating_sub(now_ms)
    }

    /// Returns the normal rate of each running step on a worker of mean speed: the higher of its corrected estimate and the
    /// median of its tasks. Members of a gang are equal in size, so the median of a gang on several workers is its rate
    /// even if the gang takes many times as long as others.
    fn normal_rates(&self) -> HashMap<PlacementUnitKey, f64> {
        /// Minimum number of running tasks of a step for which the median of their rates is meaningful.
        const MIN_SIBLINGS: usize = 3;
        /// Share of the estimated rate below which a whole gang is stalled and not only long.
        const STALLED_SHARE: f64 = 0.05;
        let mut rates: HashMap<_, Vec<f64>> = HashMap::new();
        // Gangs with members on several workers.
        let mut spread: HashSet<_> = HashSet::new();
        let mut first_worker: HashMap<_, WorkerKey> = HashMap::new();
        for run in self.runs.values().filter(|run| run.state == RunState::Running) {
            let Some(step) = run.unit() else { continue };
            if *first_worker.entry(step).or_insert(run.worker) != run.worker {
                spread.insert(step);
            }
            let rate = if self.waits_for_gang(run) {
                Some(run.progress.best_rate).filter(|rate| *rate > 0.0)
            } else {
                run.progress.rate
            };
            let factor = self.remote_factor_of(run) / self.speed_factor(run.worker);
            rates.entry(step).or_default().extend(rate.map(|rate| rate * factor));
        }
        rates
            .into_iter()
            .filter_map(|(unit, mut rates)| {
                let (_, step) = unit.step();
                let spec = &self.jobs.get(unit.job())?.spec;
                rates.sort_by(f64::total_cmp);
                let median = rates.get(rates.len() / 2).copied();
                let is_gang = spec.steps[step as usize].is_gang;
                let is_comparable = rates.len() > 1 && spread.contains(&unit);
                let estimated = self.estimated_rate(spec, step).unwrap_or(0.0);
                let normal = match median {
                    Some(median) if is_gang && is_comparable && median > estimated * STALLED_SHARE => median,
                    Some(median) if !is_gang && rates.len() >= MIN_SIBLINGS => median.max(estimated),
                    _ => estimated,
                };
                Some((unit, normal))
            })
            .collect()
    }

    /// Returns whether a run is a member of a gang that has done its part and waits for the others.
    fn waits_for_gang(&self, run: &Run) -> bool {
        run.progress.percent >= 100.0 && self.is_gang_member(run)
    }

    /// Returns whether a run is a member of a gang that is on its worker alone, so that a low rate may be that of its tasks.
    fn is_gang_on_one_worker(&self, run: &Run) -> bool {
        let is_gang = self.shape_of(run).is_some_and(|shape| shape.is_gang && shape.count > 1);
        let Some(state) = self.step_of(run).filter(|_| is_gang) else {
            return false;
        };
        let mut members = state.active.iter().flatten().filter_map(|key| self.runs.get(*key));
        members.all(|member| member.worker == run.worker)
    }

    /// Returns the factor by which a run takes longer if it is away from its data or its gang is spread over racks.
    pub(super) fn remote_factor_of(&self, run: &Run) -> f64 {
        let Some(shape) = self.shape_of(run) else { return 1.0 };
        let rack = |run: &Run| self.workers.get(run.worker).map(|worker| &worker.entry.rack);
        let own = rack(run);
        let is_remote = shape.data_rack.is_some() && own != shape.data_rack.as_ref();
        let is_spread = shape.is_same_rack
            && self.step_of(run).is_some_and(|state| {
                let mut members = state.active.iter().flatten().filter_map(|key| self.runs.get(*key));
                members.any(|member| rack(member) != own)
            });
        if is_remote || is_spread {
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
        let Some((job, task)) = self.job_of(run).zip(run.task) else {
            return;
        };
        let spec = std::rc::Rc::clone(&job.spec);
        let step = task.step;
        let shape = &spec.steps[step as usize];
        let rate = run.progress.rate.unwrap_or(0.0);
        let lost_ms = if shape.saves_checkpoints {
            0.0
        } else {
            now_ms.saturating_sub(run.start_sent_ms) as f64
        };
        let delay_ms = (run.progress.remaining_ms(rate) - run.progress.remaining_ms(normal)).min(Self::MAX_SLOWDOWN_MS);
        let worker = run.worker;
        let is_excluded = now_ms < self.workers[worker].excluded_until_ms;
        if !self.is_gang_on_one_worker(run) && (is_excluded || self.may_exclude(&spec.service, now_ms)) {
            let worker = &mut self.workers[worker];
            if now_ms + Self::SLOW_EXCLUSION_MS > worker.excluded_until_ms + Self::SLOW_CHECK_MS {
                self.log_lines.push(format!(
                    "worker_slow worker={} share={:.2}",
                    worker.entry.id,
                    rate / normal
                ));
            }
            worker.excluded_until_ms = worker.excluded_until_ms.max(now_ms + Self::SLOW_EXCLUSION_MS);
        }
        // A step that is slow again elsewhere has a wrong estimate; only a stalled run moves a second time.
        let has_moved = self.step_of(run).is_some_and(|state| state.has_moved);
        if has_moved && rate > 0.0 {
            return;
        }
        if shape.is_non_preemptible() || delay_ms * Self::GAIN_MARGIN < lost_ms + Self::MOVE_MS {
            return;
        }
        self.log_lines.push(format!(
            "run_moved job={} step={step} delay_ms={delay_ms:.0} lost_ms={lost_ms:.0} share={:.2}",
            spec.id,
            rate / normal
        ));
        let id = self.workers[worker].entry.id.clone();
        if let Some(state) = self.step_of_task_mut(task) {
            state.has_moved = true;
            if !state.failed_on.contains(&id) {
                state.failed_on.push(id);
            }
        }
        self.abort_run(key, now_ms);
    }
}
