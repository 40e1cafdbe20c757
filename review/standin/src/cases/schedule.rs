//! Work that never starts again: the progress of a scheduled job outgrows a row of the store, and from then on nothing
//! that the scheduler has to write down becomes durable.

use super::{Case, idle_ms, job_id};
use crate::Verdict;
use crate::world::World;

const MACHINES: usize = 8;

/// Scheduled job: occurrences, their interval, and independent steps of one short task each.
const TIMES: u64 = 850;
const INTERVAL_MS: u64 = 45;
const STEPS: usize = 5;
const SHORT_MS: u64 = 100;

/// Ordinary jobs of one long task each, two on a machine.
const JOBS: u64 = 8;
const LONG_MS: u64 = 90_000;

/// Down time of the worker that crashes.
const DOWN_MS: u64 = 4_500;
/// Time after the end of the traffic at which jobs are asked for, and for which one has to have nothing running.
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;

pub fn play(case: &Case) -> Option<Verdict> {
    let machines = vec![("a", "r1-1"); MACHINES];
    let world = case.world(&machines, 1)?;
    case.sleep_ms(3_000);
    submit_schedule(&world);
    case.sleep_ms(TIMES * INTERVAL_MS + 3_000);
    let mut accepted = Vec::new();
    for number in 1..=JOBS {
        let path = format!("/normal/{}", job_id(number));
        let body = format!(
            r#"{{"spec":"run {LONG_MS} ms","steps":[{{"count":1,"cpu":14000,"mem_mb":4096,"gpu":2,"estimate_ms":{LONG_MS}}}]}}"#
        );
        if world.submit(&path, &body, number as usize) {
            accepted.push(number);
        }
    }
    let traffic_end_ms = case.now_ms();
    case.sleep_ms(2_000);
    let busy = world
        .fleet
        .machines
        .iter()
        .find(|machine| world.fleet.running_on(machine) > 0)?;
    if case.has_trouble {
        let former = world.fleet.crash_worker(busy, "crash")?;
        case.sleep_ms(DOWN_MS);
        world.fleet.restart_worker(busy, former);
    }
    case.sleep_ms((traffic_end_ms + FINISH_MS).saturating_sub(case.now_ms()));
    for number in std::iter::once(0).chain(accepted.iter().copied()) {
        let queue = if number == 0 { "bulk" } else { "normal" };
        let state = world.state(&format!("/{queue}/{}", job_id(number)));
        case.record.line(format!("job {}: {state:?}", job_id(number)));
    }
    case.sleep_ms(IDLE_MS + 500);
    let now_ms = case.now_ms();
    let executions = world.fleet.executions.lock().unwrap().clone();
    let (listed, acknowledged) = (
        *world.fleet.ends_listed.lock().unwrap(),
        *world.fleet.ends_acknowledged.lock().unwrap(),
    );
    case.record.say(format!(
        "{} starts, {listed} ends listed, {acknowledged} of them taken note of",
        executions.len()
    ));
    let free = world
        .fleet
        .machines
        .iter()
        .filter(|machine| world.fleet.worker_id(machine).is_some() && world.fleet.running_on(machine) == 0)
        .count();
    case.record
        .say(format!("{free} of {MACHINES} workers are up and run nothing"));
    let mut is_broken = false;
    for number in &accepted {
        let idle_ms = idle_ms(&executions, &job_id(*number), now_ms, traffic_end_ms);
        if idle_ms > IDLE_MS {
            is_broken = true;
            case.record.say(format!(
                "LOST: job {} has had nothing running for {idle_ms} ms",
                job_id(*number)
            ));
        }
    }
    // Each of the tasks takes less than half a worker, and half of the workers are at most half in use.
    if accepted.is_empty() || free < 2 {
        return None;
    }
    Some(if is_broken { Verdict::Broken } else { Verdict::Held })
}

fn submit_schedule(world: &World) {
    let step = r#"{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":100}"#;
    let first_run_ms = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64 + 1_000);
    let body = format!(
        r#"{{"spec":"run {SHORT_MS} ms","steps":[{}],"times":{TIMES},"first_run_ms":{first_run_ms},"interval_ms":{INTERVAL_MS}}}"#,
        [step; STEPS].join(",")
    );
    world.submit(&format!("/bulk/{}", job_id(0)), &body, 0);
}
