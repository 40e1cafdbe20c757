use std::collections::BTreeMap;

use model::{Answer, JobId, JobSpec, JobState, Outcome, TaskId, TaskState};

use super::worker::{Started, expected_part};
use super::{AnyWorld, Fleet};

/// Longest time that part of a gang may run alone: 5 s lease and 2 s stop.
const PARTIAL_MS: u64 = 7_000;

/// Longest time from word that a data centre is out or a worker leaving to the last start.
const START_MS: u64 = 3_000;

/// Checks a world that came to rest and returns what is wrong with it.
pub fn check<P: Fleet>(world: &AnyWorld<P>) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut by_job: BTreeMap<JobId, Vec<(usize, &Started)>> = BTreeMap::new();
    for (index, worker) in world.workers.iter().enumerate() {
        for started in &worker.log {
            by_job
                .entry(started.task.job.clone())
                .or_default()
                .push((index, started));
        }
    }
    for spec in &world.specs {
        let id = spec.id();
        let starts = by_job.get(&id).map_or(&[][..], Vec::as_slice);
        check_starts(spec, starts, &mut wrong);
        check_end(world, spec, starts, &mut wrong);
        check_gangs(world, spec, starts, &mut wrong);
    }
    check_charges(world, &mut wrong);
    for (index, worker) in world.workers.iter().enumerate() {
        for started in &worker.log {
            let left = world
                .leaving_ms
                .filter(|(leaving, _)| *leaving == index)
                .map(|(_, at_ms)| at_ms);
            let limit_ms = [world.out_ms, left].into_iter().flatten().min();
            if limit_ms.is_some_and(|limit_ms| started.at_ms > limit_ms + START_MS) {
                wrong.push(format!(
                    "{} started at {} ms, after the out",
                    started.task, started.at_ms
                ));
            }
        }
    }
    wrong
}

fn check_starts(spec: &JobSpec, starts: &[(usize, &Started)], wrong: &mut Vec<String>) {
    for part in 0..spec.shape.parts {
        let count = starts
            .iter()
            .filter(|(_, s)| s.task.part == part && !s.is_resumed)
            .count();
        if !spec.idempotent && count > 1 {
            wrong.push(format!("{} part {part} started {count} times", spec.id()));
        }
    }
}

fn check_end<P: Fleet>(world: &AnyWorld<P>, spec: &JobSpec, starts: &[(usize, &Started)], wrong: &mut Vec<String>) {
    let id = spec.id();
    let Some((row, _)) = world.table.rows.get(&id) else {
        wrong.push(format!("{id} is not in the table"));
        return;
    };
    let is_moved = row.data_centre.as_str() != "dc1";
    let is_dead = world.workers.iter().any(|worker| worker.is_dead);
    let may_stay = is_moved
        || (row.state == JobState::Indeterminate && is_dead && !spec.idempotent)
        || (row.state == JobState::Queued && world.out_ms.is_some());
    if !row.state.is_final() && !may_stay {
        wrong.push(format!("{id} is left {:?}", row.state));
    }
    let told = world
        .outcomes
        .iter()
        .filter(|(job, _)| *job == id)
        .map(|(_, outcome)| outcome);
    let never = |outcome: &Outcome| {
        matches!(
            outcome,
            Outcome::DidNotRun { .. } | Outcome::Cancelled { started: false }
        )
    };
    if (row.state == JobState::DidNotRun || told.clone().any(never)) && !starts.is_empty() {
        wrong.push(format!("{id} was said not to have run, and started"));
    }
    let bodies: Vec<String> = (0..spec.shape.parts)
        .map(|part| expected_part(&TaskId::new(id.clone(), 1, part)))
        .collect();
    let body = if bodies.len() == 1 {
        bodies[0].clone()
    } else {
        serde_json::json!(bodies).to_string()
    };
    let expected = Answer::new(spec.request_id.clone(), body);
    let stored = world.table.answers.get(&id);
    let told_answers = told.filter_map(|outcome| {
        if let Outcome::Ran { answer } = outcome {
            Some(answer)
        } else {
            None
        }
    });
    for answer in stored.into_iter().chain(told_answers) {
        if *answer != expected {
            wrong.push(format!("{id} answered {:?}", answer.body));
        }
    }
    if row.state == JobState::Finished {
        let attempt = row.attempts.last().map_or(0, |attempt| attempt.number);
        let key = format!("charge/{id}/{attempt}");
        if stored.is_none() || !world.table.charges.contains_key(&key) {
            wrong.push(format!("{id} finished without a stored answer or a charge"));
        }
    }
}

fn check_charges<P: Fleet>(world: &AnyWorld<P>, wrong: &mut Vec<String>) {
    for charge in world.table.charges.values() {
        for (worker, lease) in &charge.leases {
            let ran = world
                .workers
                .iter()
                .filter(|known| known.id == *worker)
                .flat_map(|worker| &worker.log);
            let found = ran
                .clone()
                .any(|s| s.task.job == charge.job && s.task.attempt == charge.attempt && s.lease == *lease);
            if !found {
                wrong.push(format!(
                    "charge {} names lease {lease}, which ran nothing",
                    charge.key()
                ));
            }
        }
    }
}

fn check_gangs<P: Fleet>(world: &AnyWorld<P>, spec: &JobSpec, starts: &[(usize, &Started)], wrong: &mut Vec<String>) {
    let mut attempts: BTreeMap<_, Vec<&Started>> = BTreeMap::new();
    for (_, started) in starts {
        attempts
            .entry((started.task.attempt, started.lease.epoch))
            .or_default()
            .push(started);
    }
    for ((attempt, _), parts) in attempts {
        let is_whole = parts.len() >= usize::from(spec.shape.parts);
        let first_ms = parts.iter().map(|part| part.at_ms).min().unwrap_or(0);
        let broken_ms = parts
            .iter()
            .filter(|part| part.state != TaskState::Finished)
            .filter_map(|part| part.end_ms)
            .min();
        let since_ms = if is_whole { broken_ms } else { Some(first_ms) };
        let last_ms = parts
            .iter()
            .map(|part| part.end_ms.unwrap_or(world.now_ms))
            .max()
            .unwrap_or(0);
        // With two faults the bound counts from the later one.
        let Some(since_ms) = since_ms else { continue };
        let since_ms = if last_ms > world.last_fault_ms {
            since_ms.max(world.last_fault_ms)
        } else {
            since_ms
        };
        if last_ms > since_ms + PARTIAL_MS {
            let lone_ms = last_ms - since_ms;
            wrong.push(format!("{} attempt {attempt} ran in part for {lone_ms} ms", spec.id()));
        }
    }
}
