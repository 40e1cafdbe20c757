//! Starts of cancelled jobs, after the connection on which the holder waits for changes of the jobs has gone silent.

use std::collections::HashMap;

use super::{Case, job_id};
use crate::Verdict;
use crate::world::CONTACT_MS;

const MACHINES: usize = 6;
/// Jobs of one task on a quarter of a worker each; far more than there is room for.
const JOBS: u64 = 160;
const LENGTH_MS: u64 = 1_500;
/// Jobs that are cancelled, the newest ones.
const CANCELLED: u64 = 100;
const CANCEL_MS: u64 = 3_000;

pub fn play(case: &Case) -> Option<Verdict> {
    let machines = vec![("a", "r1-1"); MACHINES];
    let world = case.world(&machines, 1)?;
    case.sleep_ms(3_000);
    for number in 0..JOBS {
        let body = format!(
            r#"{{"spec":"run {LENGTH_MS} ms","steps":[{{"count":1,"cpu":8000,"mem_mb":1024,"gpu":2,"estimate_ms":{LENGTH_MS}}}]}}"#
        );
        world.submit(&format!("/bulk/{}", job_id(number)), &body, number as usize);
    }
    case.sleep_ms(500);
    let silent_ms = case.now_ms();
    if case.has_trouble {
        world.store.silence_feeds("jobs");
    }
    let mut acknowledged_ms = HashMap::new();
    for number in (JOBS - CANCELLED)..JOBS {
        let path = format!("/bulk/{}", job_id(number));
        let reply = world.call(number as usize, "DELETE", &path, "");
        if reply.is_some_and(|(status, _)| (200..300).contains(&status)) {
            acknowledged_ms.insert(job_id(number), case.now_ms());
        }
    }
    case.sleep_ms(8_000);
    let executions = world.fleet.executions.lock().unwrap().clone();
    let mut late = 0;
    for execution in &executions {
        let job = execution.task.split('.').next()?;
        let Some(at_ms) = acknowledged_ms.get(job) else {
            continue;
        };
        let after_ms = execution.began_ms.saturating_sub(*at_ms);
        // The holder is in touch again once the connection has been silent for `contact_ms`.
        let is_in_touch = !case.has_trouble || execution.began_ms > silent_ms + CONTACT_MS;
        if after_ms > CANCEL_MS && is_in_touch {
            late += 1;
            case.record.say(format!(
                "UNASKED: {} starts on {} {after_ms} ms after the cancelling was acknowledged, {} ms after the connection went silent",
                execution.task,
                execution.worker,
                execution.began_ms - silent_ms
            ));
        }
    }
    case.record.say(format!(
        "{} starts, {} cancellations acknowledged, {late} starts too late after them",
        executions.len(),
        acknowledged_ms.len()
    ));
    if acknowledged_ms.is_empty() || executions.is_empty() {
        return None;
    }
    Some(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
