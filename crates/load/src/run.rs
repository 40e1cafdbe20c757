use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

use crate::{
    Balancer, Call, CallOutcome, Caller, Executions, LoadError, Mix, OperatorClient, PlannedJob, Report, Tally,
};

/// Options of a load run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Base addresses of the entry instances.
    pub servers: Vec<String>,
    /// Base addresses of the worker processes.
    pub workers: Vec<String>,
    /// Time during which jobs arrive, in seconds.
    pub duration_s: u64,
    /// Mean arrivals per second.
    pub rate_per_s: u64,
    /// Seed of the mix.
    pub seed: u64,
    /// How long a caller waits for a final outcome, in seconds.
    pub give_up_s: u64,
    /// Data centre to take out of service and back in, with the two times in seconds after the start.
    pub absence: Option<(String, u64, u64)>,
}

impl From<&ArgMatches> for Options {
    fn from(matches: &ArgMatches) -> Self {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
        let texts = |name: &str| {
            matches
                .get_many::<String>(name)
                .into_iter()
                .flatten()
                .cloned()
                .collect()
        };
        let out = matches.get_one::<String>("out").cloned();
        Self {
            servers: texts("server"),
            workers: texts("workers"),
            duration_s: number("seconds"),
            rate_per_s: number("rate").max(1),
            seed: number("seed"),
            give_up_s: number("give-up-s"),
            absence: out.map(|data_centre| (data_centre, number("out-at-s"), number("in-at-s"))),
        }
    }
}

/// Job with its call and the time from the start of the run to the end of the call.
type Completed = (PlannedJob, Call, Duration);

/// Carries out a load run.
///
/// # Errors
///
/// Returns [`LoadError`] if there is no configuration, a worker log cannot be read, or a data centre cannot be taken
/// out or in.
pub async fn run(options: &Options) -> Result<Report, LoadError> {
    let client = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
    let operator = OperatorClient::new(options.servers.clone());
    let config = operator.config(&client).await?;
    let organisations = config
        .organisations
        .into_iter()
        .map(|organisation| organisation.id)
        .collect();
    let run_name = format!("s{}-{}", options.seed, std::process::id());
    let mix = Mix::new(run_name, options.seed, organisations);
    let start = Instant::now();
    let results: Rc<RefCell<Vec<Completed>>> = Rc::default();
    let absence = take_data_centre_out_and_in(&operator, &client, options, start);
    let submission = submit_jobs(&client, options, mix, start, &results);
    let (absence_result, ()) = futures_util::join!(absence, submission);
    absence_result?;
    let executions = Executions::read(&client, &options.workers).await?;
    let results = results.take();
    Ok(summarise(options, &results, &executions))
}

async fn take_data_centre_out_and_in(
    operator: &OperatorClient,
    client: &awc::Client,
    options: &Options,
    start: Instant,
) -> Result<(), LoadError> {
    let Some((data_centre, out_at_s, in_at_s)) = &options.absence else {
        return Ok(());
    };
    for (at_s, direction) in [(*out_at_s, "out"), (*in_at_s, "in")] {
        actix_rt::time::sleep(Duration::from_secs(at_s).saturating_sub(start.elapsed())).await;
        operator.data_centre(client, data_centre, direction).await?;
    }
    Ok(())
}

/// Submits jobs open-loop: arrivals do not wait for earlier answers. Returns when every call has its outcome.
async fn submit_jobs(
    client: &awc::Client,
    options: &Options,
    mut mix: Mix,
    start: Instant,
    results: &Rc<RefCell<Vec<Completed>>>,
) {
    let mut random = StdRng::seed_from_u64(options.seed ^ 0x5eed);
    let gap_s = Exp::new(options.rate_per_s as f64).expect("the rate is positive");
    let balancer = Balancer::new(&options.servers);
    let caller = Caller::new(balancer.clone(), Duration::from_secs(options.give_up_s));
    let watch_client = client.clone();
    let watch = actix_rt::spawn(async move { balancer.watch(&watch_client).await });
    let mut arrival = Duration::ZERO;
    let mut calls = Vec::new();
    while arrival < Duration::from_secs(options.duration_s) {
        arrival += Duration::from_secs_f64(gap_s.sample(&mut random));
        actix_rt::time::sleep(arrival.saturating_sub(start.elapsed())).await;
        let Some(planned) = mix.next() else { break };
        let first = random.random_range(0..options.servers.len());
        let (client, caller, results) = (client.clone(), caller.clone(), Rc::clone(results));
        calls.push(actix_rt::spawn(async move {
            let call = caller.call(&client, &planned.spec, first).await;
            results.borrow_mut().push((planned, call, start.elapsed()));
        }));
    }
    join_all(calls).await;
    watch.abort();
}

fn summarise(options: &Options, results: &[Completed], executions: &Executions) -> Report {
    let mut report = Report {
        seed: options.seed,
        tallies: Tally::for_each_kind(),
        ..Report::default()
    };
    for (planned, call, _) in results {
        let Call {
            outcome,
            took,
            interrupted,
        } = call;
        report.interrupted += u64::from(*interrupted);
        let job = planned.spec.id();
        if let Some(tally) = report.tallies.get_mut(&planned.kind) {
            tally.record(outcome, *took);
        }
        if planned.spec.shape.parts > 1 {
            report.parts.insert(job.clone(), planned.spec.shape.parts);
        }
        let attempts = executions.attempts_of(&job);
        match outcome {
            CallOutcome::Missing { last } => report.missing.push((job.clone(), last.clone())),
            CallOutcome::WrongAnswer { message } => report.wrong.push((job.clone(), message.clone())),
            CallOutcome::DidNotRun { .. } if attempts > 0 => report.false_refusals.push(job.clone()),
            _ => {}
        }
        if !planned.spec.idempotent && attempts > 1 {
            report.doubled.push(format!("{job}: {attempts} attempts started"));
        }
    }
    report
        .doubled
        .extend(executions.doubled_tasks().map(|task| format!("{task}: started twice")));
    report.ran_per_s = rates(options, results);
    report
}

/// Returns the rate of jobs that ran before, during and after the absence of the data centre.
fn rates(options: &Options, results: &[Completed]) -> Vec<(&'static str, f64)> {
    let phases = match &options.absence {
        Some((_, out, back)) => vec![
            ("before", 0, *out),
            ("during absence", *out, *back),
            ("after", *back, options.duration_s),
        ],
        None => vec![("overall", 0, options.duration_s)],
    };
    let ran_between = |from_s: u64, to_s: u64| {
        let window = Duration::from_secs(from_s)..Duration::from_secs(to_s);
        results
            .iter()
            .filter(|(_, call, at)| call.outcome == CallOutcome::Ran && window.contains(at))
            .count()
    };
    let rate = |(name, from_s, to_s): (&'static str, u64, u64)| {
        (
            name,
            ran_between(from_s, to_s) as f64 / to_s.saturating_sub(from_s).max(1) as f64,
        )
    };
    phases.into_iter().map(rate).collect()
}
