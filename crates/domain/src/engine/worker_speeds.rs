use std::collections::HashMap;

use speed::{Speed, SpeedModel};

use super::keys::{RunKey, WorkerKey};
use super::queue::{PlacementUnit, PlacementUnitKey};
use super::speed_rows::SpeedRows;
use super::{Engine, Run, RunState};
use crate::{Job, SpeedState, Step};

/// What is known of the speeds of workers.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkerSpeeds {
    model: SpeedModel<WorkerKey, PlacementUnitKey>,
    next_fit_ms: u64,
    /// The workers differ so much that placement takes account of it.
    is_uneven: bool,
    /// Speed that work of priority 0 needs to meet its objective if it starts at once.
    urgent_need: f64,
    /// Factors as last logged.
    logged: HashMap<WorkerKey, f64>,
    pub rows: SpeedRows,
}

impl WorkerSpeeds {
    /// Returns the workers with reliable estimates.
    pub fn reliable(&self) -> impl Iterator<Item = (WorkerKey, Speed)> + '_ {
        self.model.estimates().filter(|(_, speed)| speed.is_reliable())
    }

    /// Returns what is known of the workers together.
    pub fn state(&self) -> SpeedState {
        match self.model.spread() {
            None => SpeedState::Unknown,
            Some(_) if self.is_uneven => SpeedState::Uneven,
            Some(_) => SpeedState::Even,
        }
    }

    /// Returns the speed of a worker in percent of the mean if it is reliable.
    pub fn percent(&self, worker: WorkerKey) -> Option<u64> {
        let speed = self.model.estimate(worker);
        speed.is_reliable().then(|| (speed.factor() * 100.0).round() as u64)
    }

    /// Takes over a speed that a former scheduler estimated; the next placement pass uses it.
    pub fn import(&mut self, worker: WorkerKey, speed: Speed) {
        self.model.import(worker, speed);
        self.next_fit_ms = 0;
    }
}

/// How well a worker suits a unit by its speed; the lower, the better. All are equal while speeds do not differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SpeedRank {
    /// Class of the chance that the unit misses its objective there.
    pub miss: u8,
    /// Class of the chance that urgent work would meet its objective there: other work leaves such workers free.
    pub urgent: u8,
}

/// Speed that a unit needs to meet its objective, and that urgent work needs.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SpeedNeed {
    own: f64,
    urgent: f64,
}

/// Speed of workers.
impl Engine {
    /// Interval between fits of the speeds to the observed rates.
    const SPEED_FIT_INTERVAL_MS: u64 = 500;

    /// Spread of the speeds, as a logarithm, from which placement takes account of them.
    const MIN_SPREAD: f64 = 0.1;

    /// Spread below which placement ignores them again; lower, so that the estimate does not switch placement back and
    /// forth.
    const RESET_SPREAD: f64 = 0.07;

    /// Time over which the progress of a run shows its rate, as percentages are integers.
    const RATE_SPAN_MS: u64 = 1_200;

    /// Least progress in percent that shows a rate.
    const RATE_PERCENT: f64 = 5.0;

    /// Standard deviation of the logarithms of the run times of tasks of a step on equal workers.
    const TASK_DEVIATION: f64 = 0.3;

    /// Standard deviation of the logarithms of the rates of members of a gang on equal workers. Members are equal in size;
    /// reports arrive unevenly, and a worker may be disturbed for a moment.
    const MEMBER_DEVIATION: f64 = 0.1;

    /// Time that the start command and the report of the end add to a run.
    const COMMAND_AND_REPORT_MS: u64 = 20;

    /// Run time below which they hide its rate.
    const MIN_RUN_MS: u64 = 300;

    /// Standard deviation of the logarithm of the speed that a unit needs: its run time is a forecast.
    const NEED_DEVIATION: f64 = 0.15;

    /// Time from the decision to start a task until its worker begins it, and from its end until that is known.
    const START_AND_REPORT_MS: u64 = 150;

    /// Speed above which no worker is expected to be.
    const FASTEST: f64 = 2.5;

    /// Relative change of a worker's speed that is logged.
    const LOGGED_CHANGE: f64 = 0.2;

    /// Returns the speed of a worker relative to the mean of all.
    pub(super) fn speed_of(&self, worker: WorkerKey) -> Speed {
        self.speeds.model.estimate(worker)
    }

    /// Returns the speed of a worker as a factor; 1 while speeds do not differ.
    pub(super) fn speed_factor(&self, worker: WorkerKey) -> f64 {
        if self.speeds.is_uneven {
            self.speed_of(worker).factor()
        } else {
            1.0
        }
    }

    /// Returns the speed that determines when a run ends: that of its worker, or of the slowest worker of its gang.
    pub(super) fn completion_speed(&self, run: &Run) -> f64 {
        let own = self.speed_factor(run.worker);
        let is_gang = self.is_gang_member(run);
        let Some(state) = self.step_of(run).filter(|_| is_gang && self.speeds.is_uneven) else {
            return own;
        };
        let members = state.active.iter().flatten().filter_map(|key| self.runs.get(*key));
        members.fold(own, |slowest, member| slowest.min(self.speed_factor(member.worker)))
    }

    /// Takes note of the rate of a run once its progress shows it.
    pub(super) fn observe_rate(&mut self, key: RunKey, now_ms: u64) {
        let Some(run) = self.runs.get(key) else { return };
        // A run that stops or waits for its gang does not advance, and one that resumed jumps to its checkpoint.
        let is_advancing = run.state == RunState::Running && run.progress.percent < 100.0;
        let has_jumped = run.resumed && !run.is_adopted;
        if run.is_rate_observed || run.work_percent < 100 || !is_advancing || has_jumped {
            return;
        }
        let Some((percent, elapsed_ms)) = run.progress.since_first(now_ms) else {
            return;
        };
        if elapsed_ms < Self::RATE_SPAN_MS || percent < Self::RATE_PERCENT {
            return;
        }
        let Some((shape, unit)) = self.shape_of(run).zip(run.unit()) else {
            return;
        };
        if !shows_speed(shape) || self.remote_factor_of(run) > 1.0 {
            return;
        }
        let task_deviation = if shape.is_gang {
            Self::MEMBER_DEVIATION
        } else {
            Self::TASK_DEVIATION
        };
        let deviation = percent.recip().hypot(task_deviation);
        let rate = percent / elapsed_ms as f64;
        let worker = run.worker;
        self.runs[key].is_rate_observed = true;
        self.speeds.model.observe(unit, worker, rate, deviation);
    }

    /// Takes note of the run time of a completed run that ended before its progress showed a rate.
    pub(super) fn observe_run_time(&mut self, shape: &Step, run: &Run, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(run.start_sent_ms + Self::COMMAND_AND_REPORT_MS);
        let is_comparable = !run.is_rate_observed && !run.resumed && run.work_percent == 100 && !shape.is_gang;
        let Some(unit) = run.unit() else { return };
        let is_local = self.remote_factor_of(run) <= 1.0;
        if !is_comparable || !is_local || elapsed_ms < Self::MIN_RUN_MS || !shows_speed(shape) {
            return;
        }
        let rate = 100.0 / elapsed_ms as f64;
        self.speeds.model.observe(unit, run.worker, rate, Self::TASK_DEVIATION);
    }

    /// Updates the speeds from the rates observed since the last time.
    pub(super) fn fit_speeds(&mut self, now_ms: u64) {
        if now_ms < self.speeds.next_fit_ms {
            return;
        }
        self.speeds.next_fit_ms = now_ms + Self::SPEED_FIT_INTERVAL_MS;
        if !self.speeds.model.fit() {
            return;
        }
        let spread = self.speeds.model.spread();
        let limit = if self.speeds.is_uneven {
            Self::RESET_SPREAD
        } else {
            Self::MIN_SPREAD
        };
        let is_uneven = spread.is_some_and(|spread| spread >= limit);
        if is_uneven != self.speeds.is_uneven {
            self.speeds.is_uneven = is_uneven;
            self.log_lines.push(format!(
                "worker_speeds is_uneven={is_uneven} spread={:.2}",
                spread.unwrap_or(0.0)
            ));
        }
        self.log_speeds();
        self.note_speed_changes(now_ms);
    }

    fn log_speeds(&mut self) {
        let mut factors: Vec<f64> = Vec::new();
        for (key, speed) in self.speeds.model.estimates().filter(|(_, speed)| speed.is_reliable()) {
            let Some(worker) = self.workers.get(key) else { continue };
            let factor = speed.factor();
            factors.push(factor);
            let logged = self.speeds.logged.entry(key).or_insert(0.0);
            if (factor - *logged).abs() > *logged * Self::LOGGED_CHANGE {
                *logged = factor;
                self.log_lines.push(format!(
                    "worker_speed worker={} factor={factor:.2} deviation={:.2}",
                    worker.entry.id, speed.deviation
                ));
            }
        }
        factors.sort_unstable_by(f64::total_cmp);
        let percent = |factor: Option<&f64>| factor.map_or(0, |factor| (factor * 100.0) as u64);
        self.stats.known_speeds = factors.len() as u64;
        self.stats.lowest_speed_percent = percent(factors.first());
        self.stats.median_speed_percent = percent(factors.get(factors.len() / 2));
        self.stats.highest_speed_percent = percent(factors.last());
    }

    /// Forgets the speed of a worker whose process has ended.
    pub(super) fn forget_speed(&mut self, worker: WorkerKey) {
        self.speeds.model.forget(worker);
        self.speeds.logged.remove(&worker);
        self.speeds.rows.forget(worker);
    }

    /// Returns the speed that a unit needs to meet its objective, or its late limit if it cannot meet the objective.
    pub(super) fn speed_need(&self, unit: &PlacementUnit, spec: &Job, now_ms: u64) -> SpeedNeed {
        let serves_users = spec.steps[unit.step as usize].target_ms > 0;
        if !self.speeds.is_uneven || serves_users {
            return SpeedNeed::default();
        }
        let expected_ms = self.expected_ms(spec, unit.step);
        let need_until = |latest_start_ms: u64| {
            let left_ms = (latest_start_ms + expected_ms).saturating_sub(now_ms + Self::START_AND_REPORT_MS);
            expected_ms as f64 / left_ms.max(1) as f64
        };
        let objective_need = need_until(unit.latest_start_ms);
        // What runs until it is cancelled has no end to meet, and what is beyond its late limit has no value left.
        let is_late = objective_need > Self::FASTEST;
        let own = match (unit.is_lasting || unit.lateness > 1, is_late) {
            (true, _) => 0.0,
            (false, false) => objective_need,
            (false, true) => need_until(unit.late_start_ms),
        };
        if unit.priority == 0 && is_late {
            // Urgent work that is late takes any worker.
            return SpeedNeed { own, urgent: 0.0 };
        }
        SpeedNeed {
            own,
            urgent: self.speeds.urgent_need,
        }
    }

    /// Works out the speed that work of priority 0 needs to meet its objective if it starts at once.
    pub(super) fn update_urgent_need(&mut self) {
        let routes = self.config.routes.iter();
        let urgent = routes.filter(|route| route.priority == 0 && route.objective_factor > 0.0);
        self.speeds.urgent_need = urgent.map(|route| route.objective_factor.recip()).fold(0.0, f64::max);
    }

    /// Returns how well a worker suits a unit by its speed.
    pub(super) fn speed_rank(&self, worker: WorkerKey, need: SpeedNeed) -> SpeedRank {
        if !self.speeds.is_uneven {
            return SpeedRank::default();
        }
        let speed = self.speed_of(worker);
        let chance = |factor: f64| {
            if factor > 0.0 {
                speed.chance_of(factor, Self::NEED_DEVIATION)
            } else {
                1.0
            }
        };
        SpeedRank {
            miss: miss_class(chance(need.own)),
            urgent: if need.urgent > 0.0 {
                u8::MAX - miss_class(chance(need.urgent))
            } else {
                0
            },
        }
    }
}

/// Returns whether the rates of a step's tasks show the speed of their workers. Those of lasting tasks and of tasks in the
/// background depend on the load beside them.
const fn shows_speed(shape: &Step) -> bool {
    !shape.is_long_running && !shape.is_filler && shape.count > 1
}

/// Returns the class of a chance: 0 if the objective is nearly certain, 1 if it is open, 2 if it will be missed.
fn miss_class(chance: f64) -> u8 {
    /// Chance from which the objective counts as met.
    const SAFE: f64 = 0.9;
    /// Chance below which the objective counts as missed.
    const OPEN: f64 = 0.5;
    u8::from(chance < SAFE) + u8::from(chance < OPEN)
}
