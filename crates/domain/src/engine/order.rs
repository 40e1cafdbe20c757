use compact_str::CompactString;

use super::keys::JobKey;
use super::{Engine, Run};
use crate::{Job, Step};

/// Factor between declared and real run times, learnt from ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct Correction {
    factor: f64,
    /// Mean distance of observations from the factor, as a share of it.
    spread: f64,
    observations: u32,
}

impl Correction {
    /// Observations after which a correction may be trusted.
    const ENOUGH: u32 = 6;

    /// Spread up to which corrected estimates tell slow work from sound work.
    const NARROW: f64 = 0.3;

    /// Returns whether corrected estimates are close to real run times.
    pub fn is_reliable(&self) -> bool {
        self.observations >= Self::ENOUGH && self.spread < Self::NARROW
    }
}

/// Tasks of a step that wait for workers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unit {
    pub job: JobKey,
    pub occurrence: u32,
    pub step: u32,
    pub priority: u32,
    /// 0 can meet its objective, 1 can be late, 2 is beyond.
    pub lateness: u8,
    /// Latest start that meets the objective.
    pub latest_start_ms: u64,
    pub due_ms: u64,
}

/// Step of an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct UnitKey {
    job: JobKey,
    occurrence: u32,
    step: u32,
}

impl UnitKey {
    pub const fn new(job: JobKey, occurrence: u32, step: u32) -> Self {
        Self { job, occurrence, step }
    }

    pub const fn job(self) -> JobKey {
        self.job
    }
}

impl Unit {
    pub const fn key(&self) -> UnitKey {
        UnitKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// Order of waiting work.
impl Engine {
    /// Weight of the newest observation in a correction.
    const LEARNING_RATE: f64 = 0.2;

    /// Multiple of the objective up to which a late job is worth something.
    const LATE_FACTOR: u64 = 3;

    /// Learns from the run time of a task that is done.
    pub(super) fn learn(&mut self, route: &CompactString, step: u32, shape: &Step, run: &Run, now_ms: u64) {
        // Work away from its data or resumed from a checkpoint says nothing about the estimate.
        if shape.estimate_ms == 0 || run.resumed || self.remote_factor_of(run) > 1.0 {
            return;
        }
        let ratio = now_ms.saturating_sub(run.ordered_ms) as f64 / shape.estimate_ms as f64;
        let correction = self.corrections.entry((route.clone(), step)).or_insert(Correction {
            factor: 1.0,
            spread: 1.0,
            observations: 0,
        });
        let ratio = ratio.clamp(0.1, 10.0);
        let distance = (ratio - correction.factor).abs() / correction.factor;
        // The first observations count more, so that a wrong start is soon forgotten.
        correction.observations = correction.observations.saturating_add(1);
        let rate = Self::LEARNING_RATE.max(1.0 / f64::from(correction.observations));
        correction.factor += (ratio - correction.factor) * rate;
        correction.spread += (distance - correction.spread) * rate;
    }

    /// Returns the expected run time of a task of a step.
    pub(super) fn expected_ms(&self, spec: &Job, step: u32) -> u64 {
        let factor = self
            .corrections
            .get(&(spec.route.clone(), step))
            .map_or(1.0, |correction| correction.factor);
        (spec.steps[step as usize].estimate_ms as f64 * factor) as u64
    }

    /// Returns the normal rate of a step in percent per millisecond, if its estimates are known to be close.
    pub(super) fn estimated_rate(&self, spec: &Job, step: u32) -> Option<f64> {
        let correction = self.corrections.get(&(spec.route.clone(), step))?;
        let expected_ms = spec.steps[step as usize].estimate_ms as f64 * correction.factor;
        (correction.is_reliable() && expected_ms > 0.0).then(|| 100.0 / expected_ms)
    }

    /// Returns the steps that can start now, in the order in which they are served.
    pub(super) fn ready_units(&mut self, now_ms: u64) -> Vec<Unit> {
        let mut units = Vec::new();
        for (key, job) in &self.jobs {
            if job.is_final() || self.may_run_unseen(job, now_ms) {
                continue;
            }
            let objective_ms = job.spec.objective_total_ms();
            for (number, occurrence) in &job.occurrences {
                for (step, state) in occurrence.steps.iter().enumerate() {
                    let shape = &job.spec.steps[step];
                    let is_whole = !shape.is_gang || (state.active_count == 0 && !state.is_gang_ending);
                    if state.idle_count() == 0 || !is_whole || now_ms < state.not_before_ms {
                        continue;
                    }
                    let is_ready = shape.after.iter().all(|earlier| {
                        occurrence
                            .steps
                            .get(*earlier as usize)
                            .is_some_and(super::StepState::is_done)
                    });
                    if !is_ready {
                        continue;
                    }
                    let chain_ms = job.spec.chain_from(step);
                    let deadline_ms = occurrence.due_ms + objective_ms;
                    let lateness = if now_ms + chain_ms <= deadline_ms {
                        0
                    } else if now_ms + chain_ms <= occurrence.due_ms + objective_ms * Self::LATE_FACTOR {
                        1
                    } else {
                        2
                    };
                    units.push(Unit {
                        job: key,
                        occurrence: *number,
                        step: step as u32,
                        priority: job.spec.priority,
                        lateness,
                        latest_start_ms: deadline_ms.saturating_sub(chain_ms),
                        due_ms: occurrence.due_ms,
                    });
                }
            }
        }
        units.sort_by_key(|unit| {
            (
                unit.priority,
                unit.lateness,
                unit.latest_start_ms,
                unit.due_ms,
                unit.step,
            )
        });
        for unit in &units {
            if let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) {
                state.ready_since_ms.get_or_insert(now_ms);
            }
        }
        units
    }
}
