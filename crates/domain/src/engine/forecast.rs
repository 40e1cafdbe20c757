use super::{Engine, Run};
use crate::{Job, Step};

/// Forecast of the run times of a step of a queue's jobs, learnt from completed tasks.
///
/// Declared run times are inaccurate to a different degree on each queue. A regression of the logarithm of real on
/// declared run times estimates both their bias and their reliability.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Forecast {
    observations: f64,
    /// Means and moments of the logarithms of run times in milliseconds.
    mean_declared: f64,
    mean_real: f64,
    variance_declared: f64,
    covariance: f64,
    /// Mean absolute residual of the forecast, as a logarithm.
    spread: f64,
}

impl Forecast {
    /// Number of observations after which older ones lose weight.
    const MAX_OBSERVATIONS: f64 = 40.0;

    /// Weight of the prior that real run times equal declared ones, in observations.
    const PRIOR_OBSERVATIONS: f64 = 4.0;

    /// Variance of the logarithms of declared run times that the prior assumes: a factor of 1.5.
    const PRIOR_VARIANCE: f64 = 0.16;

    /// Number of observations from which the forecast may be used to assess workers.
    const RELIABLE_OBSERVATIONS: f64 = 6.0;

    /// Spread below which the forecast may be used to assess workers.
    const RELIABLE_SPREAD: f64 = 0.3;

    /// Largest residual of one observation, as a logarithm; limits the influence of slow workers and faults.
    const MAX_RESIDUAL: f64 = 1.5;

    /// Updates the forecast with the run time of one task.
    pub fn learn(&mut self, declared_ms: u64, real_ms: u64) {
        let declared = ln(declared_ms);
        let expected = self.predict_log(declared);
        let residual = (ln(real_ms) - expected).clamp(-Self::MAX_RESIDUAL, Self::MAX_RESIDUAL);
        let real = expected + residual;
        self.observations = (self.observations + 1.0).min(Self::MAX_OBSERVATIONS);
        let rate = 1.0 / self.observations;
        let (declared_deviation, real_deviation) = (declared - self.mean_declared, real - self.mean_real);
        self.mean_declared += rate * declared_deviation;
        self.mean_real += rate * real_deviation;
        self.variance_declared +=
            rate * (declared_deviation * declared_deviation * (1.0 - rate) - self.variance_declared);
        self.covariance += rate * (declared_deviation * real_deviation * (1.0 - rate) - self.covariance);
        self.spread += rate * (residual.abs() - self.spread);
    }

    /// Returns the expected run time in milliseconds.
    pub fn expected_ms(&self, declared_ms: u64) -> f64 {
        self.predict_log(ln(declared_ms)).exp()
    }

    /// Returns whether the forecast is accurate enough to tell slow runs from normal ones.
    pub fn is_reliable(&self) -> bool {
        self.observations >= Self::RELIABLE_OBSERVATIONS && self.spread < Self::RELIABLE_SPREAD
    }

    fn predict_log(&self, declared: f64) -> f64 {
        let prior = Self::PRIOR_OBSERVATIONS * Self::PRIOR_VARIANCE;
        let slope =
            (self.observations * self.covariance + prior) / (self.observations * self.variance_declared + prior);
        let fitted = self.mean_real + slope.clamp(0.0, 1.0) * (declared - self.mean_declared);
        // The weight of the fit rises with the number of observations: one half, two thirds and so on.
        let weight = self.observations / (self.observations + 1.0);
        weight * fitted + (1.0 - weight) * declared
    }
}

fn ln(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}

/// Expected run times.
impl Engine {
    /// Updates the forecast of a step with the run time of a completed task.
    pub(super) fn learn(&mut self, spec: &Job, step: u32, run: &Run, now_ms: u64) {
        let declared_ms = spec.steps[step as usize].estimate_ms;
        // Remote runs and runs resumed from a checkpoint are not comparable with the estimate.
        if declared_ms == 0 || run.resumed || self.remote_factor_of(run) > 1.0 {
            return;
        }
        let elapsed_ms = now_ms.saturating_sub(run.start_sent_ms);
        let real_ms = (elapsed_ms as f64 * self.completion_speed(run)) as u64;
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

    /// Returns the expected work of a number of tasks of a step, in core-milliseconds.
    pub(super) fn expected_work(&self, spec: &Job, step: u32, tasks: u64) -> u64 {
        let shape: &Step = &spec.steps[step as usize];
        tasks * shape.need.weight_milli() * self.expected_ms(spec, step) / 1_000
    }

    /// Returns the expected time from the start of each step to the end of the job, without waiting for workers. A step that
    /// is too wide to run at once takes the time of its waves.
    pub(super) fn critical_paths_ms(&self, spec: &Job) -> smallvec::SmallVec<[u64; 4]> {
        let mut critical_paths = smallvec::smallvec![0; spec.steps.len()];
        for step in (0..spec.steps.len()).rev() {
            let after = (step + 1..spec.steps.len())
                .filter(|later| spec.steps[*later].after.contains(&(step as u32)))
                .map(|later| critical_paths[later])
                .max();
            let own_ms = self
                .expected_ms(spec, step as u32)
                .saturating_mul(self.waves_of(spec, step));
            critical_paths[step] = own_ms + after.unwrap_or(0);
        }
        critical_paths
    }

    /// Returns the completion objective of a job, counted from its acceptance, for these critical paths.
    pub(super) fn objective_ms(spec: &Job, critical_paths: &[u64]) -> u64 {
        let longest_ms = critical_paths.iter().copied().max().unwrap_or(0);
        (spec.objective_factor * longest_ms as f64) as u64 + spec.objective_ms
    }

    /// Returns the normal rate of a step in percent per millisecond, if its forecast is reliable.
    pub(super) fn estimated_rate(&self, spec: &Job, step: u32) -> Option<f64> {
        let forecast = self.forecasts.get(&(spec.route.clone(), step))?;
        let expected_ms = forecast.expected_ms(spec.steps[step as usize].estimate_ms);
        (forecast.is_reliable() && expected_ms > 0.0).then(|| 100.0 / expected_ms)
    }
}
