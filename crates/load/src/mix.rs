use model::{Adjacency, Class, JobSpec, OrganisationId, Shape};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde_json::json;

use crate::JobKind;

/// Job of the mix with its kind.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedJob {
    /// Kind of the job.
    pub kind: JobKind,
    /// Job.
    pub spec: JobSpec,
}

/// Endless sequence of jobs drawn from a seed; the same seed gives the same jobs.
#[derive(Debug)]
pub struct Mix {
    run: String,
    random: StdRng,
    organisations: Vec<OrganisationId>,
    next: u64,
    quote_run_ms: LogNormal<f64>,
    gang_run_ms: LogNormal<f64>,
}

impl Mix {
    /// Shares of the kinds in percent; the rest are quotes.
    const PROMISE_PERCENT: u32 = 10;
    const REVALUATION_PERCENT: u32 = 8;
    const GANG_PERCENT: u32 = 3;
    const OVERSIZED_PERCENT: u32 = 1;
    /// Share of jobs whose declared run time is wrong by a factor of 1/8 to 8, in percent.
    const MISDECLARED_PERCENT: u32 = 30;

    /// Creates the sequence. `run` is part of every request id, so that jobs of different runs never share an id.
    ///
    /// # Panics
    ///
    /// Panics if `organisations` is empty.
    pub fn new(run: impl Into<String>, seed: u64, organisations: Vec<OrganisationId>) -> Self {
        assert!(!organisations.is_empty(), "jobs need an organisation");
        let log_normal = |median_ms: f64, sigma| LogNormal::new(median_ms.ln(), sigma).expect("sigma is finite");
        Self {
            run: run.into(),
            random: StdRng::seed_from_u64(seed),
            organisations,
            next: 0,
            quote_run_ms: log_normal(60.0, 0.6),
            gang_run_ms: log_normal(1_500.0, 0.5),
        }
    }

    fn kind(&mut self) -> JobKind {
        let draw = self.random.random_range(0..100);
        let mut bound = 0;
        for (kind, percent) in [
            (JobKind::Promise, Self::PROMISE_PERCENT),
            (JobKind::Revaluation, Self::REVALUATION_PERCENT),
            (JobKind::Gang, Self::GANG_PERCENT),
            (JobKind::Oversized, Self::OVERSIZED_PERCENT),
        ] {
            bound += percent;
            if draw < bound {
                return kind;
            }
        }
        JobKind::Quote
    }

    fn gang_shape(&mut self) -> Shape {
        // One to four workers; one gang in seven has 64 accelerators in one rack.
        let parts = *[1, 1, 1, 2, 2, 4, 8]
            .choose(&mut self.random)
            .expect("the list is not empty");
        Shape::new(parts, 8, if parts == 1 { Adjacency::Worker } else { Adjacency::Rack })
    }

    fn declared_ms(&mut self, run_ms: u64) -> u64 {
        if self.random.random_range(0..100) >= Self::MISDECLARED_PERCENT {
            return run_ms;
        }
        let factor = 2f64.powf(self.random.random_range(-3.0..3.0));
        (run_ms as f64 * factor) as u64
    }
}

impl Iterator for Mix {
    type Item = PlannedJob;

    fn next(&mut self) -> Option<PlannedJob> {
        self.next += 1;
        let kind = self.kind();
        let organisation = self
            .organisations
            .choose(&mut self.random)
            .expect("the list is not empty")
            .clone();
        let request_id = format!("{}-{kind}-{}", self.run, self.next)
            .as_str()
            .try_into()
            .expect("the name is valid");
        let run_ms = match kind {
            JobKind::Gang => self.gang_run_ms.sample(&mut self.random).clamp(300.0, 6_000.0) as u64,
            _ => self.quote_run_ms.sample(&mut self.random).clamp(10.0, 600.0) as u64,
        };
        let job = JobSpec::new(organisation, request_id)
            .declared_run_ms(self.declared_ms(run_ms))
            .cpu_milli_per_part(1_000)
            .memory_mib_per_part(1_024)
            .payload(json!({ "run_ms": run_ms, "answer_bytes": 64 }));
        let spec = match kind {
            JobKind::Quote => job.class(Class::Urgent).idempotent(true).deadline_ms(5_000),
            JobKind::Promise => job.class(Class::Urgent).deadline_ms(5_000),
            JobKind::Revaluation => job,
            JobKind::Gang => job.idempotent(true).checkpointable(true).shape(self.gang_shape()),
            JobKind::Oversized => job.idempotent(true).shape(Shape::new(64, 64, Adjacency::Rack)),
        };
        Some(PlannedJob { kind, spec })
    }
}
