//! Work that never starts beside gangs that wait for room: each of two waiting gangs reserves a whole rack.

use super::{Case, idle_ms, job_id};
use crate::Verdict;

/// Two racks of four workers.
const MACHINES: [(&str, &str); 8] = [
    ("a", "r1-1"),
    ("a", "r1-1"),
    ("a", "r1-1"),
    ("a", "r1-1"),
    ("a", "r1-2"),
    ("a", "r1-2"),
    ("a", "r1-2"),
    ("a", "r1-2"),
];
const GANGS: u64 = 2;
const GANG_ESTIMATE_MS: u64 = 60_000;
const JOBS: u64 = 4;
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;

pub fn play(case: &Case) -> Option<Verdict> {
    let world = case.world(&MACHINES, 1)?;
    case.sleep_ms(3_000);
    // One small task that lasts on each rack, beside its data.
    for number in 0..2 {
        let body = format!(
            r#"{{"spec":"run until stopped","steps":[{{"count":1,"cpu":2000,"mem_mb":1024,"gpu":1,"affinity":"r1-{}","long_running":true}}]}}"#,
            number + 1
        );
        world.submit(&format!("/bulk/{}", job_id(number)), &body, number as usize);
    }
    case.sleep_ms(2_000);
    if case.has_trouble {
        case.record.line("two large jobs come at once");
        for number in 0..GANGS {
            let body = format!(
                r#"{{"spec":"run {GANG_ESTIMATE_MS} ms","steps":[{{"count":4,"cpu":8000,"mem_mb":8192,"gpu":8,"gang":true,"same_rack":true,"estimate_ms":{GANG_ESTIMATE_MS}}}]}}"#
            );
            world.submit(&format!("/normal/{}", job_id(10 + number)), &body, number as usize);
        }
        case.sleep_ms(500);
    }
    let mut accepted = Vec::new();
    for number in 20..20 + JOBS {
        let body =
            r#"{"spec":"run 3000 ms","steps":[{"count":2,"cpu":4000,"mem_mb":1024,"gpu":1,"estimate_ms":3000}]}"#;
        if world.submit(&format!("/bulk/{}", job_id(number)), body, number as usize) {
            accepted.push(number);
        }
    }
    let traffic_end_ms = case.now_ms();
    case.sleep_ms(FINISH_MS + IDLE_MS + 500);
    for number in (10..10 + GANGS).chain(accepted.iter().copied()) {
        let queue = if number < 20 { "normal" } else { "bulk" };
        world.state(&format!("/{queue}/{}", job_id(number)));
    }
    let now_ms = case.now_ms();
    let executions = world.fleet.executions.lock().unwrap().clone();
    let running: usize = world
        .fleet
        .machines
        .iter()
        .map(|machine| world.fleet.running_on(machine))
        .sum();
    case.record.say(format!(
        "{} starts; {running} tasks run on {} workers",
        executions.len(),
        MACHINES.len()
    ));
    // Beside the two small tasks that last, the service is idle.
    if accepted.is_empty() || running < 2 {
        return None;
    }
    let mut is_broken = false;
    for number in accepted {
        let idle_ms = idle_ms(&executions, &job_id(number), now_ms, traffic_end_ms);
        if idle_ms > FINISH_MS + IDLE_MS {
            is_broken = true;
            case.record.say(format!(
                "LOST: job {} has had nothing running for {idle_ms} ms",
                job_id(number)
            ));
        }
    }
    Some(if is_broken { Verdict::Broken } else { Verdict::Held })
}
