//! Size of the rows that hold the progress of jobs.

use domain::{JobState, Progress, Resources, Step};

use crate::simulation::{Simulation, job, step};

/// Returns a step of tasks so small that thousands of them run at once.
fn small_step(count: u32, estimate_ms: u64) -> Step {
    Step {
        need: Resources {
            cpu_milli: 1,
            memory_mib: 1,
            accelerators: 0,
        },
        ..step(count, 0, estimate_ms)
    }
}

/// Guards against a scheduled job whose progress outgrows a row of the store, so that no write of the scheduler succeeds,
/// and against tasks that a successor repeats.
#[test]
fn progress_of_a_scheduled_job_stays_small() {
    const TIMES: u32 = 850;
    let mut sim = Simulation::new(1, 4);
    let mut scheduled = job("a", 1, small_step(1, 100));
    scheduled.steps = vec![small_step(1, 100); 5];
    scheduled.times = TIMES;
    scheduled.first_run_unix_ms = sim.now_ms;
    scheduled.interval_ms = 20;
    let id = sim.submit(scheduled);
    sim.run_for(8_000);
    sim.take_over();
    sim.run_for(8_000);
    sim.take_over();
    sim.run_until(20_000, |sim| sim.state(&id) == JobState::Done);
    assert_eq!(sim.starts.len(), TIMES as usize * 5);
    let largest_bytes = sim.largest_row_bytes;
    assert!(largest_bytes < Simulation::ROW_BYTES / 2, "{largest_bytes} bytes");
    sim.assert_no_violations();
}

/// Guards against a row that grows with the occurrences of which no step can be dropped: the last one finds no worker.
#[test]
fn progress_of_half_done_occurrences_stays_small() {
    const TIMES: u32 = 1_500;
    let mut sim = Simulation::new(1, 4);
    let mut scheduled = job("a", 1, small_step(1, 100));
    scheduled.steps = vec![small_step(1, 100); 4];
    scheduled.steps.push(step(1, 64, 100));
    scheduled.times = TIMES;
    scheduled.first_run_unix_ms = sim.now_ms;
    scheduled.interval_ms = 5;
    sim.submit(scheduled);
    sim.run_until(20_000, |sim| sim.starts.len() == TIMES as usize * 4);
    sim.run_for(2_000);
    let largest_bytes = sim.largest_row_bytes;
    assert!(largest_bytes < Simulation::ROW_BYTES, "{largest_bytes} bytes");
    sim.take_over();
    sim.run_for(1_000);
    assert_eq!(sim.starts.len(), TIMES as usize * 4);
    sim.assert_no_violations();
}

/// Guards against rows of the former release that a new one reads as without progress, so that it repeats their tasks.
#[test]
fn rows_of_the_former_release_are_read() {
    let mut sim = Simulation::new(1, 1);
    let mut scheduled = job("a", 1, small_step(3, 500));
    scheduled.times = 2;
    scheduled.first_run_unix_ms = sim.now_ms + 1_000;
    scheduled.interval_ms = 10;
    let id = sim.submit(scheduled);
    let former = r#"{"state":"running","route":"route-1","organisation":"clyde-koi",
        "steps":{"0":{"0":{"done":[0,1,2]}},"1":{"0":{"done":[1],"failed":{"2":[7]}}}}}"#;
    sim.store.get_mut(&id).unwrap().progress = serde_json::from_str(former).unwrap();
    sim.take_over();
    sim.run_until(5_000, |sim| sim.state(&id) == JobState::Done);
    let mut tasks: Vec<_> = sim.starts.iter().map(|(_, task, _)| task.as_str()).collect();
    tasks.sort_unstable();
    assert_eq!(tasks, [format!("{id}.1.0.0"), format!("{id}.1.0.2")]);
}

/// Guards against a former release that takes over after a row was written that it cannot read in full, and repeats the
/// tasks that are done: it leaves a job out whose row has no `state`.
#[test]
fn row_with_bits_is_unreadable_to_the_former_release() {
    let mut progress = Progress {
        state: JobState::Running,
        ..Progress::default()
    };
    progress.done.insert(70);
    let row = serde_json::to_value(&progress).unwrap();
    assert!(row.get("state").is_none(), "{row}");
    assert_eq!(serde_json::from_value::<Progress>(row).unwrap(), progress);
}
