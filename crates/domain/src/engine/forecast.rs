use super::{Engine, Run};
use crate::{Job, Step};

/// Forecast of run times of a step of a route, learnt from ends.
///
/// Declared run times are rough, by other amounts on each route. A regression of the logarithm of real on declared run
/// times shows both how biased they are and how far they can be trusted.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Forecast {
    observations: f64,
    /// Means and moments of the logarithms of run times in milliseconds.
    mean_declared: f64,
    mean_real: f64,
    variance_declared: f64,
    covariance: f64,
    /// Mean distance of real run times from the forecast, as a logarithm.
    spread: f64,
}

impl Forecast {
    /// Observations after which older ones begin to be forgotten.
    const MEMORY: f64 = 40.0;

    /// Observations that declared run times are worth before any end was seen.
    const TRUST: f64 = 4.0;

    /// Variance of declared run times, as logarithms, that this trust stands for: a factor of 1.5.
    const TRUST_VARIANCE: f64 = 0.16;

    /// Observations after which the forecast may be used to judge workers.
    const ENOUGH: f64 = 6.0;

    /// Spread up to which it may be used so.
    const NARROW: f64 = 0.3;

    /// Largest distance of one observation, as a logarithm; slow workers and faults must not dominate.
    const MOST_DISTANCE: f64 = 1.5;

    /// Learns from one task.
    pub fn learn(&mut self, declared_ms: u64, real_ms: u64) {
        let declared = ln(declared_ms);
        let expected = self.log_of(declared);
        let distance = (ln(real_ms) - expected).clamp(-Self::MOST_DISTANCE, Self::MOST_DISTANCE);
        let real = expected + distance;
        self.observations = (self.observations + 1.0).min(Self::MEMORY);
        let rate = 1.0 / self.observations;
        let (off_declared, off_real) = (declared - self.mean_declared, real - self.mean_real);
        self.mean_declared += rate * off_declared;
        self.mean_real += rate * off_real;
        self.variance_declared += rate * (off_declared * off_declared * (1.0 - rate) - self.variance_declared);
        self.covariance += rate * (off_declared * off_real * (1.0 - rate) - self.covariance);
        self.spread += rate * (distance.abs() - self.spread);
    }

    /// Returns the expected run time in milliseconds.
    pub fn expected_ms(&self, declared_ms: u64) -> f64 {
        self.log_of(ln(declared_ms)).exp()
    }

    /// Returns whether the forecast is close enough to tell slow work from sound work.
    pub fn is_reliable(&self) -> bool {
        self.observations >= Self::ENOUGH && self.spread < Self::NARROW
    }

    fn log_of(&self, declared: f64) -> f64 {
        let trust = Self::TRUST * Self::TRUST_VARIANCE;
        let slope =
            (self.observations * self.covariance + trust) / (self.observations * self.variance_declared + trust);
        let learnt = self.mean_real + slope.clamp(0.0, 1.0) * (declared - self.mean_declared);
        // The first observations move the forecast by half, two thirds and so on.
        let weight = self.observations / (self.observations + 1.0);
        weight * learnt + (1.0 - weight) * declared
    }
}

fn ln(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}

/// Expected run times.
impl Engine {
    /// Learns from the run time of a task that is done.
    pub(super) fn learn(&mut self, spec: &Job, step: u32, run: &Run, now_ms: u64) {
        let declared_ms = spec.steps[step as usize].estimate_ms;
        // Work away from its data or resumed from a checkpoint says nothing about the estimate.
        if declared_ms == 0 || run.resumed || self.remote_factor_of(run) > 1.0 {
            return;
        }
        let real_ms = now_ms.saturating_sub(run.ordered_ms);
        self.forecasts
            .entry((spec.route.clone(), step))
            .or_default()
            .learn(declared_ms, real_ms);
    }

    /// Returns the expected run time of a task of a step.
    pub(super) fn expected_ms(&self, spec: &Job, step: u32) -> u64 {
        let declared_ms = spec.steps[step as usize].estimate_ms;
        if declared_ms == 0 {
            return 0;
        }
        self.forecasts
            .get(&(spec.route.clone(), step))
            .map_or(declared_ms, |forecast| forecast.expected_ms(declared_ms) as u64)
    }

    /// Returns the expected work of the idle or running tasks of a step, in core-milliseconds.
    pub(super) fn expected_work(&self, spec: &Job, step: u32) -> u64 {
        let shape: &Step = &spec.steps[step as usize];
        u64::from(shape.count) * shape.need.weight_milli() * self.expected_ms(spec, step) / 1_000
    }

    /// Returns the expected time from the start of each step to the end of the job on free workers.
    pub(super) fn expected_chains(&self, spec: &Job) -> smallvec::SmallVec<[u64; 4]> {
        let mut chains = smallvec::smallvec![0; spec.steps.len()];
        for step in (0..spec.steps.len()).rev() {
            let after = (step + 1..spec.steps.len())
                .filter(|later| spec.steps[*later].after.contains(&(step as u32)))
                .map(|later| chains[later])
                .max();
            chains[step] = self.expected_ms(spec, step as u32) + after.unwrap_or(0);
        }
        chains
    }

    /// Returns the time from acceptance to completion that the route aims at, for a job with these chains.
    pub(super) fn objective_ms(spec: &Job, chains: &[u64]) -> u64 {
        let longest_ms = chains.iter().copied().max().unwrap_or(0);
        (spec.objective_factor * longest_ms as f64) as u64 + spec.objective_ms
    }

    /// Returns the normal rate of a step in percent per millisecond, if its forecast is close.
    pub(super) fn estimated_rate(&self, spec: &Job, step: u32) -> Option<f64> {
        let forecast = self.forecasts.get(&(spec.route.clone(), step))?;
        let expected_ms = forecast.expected_ms(spec.steps[step as usize].estimate_ms);
        (forecast.is_reliable() && expected_ms > 0.0).then(|| 100.0 / expected_ms)
    }
}
