use model::{Adjacency, Class, Config, JobSpec, Shape, Topology};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::index};
use rand_distr::{Distribution, Exp, LogNormal, Pareto};

use crate::{Arrival, Deployment, Incident, JobKind, Workload};

/// Arrivals and incidents of one run, determined by deployment and seed.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Deployment.
    pub deployment: Deployment,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Parameters.
    pub workload: Workload,
    /// Workers.
    pub topology: Topology,
    /// Configuration at the start.
    pub config: Config,
    /// Jobs in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Incidents in order of time.
    pub incidents: Vec<(u64, Incident)>,
}

/// Factors from actual to declared run time, with the share of jobs that each applies to.
const DECLARED_FACTORS: [(f64, f64); 5] = [(0.1, 0.1), (0.5, 0.2), (1.0, 0.4), (2.0, 0.2), (10.0, 0.1)];
/// Additional factor for the second organisation, so that its declared run times have a bias of their own.
const BIASED_FACTOR: f64 = 4.0;
const BIASED_ORGANISATION: usize = 1;

impl Scenario {
    /// Creates the arrivals and incidents of a deployment.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let workload = deployment.workload();
        let topology = deployment.topology();
        let mut builder = ScenarioBuilder {
            rng: StdRng::seed_from_u64(seed),
            config: deployment.config(),
            traffic: deployment.traffic(),
            burst_times_ms: Vec::new(),
            arrivals: Vec::new(),
            workload,
        };
        let accelerators: f64 = topology.workers().map(|w| f64::from(w.capacity.accelerators)).sum();
        builder.burst_times_ms = (0..builder.workload.bursts).map(|_| builder.random_time_ms()).collect();
        builder.add_deferred(JobKind::Narrow, accelerators * builder.workload.narrow_load);
        builder.add_deferred(JobKind::Wide, accelerators * builder.workload.wide_load);
        builder.add_urgent();
        builder.add_guarantee_waves();
        builder.add_cancellations();
        let incidents = builder.incidents(topology.workers().count());
        let mut arrivals = builder.arrivals;
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        Self {
            deployment,
            seed,
            workload: builder.workload,
            topology,
            config: builder.config,
            arrivals,
            incidents,
        }
    }
}

/// Random number generator and the arrivals generated so far.
struct ScenarioBuilder {
    rng: StdRng,
    config: Config,
    traffic: Vec<f64>,
    burst_times_ms: Vec<u64>,
    arrivals: Vec<Arrival>,
    workload: Workload,
}

impl ScenarioBuilder {
    fn random_time_ms(&mut self) -> u64 {
        self.rng.random_range(0..self.workload.horizon_ms)
    }

    fn pick<T: Copy>(&mut self, weighted: &[(T, f64)]) -> T {
        let sum: f64 = weighted.iter().map(|entry| entry.1).sum();
        let mut left = self.rng.random::<f64>() * sum;
        for (value, weight) in weighted {
            left -= weight;
            if left <= 0.0 {
                return *value;
            }
        }
        weighted[weighted.len() - 1].0
    }

    fn sample_run_ms(&mut self, kind: JobKind) -> f64 {
        let w = &self.workload;
        let (value, max) = if kind == JobKind::Wide {
            let distribution = Pareto::new(w.wide_min_ms, w.wide_alpha).expect("parameters are positive");
            (distribution.sample(&mut self.rng), w.wide_max_ms)
        } else {
            let distribution = LogNormal::new(w.narrow_median_ms.ln(), w.narrow_sigma).expect("parameters are finite");
            (distribution.sample(&mut self.rng), w.narrow_max_ms)
        };
        value.clamp(100.0, max)
    }

    fn sample_shape(&mut self, kind: JobKind) -> Shape {
        let shapes = match kind {
            JobKind::Wide => self.workload.wide_shapes.clone(),
            _ => self.workload.narrow_shapes.clone(),
        };
        self.pick(&shapes)
    }

    /// Adds enough jobs to keep `load` accelerators busy over the horizon, and the jobs present at the start.
    fn add_deferred(&mut self, kind: JobKind, load: f64) {
        let samples = 20_000;
        let mean: f64 = (0..samples)
            .map(|_| f64::from(self.sample_shape(kind).accelerators()) * self.sample_run_ms(kind))
            .sum::<f64>()
            / f64::from(samples);
        let count = (load * self.workload.horizon_ms as f64 / mean).round() as u32;
        for _ in 0..count {
            let at_ms = if self.rng.random_bool(self.workload.burst_share) {
                let burst = self.burst_times_ms[self.rng.random_range(0..self.burst_times_ms.len())];
                burst + Exp::new(1.0 / 2_000.0).expect("rate is positive").sample(&mut self.rng) as u64
            } else {
                self.random_time_ms()
            };
            let run_ms = self.sample_run_ms(kind);
            self.push_deferred(kind, at_ms, run_ms);
        }
        let initial = match kind {
            JobKind::Wide => self.workload.initial_wide,
            _ => self.workload.initial_narrow,
        };
        for _ in 0..initial {
            // Run times of jobs found at a random time are length-biased, and a uniform share of each remains.
            let run_ms = (0..4).map(|_| self.sample_run_ms(kind)).fold(0.0, f64::max) * self.rng.random::<f64>();
            let at_ms = self.rng.random_range(0..1_000);
            self.push_deferred(kind, at_ms, run_ms.max(100.0));
        }
    }

    fn push_deferred(&mut self, kind: JobKind, at_ms: u64, run_ms: f64) {
        let traffic: Vec<(usize, f64)> = self.traffic.iter().copied().enumerate().collect();
        let organisation = self.pick(&traffic);
        let never_fits = self.rng.random_bool(0.005);
        let shape = if never_fits {
            let wide = Shape::new(64, 32, Adjacency::Rack);
            self.pick(&[(Shape::new(1, 64, Adjacency::Worker), 0.5), (wide, 0.5)])
        } else {
            self.sample_shape(kind)
        };
        let (idempotent, checkpointable) = match kind {
            JobKind::Wide => self.pick(&[
                ((true, true), 70.0),
                ((true, false), 10.0),
                ((false, true), 10.0),
                ((false, false), 10.0),
            ]),
            _ => self.pick(&[((true, true), 45.0), ((true, false), 40.0), ((false, false), 15.0)]),
        };
        let mut factor = self.pick(&DECLARED_FACTORS);
        if organisation == BIASED_ORGANISATION {
            factor *= BIASED_FACTOR;
        }
        let accelerators = u32::from(shape.accelerators_per_part).max(1);
        let memory_mib = if kind == JobKind::Narrow && self.rng.random_bool(0.05) && accelerators <= 2 {
            16 * 1024
        } else {
            self.pick(&[(2 * 1024, 0.5), (4 * 1024, 0.3), (6 * 1024, 0.2)])
        };
        let spec = self
            .spec(organisation)
            .idempotent(idempotent)
            .checkpointable(checkpointable)
            .shape(shape)
            .cpu_milli_per_part(1_500 * accelerators)
            .memory_mib_per_part(memory_mib * accelerators)
            .declared_run_ms((run_ms * factor) as u64 + 1);
        let always_fails = !never_fits && self.rng.random_bool(0.005);
        self.push(at_ms, spec, kind, run_ms as u64, always_fails, never_fits);
    }

    fn spec(&self, organisation: usize) -> JobSpec {
        let request = format!("r{}", self.arrivals.len());
        JobSpec::new(
            self.config.organisations[organisation].id.clone(),
            request.parse().expect("generated names are valid"),
        )
    }

    fn push(&mut self, at_ms: u64, spec: JobSpec, kind: JobKind, run_ms: u64, always_fails: bool, never_fits: bool) {
        self.arrivals.push(Arrival {
            at_ms,
            spec,
            kind,
            run_ms,
            cancel_at_ms: None,
            always_fails,
            never_fits,
        });
    }

    /// Adds urgent requests: a fifth of them in bursts of one second, the rest evenly distributed.
    fn add_urgent(&mut self) {
        let count = (self.workload.urgent_per_s * self.workload.horizon_ms as f64 / 1_000.0) as u32;
        let distribution = LogNormal::new(250f64.ln(), 0.6).expect("parameters are finite");
        for _ in 0..count {
            let at_ms = if self.rng.random_bool(0.2) {
                let burst = self.random_time_ms() / 60_000 * 60_000;
                burst + self.rng.random_range(0..1_000)
            } else {
                self.random_time_ms()
            };
            let run_ms = distribution.sample(&mut self.rng).clamp(20.0, 3_000.0) as u64;
            let organisation = self.rng.random_range(0..self.config.organisations.len());
            let spec = self
                .spec(organisation)
                .class(Class::Urgent)
                .idempotent(self.rng.random_bool(0.7))
                .shape(Shape::new(1, 1, Adjacency::Worker))
                .cpu_milli_per_part(2_000)
                .memory_mib_per_part(4 * 1024)
                .declared_run_ms(run_ms)
                .deadline_ms(10_000);
            self.push(at_ms, spec, JobKind::Urgent, run_ms, false, false);
        }
    }

    /// Adds waves in which organisations without other traffic submit jobs of their guaranteed shapes.
    fn add_guarantee_waves(&mut self) {
        let owners: Vec<usize> = (0..self.traffic.len())
            .filter(|org| self.traffic[*org] == 0.0)
            .collect();
        for organisation in owners {
            let mut at_ms = self.workload.wave_interval_ms / 2;
            while at_ms < self.workload.horizon_ms {
                let wave_ms = at_ms + self.rng.random_range(0..self.workload.wave_interval_ms / 3);
                for guarantee in self.config.organisations[organisation].guarantees.clone() {
                    for _ in 0..guarantee.count {
                        let accelerators = u32::from(guarantee.shape.accelerators_per_part);
                        let spec = self
                            .spec(organisation)
                            .idempotent(self.rng.random_bool(0.5))
                            .shape(guarantee.shape)
                            .cpu_milli_per_part(1_500 * accelerators)
                            .memory_mib_per_part(4 * 1024 * accelerators)
                            .declared_run_ms(self.workload.wave_run_ms);
                        let jitter_ms = self.rng.random_range(0..200);
                        let run_ms = self.workload.wave_run_ms;
                        self.push(wave_ms + jitter_ms, spec, JobKind::Owner, run_ms, false, false);
                    }
                }
                at_ms += self.workload.wave_interval_ms;
            }
        }
    }

    /// Cancels 1% of deferred jobs at any time, and in two waves 30% of those that arrived in the minute before.
    fn add_cancellations(&mut self) {
        let waves = [self.workload.horizon_ms / 4, self.workload.horizon_ms * 5 / 8];
        for index in 0..self.arrivals.len() {
            let (kind, at_ms) = (self.arrivals[index].kind, self.arrivals[index].at_ms);
            if !matches!(kind, JobKind::Narrow | JobKind::Wide) {
                continue;
            }
            let wave = waves.iter().find(|wave| at_ms < **wave && at_ms + 60_000 >= **wave);
            if let Some(wave) = wave
                && self.rng.random_bool(0.3)
            {
                self.arrivals[index].cancel_at_ms = Some(wave + self.rng.random_range(0..1_000));
            } else if self.rng.random_bool(0.01) {
                self.arrivals[index].cancel_at_ms = Some(at_ms + self.rng.random_range(0..60_000));
            }
        }
    }

    fn incidents(&mut self, workers: usize) -> Vec<(u64, Incident)> {
        let horizon_ms = self.workload.horizon_ms;
        let mut incidents = Vec::new();
        for (index, from_ms, until_ms) in self.workload.outages.clone() {
            let change = |in_service| Incident::DataCentre { index, in_service };
            incidents.extend([(from_ms, change(false)), (until_ms, change(true))]);
        }
        let (broken, dying) = (
            self.workload.broken_workers as usize,
            self.workload.crashing_workers as usize,
        );
        let chosen = index::sample(&mut self.rng, workers, broken + dying).into_vec();
        for worker in chosen[..broken].iter().map(|worker| *worker as u32) {
            let from_ms = self.rng.random_range(horizon_ms / 10..horizon_ms / 2);
            let change = |broken| Incident::WorkerBroken { worker, broken };
            incidents.extend([(from_ms, change(true)), (from_ms + horizon_ms / 3, change(false))]);
        }
        for worker in chosen[broken..].iter().map(|worker| *worker as u32) {
            let from_ms = self.random_time_ms();
            incidents.extend([
                (from_ms, Incident::WorkerCrashes { worker }),
                (from_ms + 90_000, Incident::WorkerRestarts { worker }),
            ]);
        }
        incidents.sort_by_key(|incident| incident.0);
        incidents
    }
}
