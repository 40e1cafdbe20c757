//! The cases.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::thread::sleep;
use std::time::Duration;

use crate::fleet::{Failure, Fleet};
use crate::worker::{Begun, Worker};

/// Whether a rule held.
pub enum Verdict {
    Held(String),
    Broken(String),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Held(text) => write!(f, "held: {text}"),
            Self::Broken(text) => write!(f, "broken: {text}"),
        }
    }
}

const FIRST_JOB: &str = "0123456789abcdef";
const JOB: &str = "5c0e7a21d94b36f8";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Hands in a job of one small task that runs for long, and returns its worker: the next small tasks fill that worker.
fn first_worker(fleet: &Fleet) -> Result<Arc<Worker>, Failure> {
    fleet.submit(
        0,
        FIRST_JOB,
        "work_ms=90000",
        r#"{"count":1,"cpu":100,"mem_mb":128,"estimate_ms":90000}"#,
    )?;
    fleet.wait_until("the first job runs", Duration::from_secs(10), || {
        !fleet.begun(FIRST_JOB).is_empty()
    })?;
    let id = fleet.begun(FIRST_JOB)[0].worker.clone();
    sleep(ms(1_500));
    let worker = fleet.workers.iter().find(|worker| worker.place.id == id);
    worker
        .cloned()
        .ok_or_else(|| "the worker of the first job is not known".into())
}

/// TWICE: a worker is cut off while tasks are placed on it, its machine loses power behind the cut, and it starts again under
/// its id after the cut has ended.
pub fn cut(fleet: &Fleet, is_troubled: bool) -> Result<Verdict, Failure> {
    const CUT_MS: u64 = 5_500;
    const DARK_MS: u64 = 4_500;
    /// Time from the loss of power to the end of the cut.
    const OVERLAP_MS: u64 = 2_500;
    fleet.wait_until_ready()?;
    let worker = first_worker(fleet)?;
    let id = &worker.place.id;
    if is_troubled {
        fleet.record.line(&format!("worker {id} is cut off"));
        worker.link.is_cut.store(true, Ordering::SeqCst);
    }
    let cut_at_ms = fleet.record.now_ms();
    let step = r#"{"count":440,"cpu":70,"mem_mb":128,"estimate_ms":25000}"#;
    fleet.submit(0, JOB, "work_ms=25000", step)?;
    if is_troubled {
        let crash_at_ms = cut_at_ms + CUT_MS - OVERLAP_MS;
        sleep(ms(crash_at_ms.saturating_sub(fleet.record.now_ms())));
        worker.crash();
        fleet
            .record
            .line(&format!("the machine of worker {id} is without power"));
        sleep(ms(OVERLAP_MS));
        fleet
            .record
            .line(&format!("the cut of worker {id} ends; its machine stays dark"));
        sleep(ms(DARK_MS - OVERLAP_MS));
        worker.restart(Worker::KIND, |_| ());
        worker.link.is_cut.store(false, Ordering::SeqCst);
    }
    sleep(ms(8_000));
    let begun = fleet.begun(JOB);
    let tasks = 440;
    if begun.len() < tasks {
        return Err(format!("only {} of {tasks} tasks began", begun.len()).into());
    }
    let doubled = doubled_tasks(fleet, &begun);
    let example = doubled.first().cloned().unwrap_or_default();
    Ok(if doubled.is_empty() {
        Verdict::Held(format!("no task ran twice at the same time ({} runs)", begun.len()))
    } else {
        Verdict::Broken(format!("{} tasks ran twice at the same time; {example}", doubled.len()))
    })
}

/// Returns a line for each task of which two runs were on workers at the same time.
fn doubled_tasks(fleet: &Fleet, begun: &[Begun]) -> Vec<String> {
    let now_ms = fleet.record.now_ms();
    let mut by_task: HashMap<&str, Vec<&Begun>> = HashMap::new();
    for run in begun {
        by_task.entry(&run.task).or_default().push(run);
    }
    let end_ms = |run: &Begun| run.end.map_or(now_ms, |(at_ms, _)| at_ms);
    let mut lines = Vec::new();
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.at_ms);
        for pair in runs.windows(2) {
            if pair[1].at_ms < end_ms(pair[0]) {
                let line = format!(
                    "task {task}: run {} on {} from {} to {} ms, run {} on {} from {} to {} ms",
                    pair[0].run,
                    pair[0].worker,
                    pair[0].at_ms,
                    end_ms(pair[0]),
                    pair[1].run,
                    pair[1].worker,
                    pair[1].at_ms,
                    end_ms(pair[1])
                );
                fleet.record.line(&format!("twice: {line}"));
                lines.push(line);
            }
        }
    }
    lines.sort();
    lines
}

/// LOST: a zone loses power for a moment while many tasks of one job run there.
pub fn zone_loss(fleet: &Fleet, is_troubled: bool) -> Result<Verdict, Failure> {
    const TASKS: usize = 4_000;
    let holder = fleet.wait_until_ready()?;
    let step = format!(r#"{{"count":{TASKS},"cpu":80,"mem_mb":128,"estimate_ms":100000}}"#);
    fleet.submit(holder, JOB, "work_ms=100000", &step)?;
    let running = || fleet.workers.iter().map(|worker| worker.run_count()).sum::<usize>();
    fleet.wait_until("all tasks run", Duration::from_secs(40), || running() == TASKS)?;
    sleep(ms(2_000));
    let before = fleet.state(holder, JOB)?;
    if before != "running" {
        return Err(format!("the job is {before} before the disruption").into());
    }
    if is_troubled {
        let runs_in = |zone: &str| {
            let in_zone = fleet.workers.iter().filter(|worker| worker.place.zone == zone);
            in_zone.map(|worker| worker.run_count()).sum::<usize>()
        };
        let others = fleet
            .instances
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != holder);
        let (_, lost) = others
            .max_by_key(|(_, other)| runs_in(&other.zone))
            .ok_or("no other zone")?;
        fleet.record.say(&format!(
            "zone {} loses power with {} runs",
            lost.zone,
            runs_in(&lost.zone)
        ));
        let in_zone: Vec<_> = fleet
            .workers
            .iter()
            .filter(|worker| worker.place.zone == lost.zone)
            .collect();
        fleet.kill_instance(lost);
        in_zone.iter().for_each(|worker| worker.crash());
        sleep(ms(1_400));
        in_zone.iter().for_each(|worker| worker.restart(Worker::KIND, |_| ()));
        fleet.start_instance(lost)?;
    }
    let mut state = String::new();
    for _ in 0..40 {
        sleep(ms(500));
        state = fleet.state(holder, JOB)?;
        if state != "running" {
            break;
        }
    }
    let begun = fleet.begun(JOB);
    let mut crashes: HashMap<&str, u32> = HashMap::new();
    let mut failed = 0;
    for run in &begun {
        match run.end {
            Some((_, "crashed")) => *crashes.entry(&run.task).or_default() += 1,
            Some((_, "failed")) => failed += 1,
            _ => {}
        }
    }
    let most = crashes.values().max().copied().unwrap_or(0);
    let facts = format!(
        "the job is {state}; runs that failed: {failed}; tasks under which a worker crashed: {}, most crashes under one \
         task: {most}",
        crashes.len()
    );
    let is_excused = failed > 0 || most >= 2;
    Ok(match state.as_str() {
        "running" => Verdict::Held(facts),
        "failed" | "cancelled" | "410" if !is_excused => Verdict::Broken(facts),
        _ => return Err(facts.into()),
    })
}

/// UNASKED: a worker answers nothing for some seconds, while tasks are placed on it whose job is then cancelled.
pub fn hang(fleet: &Fleet, is_troubled: bool) -> Result<Verdict, Failure> {
    const CANCEL_MS: u64 = 3_000;
    const HANG_MS: u64 = 5_000;
    fleet.wait_until_ready()?;
    let worker = first_worker(fleet)?;
    if is_troubled {
        fleet
            .record
            .line(&format!("worker {} answers nothing", worker.place.id));
        worker.hangs.store(true, Ordering::SeqCst);
    }
    let step = r#"{"count":150,"cpu":200,"mem_mb":128,"estimate_ms":20000}"#;
    fleet.submit(0, JOB, "work_ms=20000", step)?;
    let sent_ms = fleet.record.now_ms();
    sleep(ms(400));
    let confirmed_ms = fleet.cancel(0, JOB)?;
    if is_troubled {
        sleep(ms((sent_ms + HANG_MS).saturating_sub(fleet.record.now_ms())));
        fleet.record.line(&format!("worker {} answers again", worker.place.id));
        worker.hangs.store(false, Ordering::SeqCst);
    }
    sleep(ms(6_000));
    let begun = fleet.begun(JOB);
    let late: Vec<_> = begun
        .iter()
        .filter(|run| run.at_ms > confirmed_ms + CANCEL_MS)
        .collect();
    let last_ms = late.iter().map(|run| run.at_ms - confirmed_ms).max().unwrap_or(0);
    let facts = format!(
        "{} tasks began, {} of them over {CANCEL_MS} ms after the cancelling was acknowledged, the last {last_ms} ms after",
        begun.len(),
        late.len()
    );
    Ok(if late.is_empty() {
        Verdict::Held(facts)
    } else {
        Verdict::Broken(facts)
    })
}

/// AVAIL: a wave of upkeep meets both workers of a step of which one task may be away.
pub fn wave(fleet: &Fleet, is_troubled: bool) -> Result<Verdict, Failure> {
    const NOTICE_MS: u64 = 4_500;
    fleet.wait_until_ready()?;
    let step = r#"{"count":2,"cpu":2000,"mem_mb":1024,"estimate_ms":1000,"anti_affinity":1,"long_running":true,"max_unavailable":1}"#;
    fleet.submit(0, JOB, "lasting", step)?;
    fleet.wait_until("both tasks run", Duration::from_secs(10), || {
        fleet.begun(JOB).len() == 2
    })?;
    sleep(ms(NOTICE_MS + 2_000));
    let hosts: Vec<String> = fleet.begun(JOB).iter().map(|run| run.worker.clone()).collect();
    let machine_of = |id: &String| {
        let worker = fleet.workers.iter().find(|worker| worker.place.id == *id);
        worker.map_or("", |worker| worker.place.machine.as_str())
    };
    let machines: Vec<&str> = hosts.iter().map(machine_of).collect();
    if is_troubled {
        let text = format!(
            r#"{{"maintenance_wave":1,"machines":["{}","{}"],"duration_s":20,"maximum":2}}"#,
            machines[0], machines[1]
        );
        fleet.record.say(&format!("op/wave/1 {text}"));
        fleet.store.put("op", "wave/1", &text);
        let upkeeps = || fleet.cloud.upkeeps.lock().unwrap_or_else(PoisonError::into_inner).len();
        let _ = fleet.wait_until("the wave is over", Duration::from_secs(30), || upkeeps() == 2);
    }
    sleep(ms(5_000));
    let begun = fleet.begun(JOB);
    let upkeeps = fleet
        .cloud
        .upkeeps
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let mut broken = Vec::new();
    for upkeep in &upkeeps {
        let is_ended = |run: &&Begun| {
            machine_of(&run.worker) == upkeep.machine && run.end.is_some_and(|(at, _)| at.abs_diff(upkeep.at_ms) < 50)
        };
        let Some(ended) = begun.iter().find(is_ended) else {
            continue;
        };
        let index_of = |run: &Begun| run.task.rsplit('.').next().unwrap_or("").to_owned();
        // Another task that an upkeep had ended before and that has not begun again.
        let is_away = begun.iter().any(|other| {
            index_of(other) != index_of(ended)
                && other
                    .end
                    .is_some_and(|(at, how)| how == "crashed" && at <= upkeep.at_ms)
                && !begun.iter().any(|again| {
                    again.task == other.task
                        && again.at_ms >= other.at_ms
                        && again.run != other.run
                        && again.at_ms <= upkeep.at_ms
                })
        });
        if is_away {
            broken.push(format!(
                "at {} ms the upkeep of {} ended task {} at work while the other task of the step was away",
                upkeep.at_ms, upkeep.machine, ended.task
            ));
        }
    }
    Ok(match broken.first() {
        Some(line) => Verdict::Broken(line.clone()),
        None => Verdict::Held(format!("{} upkeeps, at most one task away by them", upkeeps.len())),
    })
}

/// ROUTE: workers crash and start again under their ids as another kind, while tasks wait that require the first kind.
pub fn kind(fleet: &Fleet, is_troubled: bool) -> Result<Verdict, Failure> {
    const OTHER_KIND: &str = "b";
    fleet.wait_until_ready()?;
    let slots = fleet.workers.len() * 2;
    let count = slots * 3;
    let step = format!(
        r#"{{"count":{count},"cpu":16000,"mem_mb":1024,"estimate_ms":8000,"requires":"{}"}}"#,
        Worker::KIND
    );
    fleet.submit(0, JOB, "work_ms=8000", &step)?;
    fleet.wait_until("all workers are full", Duration::from_secs(10), || {
        fleet.begun(JOB).len() >= slots
    })?;
    sleep(ms(2_000));
    if is_troubled {
        // 0.14 of the workers.
        let crashed: Vec<_> = fleet.workers.iter().step_by(8).take(3).collect();
        crashed.iter().for_each(|worker| worker.crash());
        sleep(ms(3_000));
        for worker in &crashed {
            worker.restart(OTHER_KIND, |worker| fleet.register(worker));
        }
    }
    sleep(ms(8_000));
    let begun = fleet.begun(JOB);
    let wrong: Vec<_> = begun.iter().filter(|run| run.kind != Worker::KIND).collect();
    let example = wrong.first().map_or(String::new(), |run| {
        format!(
            "; task {} run {} on {} of kind {} at {} ms",
            run.task, run.run, run.worker, run.kind, run.at_ms
        )
    });
    let facts = format!(
        "{} of {} starts on workers without the label{example}",
        wrong.len(),
        begun.len()
    );
    Ok(if wrong.is_empty() {
        Verdict::Held(facts)
    } else {
        Verdict::Broken(facts)
    })
}

/// BUDGET, beyond the five cases: the scheduling instance is killed twice, each time soon after a task has crashed the worker
/// that started it.
pub fn crashes(fleet: &Fleet, is_troubled: bool) -> Result<Verdict, Failure> {
    const AFTER_MS: u64 = 300;
    let mut holder = fleet.wait_until_ready()?;
    let step = r#"{"count":1,"cpu":1000,"mem_mb":128,"estimate_ms":1000}"#;
    fleet.submit(holder, JOB, Worker::CRASHING_SPEC, step)?;
    for start in [2, 4].into_iter().filter(|_| is_troubled) {
        fleet.wait_until("the task starts once more", Duration::from_secs(30), || {
            fleet.begun(JOB).len() >= start
        })?;
        sleep(ms(AFTER_MS));
        holder = fleet.holder().unwrap_or(holder);
        fleet.kill_instance(&fleet.instances[holder]);
        sleep(ms(1_000));
        fleet.start_instance(&fleet.instances[holder])?;
    }
    let other = (holder + 1) % fleet.instances.len();
    fleet.wait_until("the job is given up", Duration::from_secs(60), || {
        fleet.state(other, JOB).is_ok_and(|state| state == "failed")
    })?;
    let starts = fleet.begun(JOB);
    let times: Vec<_> = starts.iter().map(|run| run.at_ms).collect();
    let facts = format!(
        "{} starts, each of which crashed its worker, at {times:?} ms",
        starts.len()
    );
    // Three more after three workers have crashed.
    Ok(if starts.len() >= 6 {
        Verdict::Broken(facts)
    } else {
        Verdict::Held(facts)
    })
}
