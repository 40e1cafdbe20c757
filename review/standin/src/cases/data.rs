//! Work that does not start because the rack of its data is gone.

use super::{Case, idle_ms, job_id};
use crate::Verdict;

/// Eight racks of two workers.
const RACKS: [&str; 8] = ["r1-1", "r1-2", "r1-3", "r1-4", "r1-5", "r1-6", "r1-7", "r1-8"];
const JOBS: u64 = 8;
const ESTIMATE_MS: u64 = 11_000;
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;

pub fn play(case: &Case) -> Option<Verdict> {
    let machines: Vec<_> = RACKS.iter().flat_map(|rack| [("a", *rack), ("a", *rack)]).collect();
    let world = case.world(&machines, 1)?;
    case.sleep_ms(3_000);
    if case.has_trouble {
        for machine in world.fleet.machines.iter().filter(|machine| machine.rack == RACKS[0]) {
            world.fleet.crash_worker(machine, "lost for good, with its rack");
        }
        case.sleep_ms(6_000);
    }
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let rack = RACKS[number as usize % RACKS.len()];
        let body = format!(
            r#"{{"spec":"run {ESTIMATE_MS} ms","steps":[{{"count":2,"cpu":4000,"mem_mb":1024,"gpu":1,"estimate_ms":{ESTIMATE_MS},"affinity":"{rack}"}}]}}"#
        );
        if world.submit(&format!("/normal/{}", job_id(number)), &body, number as usize) {
            accepted.push(number);
        }
    }
    let traffic_end_ms = case.now_ms();
    case.sleep_ms(FINISH_MS + IDLE_MS + 500);
    for number in &accepted {
        world.state(&format!("/normal/{}", job_id(*number)));
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
        machines.len()
    ));
    if accepted.len() < JOBS as usize {
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
