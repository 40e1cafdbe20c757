//! Work that waits beside idle workers, after jobs have come that can never be done.

use std::sync::Mutex;
use std::thread;

use super::{Case, job_id};
use crate::Verdict;
use crate::worker::{CPU_MILLI, Execution};

const MACHINES: usize = 8;
const TRAFFIC_MS: u64 = 30_000;

/// Sound jobs, of one task each.
const SOUND_INTERVAL_MS: u64 = 500;
const SOUND_CPU: u64 = 4_000;

/// Jobs whose only task fails in each of its attempts.
const POISON_INTERVAL_MS: u64 = 200;
const POISON_CPU: u64 = 2_000;
const FIRST_POISON: u64 = 1_000;

/// Time after the end of the traffic at which jobs are asked for, and for which one has to have nothing running.
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;

pub fn play(case: &Case) -> Option<Verdict> {
    let machines = vec![("a", "r1-1"); MACHINES];
    let world = case.world(&machines, 1)?;
    case.sleep_ms(3_000);
    let end_ms = case.now_ms() + TRAFFIC_MS;
    let accepted = Mutex::new(Vec::new());
    let submit_all = |first: u64, interval_ms: u64, body: String| {
        for number in first.. {
            if case.now_ms() >= end_ms {
                break;
            }
            if world.submit(&format!("/normal/{}", job_id(number)), &body, number as usize) {
                accepted.lock().unwrap().push(number);
            }
            case.sleep_ms(interval_ms);
        }
    };
    let submit_all = &submit_all;
    thread::scope(|scope| {
        if case.has_trouble {
            let body = format!(
                r#"{{"spec":"fail 300 ms","steps":[{{"count":1,"cpu":{POISON_CPU},"mem_mb":256,"estimate_ms":300}}]}}"#
            );
            scope.spawn(move || submit_all(FIRST_POISON, POISON_INTERVAL_MS, body));
        }
        let body = format!(
            r#"{{"spec":"run 2000 ms","steps":[{{"count":1,"cpu":{SOUND_CPU},"mem_mb":256,"gpu":1,"estimate_ms":2000}}]}}"#
        );
        scope.spawn(move || submit_all(0, SOUND_INTERVAL_MS, body));
    });
    let traffic_end_ms = case.now_ms();
    case.record.line("the traffic has ended");
    case.sleep_ms(FINISH_MS + IDLE_MS);
    let executions = world.fleet.executions.lock().unwrap().clone();
    let (from_ms, to_ms) = (traffic_end_ms + FINISH_MS, traffic_end_ms + FINISH_MS + IDLE_MS);
    let busiest = peak_cpu_milli(&executions, from_ms, to_ms);
    let all = CPU_MILLI * MACHINES as u64;
    let accepted = accepted.into_inner().unwrap();
    let sound: Vec<_> = accepted.iter().filter(|number| **number < FIRST_POISON).collect();
    case.record.say(format!(
        "{} sound and {} other jobs accepted, {} starts; at most {busiest} of {all} thousandths of a core in use from \
         {FINISH_MS} ms to {} ms after the traffic",
        sound.len(),
        accepted.len() - sound.len(),
        executions.len(),
        FINISH_MS + IDLE_MS
    ));
    if sound.is_empty() || busiest * 2 >= all {
        return None;
    }
    let waiting: Vec<_> = sound
        .iter()
        .map(|number| job_id(**number))
        .filter(|job| !executions.iter().any(|execution| execution.task.starts_with(job)))
        .collect();
    for job in &waiting {
        let state = world.state(&format!("/normal/{job}"));
        case.record
            .say(format!("LOST: job {job} has not begun; state {state:?}"));
    }
    Some(if waiting.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Returns the most that was in use at any moment of a span, if every run takes as much as a sound one.
fn peak_cpu_milli(executions: &[Execution], from_ms: u64, to_ms: u64) -> u64 {
    let runs_at = |at_ms: u64| {
        let is_running =
            |run: &&Execution| run.began_ms <= at_ms && run.ended_ms.is_none_or(|ended_ms| ended_ms > at_ms);
        executions.iter().filter(is_running).count() as u64
    };
    let moments = (from_ms..=to_ms).step_by(10);
    moments.map(runs_at).max().unwrap_or(0) * SOUND_CPU
}
