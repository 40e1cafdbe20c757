use std::collections::BTreeMap;

use model::{Answer, JobId, JobSpec, JobState, Outcome, TaskId, TaskState};

use super::worker::{StartRecord, expected_answer_body};
use super::{Simulation, TestPolicy};

/// Maximum run time of an incomplete gang: lease of 5 s plus 2 s to stop.
const MAX_PARTIAL_RUN_MS: u64 = 7_000;

/// Maximum time from the notice that a data centre is out of service or a worker draining to the last start.
const MAX_START_DELAY_MS: u64 = 3_000;

/// Checks a simulation whose jobs have settled and returns the violations.
pub fn check<P: TestPolicy>(sim: &Simulation<P>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut by_job: BTreeMap<JobId, Vec<(usize, &StartRecord)>> = BTreeMap::new();
    for (index, worker) in sim.workers.iter().enumerate() {
        for started in &worker.start_log {
            by_job
                .entry(started.task.job.clone())
                .or_default()
                .push((index, started));
        }
    }
    for spec in &sim.specs {
        let id = spec.id();
        let starts = by_job.get(&id).map_or(&[][..], Vec::as_slice);
        check_starts(spec, starts, &mut violations);
        check_final_state(sim, spec, starts, &mut violations);
        check_gangs(sim, spec, starts, &mut violations);
    }
    check_charges(sim, &mut violations);
    for (index, worker) in sim.workers.iter().enumerate() {
        for started in &worker.start_log {
            let drained_ms = sim
                .draining_worker
                .filter(|(draining, _)| *draining == index)
                .map(|(_, at_ms)| at_ms);
            let limit_ms = [sim.out_of_service_ms, drained_ms].into_iter().flatten().min();
            if limit_ms.is_some_and(|limit_ms| started.at_ms > limit_ms + MAX_START_DELAY_MS) {
                violations.push(format!(
                    "{} started at {} ms, after its data centre or worker was taken out",
                    started.task, started.at_ms
                ));
            }
        }
    }
    violations
}

fn check_starts(spec: &JobSpec, starts: &[(usize, &StartRecord)], violations: &mut Vec<String>) {
    for part in 0..spec.shape.parts {
        let count = starts
            .iter()
            .filter(|(_, s)| s.task.part == part && !s.is_resumed)
            .count();
        if !spec.idempotent && count > 1 {
            violations.push(format!("{} part {part} started {count} times", spec.id()));
        }
    }
}

fn check_final_state<P: TestPolicy>(
    sim: &Simulation<P>,
    spec: &JobSpec,
    starts: &[(usize, &StartRecord)],
    violations: &mut Vec<String>,
) {
    let id = spec.id();
    let Some((row, _)) = sim.table.rows.get(&id) else {
        violations.push(format!("{id} is not in the table"));
        return;
    };
    let is_moved = row.data_centre.as_str() != "dc1";
    let is_dead = sim.workers.iter().any(|worker| worker.is_dead);
    let may_be_unfinished = is_moved
        || (row.state == JobState::Indeterminate && is_dead && !spec.idempotent)
        || (row.state == JobState::Queued && sim.out_of_service_ms.is_some());
    if !row.state.is_final() && !may_be_unfinished {
        violations.push(format!("{id} is not final: {:?}", row.state));
    }
    let reported = sim
        .outcomes
        .iter()
        .filter(|(job, _)| *job == id)
        .map(|(_, outcome)| outcome);
    let denies_start = |outcome: &Outcome| {
        matches!(
            outcome,
            Outcome::DidNotRun { .. } | Outcome::Cancelled { started: false }
        )
    };
    if (row.state == JobState::DidNotRun || reported.clone().any(denies_start)) && !starts.is_empty() {
        violations.push(format!("{id} was reported as not run, but started"));
    }
    let bodies: Vec<String> = (0..spec.shape.parts)
        .map(|part| expected_answer_body(&TaskId::new(id.clone(), 1, part)))
        .collect();
    let body = if bodies.len() == 1 {
        bodies[0].clone()
    } else {
        serde_json::json!(bodies).to_string()
    };
    let expected = Answer::new(spec.request_id.clone(), body);
    let stored = sim.table.answers.get(&id);
    let reported_answers = reported.filter_map(|outcome| {
        if let Outcome::Ran { answer } = outcome {
            Some(answer)
        } else {
            None
        }
    });
    for answer in stored.into_iter().chain(reported_answers) {
        if *answer != expected {
            violations.push(format!("{id} has the wrong answer {:?}", answer.body));
        }
    }
    if row.state == JobState::Finished {
        let attempt = row.attempts.last().map_or(0, |attempt| attempt.number);
        let key = format!("charge/{id}/{attempt}");
        if stored.is_none() || !sim.table.charges.contains_key(&key) {
            violations.push(format!("{id} finished without a stored answer or a charge"));
        }
    }
}

fn check_charges<P: TestPolicy>(sim: &Simulation<P>, violations: &mut Vec<String>) {
    for charge in sim.table.charges.values() {
        for (worker, lease) in &charge.leases {
            let ran = sim
                .workers
                .iter()
                .filter(|known| known.id == *worker)
                .flat_map(|worker| &worker.start_log);
            let found = ran
                .clone()
                .any(|s| s.task.job == charge.job && s.task.attempt == charge.attempt && s.lease == *lease);
            if !found {
                violations.push(format!(
                    "charge {} names lease {lease}, which ran no task",
                    charge.key()
                ));
            }
        }
    }
}

fn check_gangs<P: TestPolicy>(
    sim: &Simulation<P>,
    spec: &JobSpec,
    starts: &[(usize, &StartRecord)],
    violations: &mut Vec<String>,
) {
    let mut attempts: BTreeMap<_, Vec<&StartRecord>> = BTreeMap::new();
    for (_, started) in starts {
        attempts
            .entry((started.task.attempt, started.lease.epoch))
            .or_default()
            .push(started);
    }
    for ((attempt, _), parts) in attempts {
        let is_complete = parts.len() >= usize::from(spec.shape.parts);
        let first_ms = parts.iter().map(|part| part.at_ms).min().unwrap_or(0);
        let broken_ms = parts
            .iter()
            .filter(|part| part.state != TaskState::Finished)
            .filter_map(|part| part.end_ms)
            .min();
        let since_ms = if is_complete { broken_ms } else { Some(first_ms) };
        let last_ms = parts
            .iter()
            .map(|part| part.end_ms.unwrap_or(sim.now_ms))
            .max()
            .unwrap_or(0);
        // With two faults, the time is counted from the later one.
        let Some(since_ms) = since_ms else { continue };
        let since_ms = if last_ms > sim.last_fault_ms {
            since_ms.max(sim.last_fault_ms)
        } else {
            since_ms
        };
        if last_ms > since_ms + MAX_PARTIAL_RUN_MS {
            let partial_ms = last_ms - since_ms;
            violations.push(format!(
                "{} attempt {attempt} ran in part for {partial_ms} ms",
                spec.id()
            ));
        }
    }
}
