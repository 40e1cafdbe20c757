use std::collections::{HashMap, VecDeque};
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
    /// Newest observations of each worker.
    observations: IndexMap<W, VecDeque<Observation<S>>>,
    /// Speeds known from elsewhere, which count beside the observations.
    known: IndexMap<W, Sums>,
    workers: IndexMap<W, Fitted>,
    /// Standard deviation of the logarithms of the speeds, estimated from the workers that were observed.
    prior_deviation: f64,
    is_outdated: bool,
}

/// Speed of a worker, and how much the observations show of it.
#[derive(Debug, Clone, Copy)]
struct Fitted {
    speed: Speed,
    information: f64,
}

/// Sums of weights and weighted values of a term.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    weight: f64,
    value: f64,
    /// Part of the weight that shows the worker and not the step.
    information: f64,
}

impl Sums {
    fn add(&mut self, weight: f64, value: f64) {
        self.weight += weight;
        self.value += weight * value;
    }
}

/// Observation of a worker in a step, both given by their indices in a fit.
#[derive(Debug, Clone, Copy)]
struct Indexed {
    worker: usize,
    step: usize,
    log_rate: f64,
    precision: f64,
}

impl<W: Copy + Eq + Hash, S: Copy + Eq + Hash> SpeedModel<W, S> {
    /// Observations kept of all workers, which bounds the time of a fit.
    const MAX_OBSERVATIONS: usize = 8_192;

    /// Bounds of the number of observations kept of one worker. Each worker keeps some, so that one that is rarely used
    /// does not become unknown.
    const OBSERVATIONS_PER_WORKER: (usize, usize) = (4, 16);

    /// Least deviation of an estimate, as speeds drift.
    const MIN_DEVIATION: f64 = 0.05;

    /// Residual, as a logarithm, at which an observation counts half: tasks that take many times the usual and passing
    /// slowdowns say little about a worker.
    const OUTLIER_RESIDUAL: f64 = 0.8;

    /// Share of the information about a worker below which its former estimate is kept, as the observations that it was
    /// compared with are no longer there.
    const LOST_SHARE: f64 = 0.5;

    /// Factor by which the deviation of an estimate grows when it is kept without its observations.
    const KEPT_DEVIATION_FACTOR: f64 = 1.1;

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
            observations: IndexMap::new(),
            known: IndexMap::new(),
            workers: IndexMap::new(),
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
        let (least, most) = Self::OBSERVATIONS_PER_WORKER;
        let kept = (Self::MAX_OBSERVATIONS / self.observations.len().max(1)).clamp(least, most);
        let observations = self.observations.entry(worker).or_default();
        while observations.len() >= kept {
            observations.pop_front();
        }
        observations.push_back(Observation {
            step,
            log_rate: percent_per_ms.ln(),
            precision: deviation.powi(2).recip(),
        });
        self.is_outdated = true;
    }

    /// Adds the speed of a worker that was estimated elsewhere. Deviations that are not positive are ignored.
    pub fn import(&mut self, worker: W, speed: Speed) {
        let is_valid = speed.deviation > 0.0 && speed.log_factor.is_finite();
        if !is_valid {
            return;
        }
        self.keep(worker, speed);
        self.is_outdated = true;
    }

    /// Keeps an estimate without the observations behind it.
    fn keep(&mut self, worker: W, speed: Speed) {
        // The estimate contains a prior already, and each fit adds one.
        let posterior = speed.deviation.powi(2).recip();
        let prior = Speed::PRIOR_DEVIATION.powi(2).recip();
        let information = (posterior - prior).max(posterior / 10.0);
        let sums = Sums {
            weight: information,
            value: posterior * speed.log_factor,
            information,
        };
        self.known.insert(worker, sums);
        self.workers.insert(worker, Fitted { speed, information });
    }

    /// Forgets a worker.
    pub fn forget(&mut self, worker: W) {
        self.workers.swap_remove(&worker);
        self.known.swap_remove(&worker);
        self.is_outdated |= self.observations.swap_remove(&worker).is_some();
    }

    /// Returns the speed of a worker as of the last fit.
    pub fn estimate(&self, worker: W) -> Speed {
        self.workers.get(&worker).map_or(
            Speed {
                log_factor: 0.0,
                deviation: self.prior_deviation,
            },
            |fitted| fitted.speed,
        )
    }

    /// Returns the speeds of all workers with observations or imported speeds.
    pub fn estimates(&self) -> impl Iterator<Item = (W, Speed)> + '_ {
        self.workers.iter().map(|(worker, fitted)| (*worker, fitted.speed))
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
        let keys: Vec<W> = self.observations.keys().chain(self.known.keys()).copied().collect();
        let keys: IndexMap<W, Sums> = keys
            .into_iter()
            .map(|worker| (worker, self.known.get(&worker).copied().unwrap_or_default()))
            .collect();
        let (observations, step_count) = self.indexed();
        let mut factors: Vec<f64> = keys.keys().map(|worker| self.estimate(*worker).log_factor).collect();
        let mut rates: Vec<Option<f64>> = vec![None; step_count];
        let mut sums: Vec<Sums> = Vec::new();
        for _ in 0..Self::PASSES {
            rates = Self::fit_steps(&observations, &factors, &rates);
            sums = keys.values().copied().collect();
            Self::fit_workers(&observations, &factors, &rates, &mut sums);
            self.fit_spread(&sums);
            let prior = self.prior_deviation.powi(2).recip();
            factors = sums.iter().map(|sums| sums.value / (sums.weight + prior)).collect();
            // A shift of all workers cannot be told from a shift of all steps.
            let mean = factors.iter().sum::<f64>() / factors.len().max(1) as f64;
            if factors.len() >= Self::MIN_WORKERS {
                for factor in &mut factors {
                    *factor -= mean;
                }
            }
        }
        let prior = self.prior_deviation.powi(2).recip();
        let fitted = factors.iter().zip(&sums).map(|(log_factor, sums)| Fitted {
            speed: Speed {
                log_factor: *log_factor,
                deviation: (sums.information + prior).sqrt().recip().max(Self::MIN_DEVIATION),
            },
            information: sums.information,
        });
        let fitted: IndexMap<W, Fitted> = keys.keys().copied().zip(fitted).collect();
        let former = std::mem::replace(&mut self.workers, fitted);
        self.keep_lost(&former);
        true
    }

    /// Keeps the former estimates of workers about which the observations show much less than before.
    fn keep_lost(&mut self, former: &IndexMap<W, Fitted>) {
        for (worker, former) in former.iter().filter(|(_, former)| former.speed.is_reliable()) {
            let now = self.workers.get(worker).map(|now| now.information);
            if now.is_some_and(|now| now < former.information * Self::LOST_SHARE) {
                self.observations.swap_remove(worker);
                let kept = Speed {
                    deviation: former.speed.deviation * Self::KEPT_DEVIATION_FACTOR,
                    ..former.speed
                };
                self.keep(*worker, kept);
            }
        }
    }

    /// Returns all observations with indices of workers and steps, and the number of steps.
    fn indexed(&self) -> (Vec<Indexed>, usize) {
        let mut steps: HashMap<S, usize> = HashMap::new();
        let mut indexed = Vec::with_capacity(self.observations.values().map(VecDeque::len).sum());
        for (worker, observations) in self.observations.values().enumerate() {
            for observation in observations {
                let next = steps.len();
                indexed.push(Indexed {
                    worker,
                    step: *steps.entry(observation.step).or_insert(next),
                    log_rate: observation.log_rate,
                    precision: observation.precision,
                });
            }
        }
        (indexed, steps.len())
    }

    /// Returns the weight of an observation with a residual.
    fn weight(residual: f64) -> f64 {
        1.0 / (1.0 + (residual / Self::OUTLIER_RESIDUAL).powi(2))
    }

    fn fit_steps(observations: &[Indexed], factors: &[f64], rates: &[Option<f64>]) -> Vec<Option<f64>> {
        let mut sums = vec![Sums::default(); rates.len()];
        for observation in observations {
            let value = observation.log_rate - factors[observation.worker];
            let weight = rates[observation.step].map_or(1.0, |rate| Self::weight(value - rate));
            sums[observation.step].add(observation.precision * weight, value);
        }
        sums.iter()
            .map(|sums| (sums.weight > 0.0).then(|| sums.value / sums.weight))
            .collect()
    }

    /// Adds what the observations show of the workers.
    fn fit_workers(observations: &[Indexed], factors: &[f64], rates: &[Option<f64>], sums: &mut [Sums]) {
        let mut in_step = vec![0.0; rates.len()];
        let mut cells: HashMap<(usize, usize), Sums> = HashMap::with_capacity(observations.len());
        for observation in observations {
            let Some(rate) = rates[observation.step] else { continue };
            let value = observation.log_rate - rate;
            let weight = observation.precision * Self::weight(value - factors[observation.worker]);
            in_step[observation.step] += weight;
            cells
                .entry((observation.step, observation.worker))
                .or_default()
                .add(weight, value);
        }
        for ((step, worker), cell) in cells {
            // The rate of a step that ran on this worker alone says nothing about the worker.
            let others = 1.0 - cell.weight / in_step[step];
            if others > 1e-9 {
                sums[worker].add(cell.weight, cell.value / cell.weight);
                sums[worker].information += cell.weight * others;
            }
        }
    }

    /// Estimates the variance of the speeds as that of the observed means less the part that the differences between
    /// tasks explain.
    fn fit_spread(&mut self, sums: &[Sums]) {
        let observed = || sums.iter().filter(|sums| sums.weight > 0.0 && sums.information > 0.0);
        if observed().count() < Self::MIN_WORKERS {
            return;
        }
        let weight = |sums: &Sums| sums.information;
        let square = |sums: &Sums| (sums.value / sums.weight).powi(2) * weight(sums) - 1.0;
        let variance = observed().map(square).sum::<f64>() / observed().map(weight).sum::<f64>();
        let (least, most) = Self::SPREAD_BOUNDS;
        self.prior_deviation = variance.max(0.0).sqrt().clamp(least, most);
    }
}

impl<W: Copy + Eq + Hash, S: Copy + Eq + Hash> Default for SpeedModel<W, S> {
    fn default() -> Self {
        Self::new()
    }
}
