//! Size of the rows that hold the progress of jobs.

use domain::{JobState, Progress, Resources, Step};

use crate::simulation::{FAILING_SPEC, Simulation, job, step};

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

/// Guards against a row that grows with every failure of a task that lasts, which starts again however it ends.
#[test]
fn failures_of_a_task_that_lasts_are_not_kept() {
    let mut sim = Simulation::new(1, 4);
    let mut lasting = job("a", 1, small_step(1, 100));
    lasting.spec = FAILING_SPEC.into();
    lasting.steps[0].is_long_running = true;
    let id = sim.submit(lasting);
    let task = format!("{id}.0.0.0");
    sim.run_until(60_000, |sim| sim.starts_of(&task) > 20);
    let failed: Vec<_> = sim.store[&id].progress.steps[&0][&0].failed.values().collect();
    assert!(failed.iter().all(|runs| runs.len() == 1), "{failed:?}");
    sim.assert_no_violations();
}

/// Guards against a job whose row the store refuses and that keeps all other jobs from progress: no end of theirs becomes
/// durable, and they do not start again after a crash.
#[test]
fn row_that_is_too_large_holds_up_no_other_job() {
    let mut sim = Simulation::new(1, 4);
    let mut large = job("a", 1, small_step(2_000, 100));
    large.spec = FAILING_SPEC.into();
    large.attempts = 1_000;
    let large = sim.submit(large);
    let crashing = sim.submit(job("b", 1, step(1, 2, 20_000)));
    sim.run_for(10_000);
    let worker = sim.workers_of(&crashing)[0].clone();
    sim.crash(&worker);
    let other = sim.submit(job("c", 1, step(1, 2, 500)));
    sim.run_until(5_000, |sim| sim.state(&other) == JobState::Done);
    sim.run_until(5_000, |sim| sim.starts_of(&format!("{crashing}.0.0.0")) == 2);
    sim.run_until(30_000, |sim| sim.state(&crashing) == JobState::Done);
    assert_eq!(sim.state(&large), JobState::Failed);
    sim.assert_no_violations();
}

/// Guards against a job that stops all writes because thousands of its tasks start at the same moment: the trials of
/// their runs, which a row can do without, make it too large.
#[test]
fn job_of_many_tasks_that_start_together_is_written() {
    let mut sim = Simulation::new(1, 4);
    let id = sim.submit(job("a", 1, small_step(4_000, 60_000)));
    sim.run_until(300, |sim| sim.state(&id) == JobState::Running);
    assert_eq!(sim.refused_commits, 0);
    sim.run_for(2_000);
    assert_eq!(sim.state(&id), JobState::Running);
    sim.assert_no_violations();
}

/// Guards against a job that is shown as failed (LOST) as its row is too large: workers crash under thousands of its tasks
/// at once, when a data centre loses power. The crashes are remembered over a takeover.
#[test]
fn crashes_under_thousands_of_tasks_fit_into_a_row() {
    let mut sim = Simulation::new(1, 4);
    let mut shape = small_step(4_000, 600_000);
    shape.need.cpu_milli = 20;
    let id = sim.submit(job("a", 1, shape));
    sim.run_until(5_000, |sim| sim.engine.stats().running == 4_000);
    sim.run_for(1_500);
    let crashed = sim.workers_of(&id)[0].clone();
    let runs = sim.workers[&crashed].runs.len();
    assert!(runs > 1_500, "{runs}");
    sim.crash(&crashed);
    sim.run_until(10_000, |sim| sim.starts.len() == 4_000 + runs);
    sim.run_for(2_000);
    for _ in 0..2 {
        assert_eq!(sim.state(&id), JobState::Running);
        let progress = &sim.store[&id].progress.steps[&0][&0];
        assert_eq!(progress.all_crashes().count(), runs);
        assert!(progress.all_crashes().all(|(_, crashes)| crashes.total == 1));
        sim.take_over();
        sim.run_for(2_000);
    }
    assert!(
        sim.largest_row_bytes < Simulation::ROW_BYTES,
        "{} bytes",
        sim.largest_row_bytes
    );
    assert_eq!(sim.refused_commits, 0);
    sim.assert_no_violations();
}

/// Guards against a commit that is larger than a transaction of the store may be.
#[test]
fn commit_of_many_large_rows_fits_into_a_transaction() {
    let mut sim = Simulation::new(1, 4);
    let ids: Vec<_> = (0..60)
        .map(|number| sim.submit(job(&format!("{number}"), 1, small_step(600, 60_000))))
        .collect();
    sim.run_until(1_000, |sim| ids.iter().all(|id| sim.state(id) == JobState::Running));
    assert_eq!(sim.refused_commits, 0);
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
