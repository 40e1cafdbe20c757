use std::collections::VecDeque;
use std::hash::Hash;

use indexmap::IndexMap;

use crate::Speed;
use crate::observation::Observation;

/// Speeds of workers, fitted to the rates of tasks of the same step on different workers.
///
/// The logarithm of a rate is the sum of one term for the step, one for the worker, and the difference between tasks of
/// the step. The terms of the workers are small unless observations show otherwise (ridge regression), so that a worker
/// with few observations stays near the mean.
#[derive(Debug, Clone)]
pub struct SpeedModel<W, S> {
    observations: VecDeque<Observation<W, S>>,
    workers: IndexMap<W, Speed>,
    /// Speeds known from elsewhere, which count beside the observations.
    known: IndexMap<W, Speed>,
    steps: IndexMap<S, f64>,
    /// Standard deviation of the logarithms of the speeds, estimated from the workers that were observed.
    prior_deviation: f64,
    is_outdated: bool,
}

/// Sums of weights and weighted values of a term.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    weight: f64,
    value: f64,
}

impl Sums {
    fn add(&mut self, weight: f64, value: f64) {
        self.weight += weight;
        self.value += weight * value;
    }
}

impl<W: Copy + Eq + Hash, S: Copy + Eq + Hash> SpeedModel<W, S> {
    /// Observations kept; older ones are dropped, which bounds memory and the time of a fit.
    const MAX_OBSERVATIONS: usize = 4_096;

    /// Least deviation of an estimate, as speeds drift.
    const MIN_DEVIATION: f64 = 0.05;

    /// Residual, as a logarithm, at which an observation counts half: tasks that take many times the usual and passing
    /// slowdowns say little about a worker.
    const OUTLIER_RESIDUAL: f64 = 0.8;

    /// Passes over all observations in one fit, which continues from the last one.
    const PASSES: usize = 6;

    /// Workers that must have been observed before the spread of their speeds is estimated.
    const MIN_WORKERS: usize = 8;

    /// Bounds of the estimated spread: speeds that hardly differ must not make new workers appear certain, and a few
    /// outliers must not make all estimates worthless.
    const SPREAD_BOUNDS: (f64, f64) = (0.05, 0.6);

    /// Creates a model without observations.
    pub fn new() -> Self {
        Self {
            observations: VecDeque::new(),
            workers: IndexMap::new(),
            known: IndexMap::new(),
            steps: IndexMap::new(),
            prior_deviation: Speed::PRIOR_DEVIATION,
            is_outdated: false,
        }
    }

    /// Adds the mean rate of a run. `deviation` is the standard deviation of the logarithms of the rates of such tasks on
    /// workers of the same speed. Rates and deviations that are not positive are ignored.
    pub fn observe(&mut self, step: S, worker: W, percent_per_ms: f64, deviation: f64) {
        let is_positive = percent_per_ms > 0.0 && deviation > 0.0;
        if !is_positive {
            return;
        }
        if self.observations.len() >= Self::MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
        self.observations.push_back(Observation {
            step,
            worker,
            log_rate: percent_per_ms.ln(),
            precision: deviation.powi(2).recip(),
        });
        self.is_outdated = true;
    }

    /// Adds the speed of a worker that was estimated elsewhere.
    pub fn import(&mut self, worker: W, speed: Speed) {
        self.known.insert(worker, speed);
        self.workers.insert(worker, speed);
        self.is_outdated = true;
    }

    /// Forgets a worker.
    pub fn forget(&mut self, worker: W) {
        self.workers.swap_remove(&worker);
        self.known.swap_remove(&worker);
        self.observations.retain(|observation| observation.worker != worker);
    }

    /// Returns the speed of a worker as of the last fit.
    pub fn estimate(&self, worker: W) -> Speed {
        self.workers.get(&worker).copied().unwrap_or(Speed {
            log_factor: 0.0,
            deviation: self.prior_deviation,
        })
    }

    /// Returns the speeds of all workers with observations or imported speeds.
    pub fn estimates(&self) -> impl Iterator<Item = (W, Speed)> + '_ {
        self.workers.iter().map(|(worker, speed)| (*worker, *speed))
    }

    /// Returns the standard deviation of the logarithms of the speeds of all workers, as estimated by the last fit;
    /// `None` until enough workers were observed.
    pub fn spread(&self) -> Option<f64> {
        (self.workers.len() >= Self::MIN_WORKERS).then_some(self.prior_deviation)
    }

    /// Updates all estimates; returns whether there was anything new.
    pub fn fit(&mut self) -> bool {
        if !std::mem::take(&mut self.is_outdated) {
            return false;
        }
        for _ in 0..Self::PASSES {
            self.fit_steps();
            self.fit_workers();
        }
        true
    }

    fn log_factor(&self, worker: W) -> f64 {
        self.workers.get(&worker).map_or(0.0, |speed| speed.log_factor)
    }

    /// Returns the weight of an observation with a residual.
    fn weight(residual: f64) -> f64 {
        1.0 / (1.0 + (residual / Self::OUTLIER_RESIDUAL).powi(2))
    }

    fn fit_steps(&mut self) {
        let mut sums: IndexMap<S, Sums> = IndexMap::with_capacity(self.steps.len());
        for observation in &self.observations {
            let value = observation.log_rate - self.log_factor(observation.worker);
            let rate = self.steps.get(&observation.step);
            let weight = observation.precision * rate.map_or(1.0, |rate| Self::weight(value - rate));
            sums.entry(observation.step).or_default().add(weight, value);
        }
        self.steps = sums
            .into_iter()
            .map(|(step, sums)| (step, sums.value / sums.weight))
            .collect();
    }

    fn fit_workers(&mut self) {
        let mut in_step: IndexMap<S, f64> = IndexMap::with_capacity(self.steps.len());
        let mut in_both: IndexMap<(S, W), Sums> = IndexMap::with_capacity(self.observations.len());
        for observation in &self.observations {
            let value = observation.log_rate - self.steps[&observation.step];
            let weight = observation.precision * Self::weight(value - self.log_factor(observation.worker));
            *in_step.entry(observation.step).or_default() += weight;
            in_both
                .entry((observation.step, observation.worker))
                .or_default()
                .add(weight, value);
        }
        let mut sums: IndexMap<W, Sums> = IndexMap::with_capacity(self.workers.len());
        for ((step, worker), cell) in in_both {
            // The rate of a step that ran on this worker alone says nothing about the worker.
            let others = 1.0 - cell.weight / in_step[&step];
            let weight = cell.weight * others;
            if weight > 0.0 {
                sums.entry(worker).or_default().add(weight, cell.value / cell.weight);
            }
        }
        let former_prior = self.prior_deviation.powi(2).recip();
        for (worker, speed) in &self.known {
            // The estimate contains a prior already, which is added to all workers below.
            let posterior = speed.deviation.powi(2).recip();
            let entry = sums.entry(*worker).or_default();
            entry.weight += (posterior - former_prior).max(0.0);
            entry.value += posterior * speed.log_factor;
        }
        self.fit_spread(sums.values());
        let prior = self.prior_deviation.powi(2).recip();
        self.workers = sums
            .into_iter()
            .map(|(worker, sums)| {
                let weight = sums.weight + prior;
                let speed = Speed {
                    log_factor: sums.value / weight,
                    deviation: weight.sqrt().recip().max(Self::MIN_DEVIATION),
                };
                (worker, speed)
            })
            .collect();
    }

    /// Estimates the variance of the speeds as that of the observed means less the part that the differences between
    /// tasks explain.
    fn fit_spread<'a>(&mut self, sums: impl Iterator<Item = &'a Sums> + Clone) {
        if sums.clone().count() < Self::MIN_WORKERS {
            return;
        }
        let squares = sums.clone().map(|sums| sums.value * sums.value / sums.weight - 1.0);
        let weights: f64 = sums.map(|sums| sums.weight).sum();
        let variance = squares.sum::<f64>() / weights;
        let (least, most) = Self::SPREAD_BOUNDS;
        self.prior_deviation = variance.max(0.0).sqrt().clamp(least, most);
    }
}

impl<W: Copy + Eq + Hash, S: Copy + Eq + Hash> Default for SpeedModel<W, S> {
    fn default() -> Self {
        Self::new()
    }
}
