//! Jobs on healthy workers.

use domain::{JobState, TaskName};
use rstest::rstest;

use crate::simulation::{Simulation, job, step};

#[test]
fn job_of_dependent_steps_runs_in_order() {
    let mut sim = Simulation::new(1, 2);
    let mut dependent = job("a", 1, step(3, 1, 400));
    let mut second = step(2, 1, 300);
    second.after = [0].into_iter().collect();
    dependent.steps.push(second);
    let id = sim.submit(dependent);
    let elapsed_ms = sim.run_until(2_000, |sim| sim.state(&id) == JobState::Done);
    assert!(elapsed_ms >= 700, "{elapsed_ms}");
    sim.assert_no_violations();
    let steps: Vec<_> = sim
        .starts
        .iter()
        .map(|(_, task, _)| task.parse::<TaskName>().unwrap().step)
        .collect();
    assert_eq!(steps, [0, 0, 0, 1, 1]);
}

#[rstest]
#[case::same_rack(true, 1)]
#[case::any_rack(false, 2)]
fn gang_stays_in_one_rack_if_required(#[case] is_same_rack: bool, #[case] most_racks: usize) {
    let mut sim = Simulation::new(2, 4);
    let mut gang = step(4, 8, 500);
    gang.is_gang = true;
    gang.is_same_rack = is_same_rack;
    let id = sim.submit(job("a", 1, gang));
    sim.run_for(100);
    let mut racks: Vec<_> = sim
        .workers_of(&id)
        .iter()
        .map(|worker| sim.workers[worker].rack.clone())
        .collect();
    racks.sort();
    racks.dedup();
    assert!(racks.len() <= most_racks && !racks.is_empty(), "{racks:?}");
    sim.run_until(2_000, |sim| sim.state(&id) == JobState::Done);
    sim.assert_no_violations();
}

#[test]
fn max_per_worker_limits_the_tasks_on_a_worker() {
    let mut sim = Simulation::new(1, 4);
    let mut apart = step(4, 1, 500);
    apart.max_per_worker = 1;
    let id = sim.submit(job("a", 1, apart));
    sim.run_for(100);
    assert_eq!(sim.workers_of(&id).len(), 4);
    sim.assert_no_violations();
}

#[test]
fn job_fails_when_a_task_uses_up_its_attempts() {
    let mut sim = Simulation::new(1, 2);
    for worker in sim.workers.values_mut() {
        worker.fails_all = true;
    }
    let id = sim.submit(job("a", 1, step(1, 1, 500)));
    sim.run_until(10_000, |sim| sim.state(&id) == JobState::Failed);
    assert_eq!(sim.starts.len(), 3);
    sim.assert_no_violations();
}

/// Guards against charges that cannot be traced to a run and its worker after the worker has discarded the run end.
#[test]
fn every_run_leaves_a_durable_record() {
    let mut sim = Simulation::new(1, 2);
    sim.workers.get_mut("w0-0").unwrap().fails_all = true;
    let mut many = job("a", 1, step(250, 1, 300));
    many.attempts = 100;
    let many = sim.submit(many);
    let mut gang = step(2, 4, 500);
    gang.is_gang = true;
    let mut together = job("b", 1, gang);
    together.attempts = 100;
    let together = sim.submit(together);
    sim.run_for(1_000);
    sim.workers.get_mut("w0-0").unwrap().fails_all = false;
    sim.take_over();
    sim.run_until(60_000, |sim| {
        [&many, &together].iter().all(|id| sim.state(id) == JobState::Done)
    });
    sim.run_for(1_000);
    for id in [&many, &together] {
        let mut started: Vec<_> = sim
            .starts
            .iter()
            .filter(|(_, task, _)| task.starts_with(id.as_str()))
            .map(|(_, task, worker)| (task.parse::<TaskName>().unwrap().index, worker.clone()))
            .collect();
        let mut recorded: Vec<_> = sim
            .records_of(id)
            .into_iter()
            .map(|record| (record.index, record.worker))
            .collect();
        started.sort();
        recorded.sort();
        assert_eq!(started, recorded);
    }
    sim.assert_no_violations();
}

/// Guards against rows that are never deleted, which a new scheduler would have to read, and against jobs that are
/// deleted before the retention has passed.
#[rstest]
#[case::same_scheduler(false)]
#[case::after_a_takeover(true)]
fn rows_of_a_final_job_are_deleted_after_the_retention(#[case] takes_over: bool) {
    let mut sim = Simulation::new(1, 1);
    let old = sim.submit(job("a", 1, step(2, 1, 300)));
    sim.run_until(2_000, |sim| sim.state(&old) == JobState::Done);
    sim.run_for(300);
    if takes_over {
        sim.take_over();
    }
    let keep_ms = domain::Limits::default().keep_finished_ms;
    sim.run_for(keep_ms - 10_000);
    assert!(sim.store.contains_key(&old));
    let open = sim.submit(job("b", 1, step(1, 1, 60_000)));
    sim.run_for(11_000);
    assert!(!sim.store.contains_key(&old) && sim.store.contains_key(&open));
    assert_eq!(sim.records_of(&old).len(), 2);
    sim.assert_no_violations();
}

#[test]
fn cancelled_job_stops_its_runs() {
    let mut sim = Simulation::new(1, 1);
    let id = sim.submit(job("a", 1, step(4, 1, 60_000)));
    sim.run_for(200);
    sim.cancel(&id);
    sim.run_for(500);
    assert_eq!((sim.state(&id), sim.engine.stats().running), (JobState::Cancelled, 0));
    sim.assert_no_violations();
}

/// Guards against an urgent job that misses its objective because work of lower priority holds the capacity, whatever
/// preempting that work costs.
#[rstest]
#[case::little_is_lost(true, 500)]
#[case::much_is_lost(false, 1_750)]
fn urgent_job_preempts_jobs_of_lower_priority(#[case] saves_checkpoints: bool, #[case] start_within_ms: u64) {
    let mut sim = Simulation::new(1, 2);
    let mut background = step(2, 8, 60_000);
    background.saves_checkpoints = saves_checkpoints;
    let long = sim.submit(job("a", 2, background));
    sim.run_for(2_000);
    let mut urgent = job("b", 0, step(1, 8, 500));
    urgent.objective_ms = 250;
    let objective_ms = 3 * 500 + 250;
    let id = sim.submit(urgent);
    let started_ms = sim.run_until(start_within_ms, |sim| !sim.workers_of(&id).is_empty());
    let ended_ms = started_ms + sim.run_until(2_000, |sim| sim.state(&id) == JobState::Done);
    assert!(ended_ms <= objective_ms, "{ended_ms} of {objective_ms} ms");
    sim.run_until(2_000, |sim| sim.workers_of(&long).len() == 2);
    sim.assert_no_violations();
}

/// Guards against freed capacity that goes to small waiting tasks while stops for a wide urgent gang are still listed.
/// The time limit is that of the guarantee, or that of a few stops where these lose little work.
#[rstest]
#[case::little_is_lost(true, 600)]
#[case::much_is_lost(false, 2_700)]
fn wide_urgent_gang_keeps_the_capacity_freed_for_it(#[case] saves_checkpoints: bool, #[case] start_within_ms: u64) {
    let mut sim = Simulation::new(2, 8);
    for number in 0..8 {
        let mut small = step(40, 1, 3_000 + 700 * number);
        small.saves_checkpoints = saves_checkpoints;
        sim.submit(job(&format!("{number}"), 2, small));
    }
    sim.run_for(2_000);
    let mut gang = step(6, 8, 500);
    gang.is_gang = true;
    gang.is_same_rack = true;
    let mut urgent = job("abc", 0, gang);
    urgent.objective_ms = 60_000;
    let id = sim.submit(urgent);
    sim.run_until(start_within_ms, |sim| sim.workers_of(&id).len() == 6);
    sim.assert_no_violations();
}

/// Guards against a transaction with more entries than the store accepts: it was refused permanently, and no run end of
/// any job became durable.
#[test]
fn commits_of_many_simultaneous_jobs_fit_into_transactions() {
    let mut sim = Simulation::new(8, 8);
    for number in 0..60 {
        sim.submit(job(&format!("{number}"), 1, step(2, 1, 300)));
    }
    sim.run_until(3_000, |sim| {
        sim.store.values().all(|stored| stored.progress.state == JobState::Done)
    });
    sim.assert_no_violations();
}

/// Guards against tasks that are never considered because many placement units ahead of them cannot be placed.
#[test]
fn long_queue_of_blocked_jobs_does_not_starve_others() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..400 {
        let mut impossible = step(1, 1, 500);
        impossible.required_label = Some("no-such-kind".into());
        sim.submit(job(&format!("{number}"), 0, impossible));
    }
    let id = sim.submit(job("abcdef", 2, step(2, 1, 300)));
    sim.run_until(3_000, |sim| sim.state(&id) == JobState::Done);
    sim.assert_no_violations();
}
