//! Tasks whose turn has come beside workers with room for them.

use domain::Step;

use crate::simulation::{FAILING_SPEC, Simulation, job, step};

/// Time after which callers miss a job that has nothing running beside idle workers.
const MISSED_AFTER_MS: u64 = 3_000;

/// Returns a gang that has to run in one rack.
fn rack_gang(count: u32, accelerators: u64, estimate_ms: u64) -> Step {
    Step {
        is_gang: true,
        is_same_rack: true,
        ..step(count, accelerators, estimate_ms)
    }
}

/// Starts a task that lasts on a worker of each rack.
fn occupy_one_worker_of_each_rack(sim: &mut Simulation, racks: u32) {
    for rack in 0..racks {
        let mut lasting = step(1, 1, 600_000);
        lasting.is_long_running = true;
        lasting.required_label = Some(format!("r{rack}").into());
        sim.submit(job(&format!("e{rack}"), 1, lasting));
    }
    sim.run_for(300);
    assert_eq!(sim.engine.stats().running, u64::from(racks));
}

/// Guards against a ready task that waits beside idle workers without any line that says which rule keeps it there.
#[test]
fn log_names_the_rule_that_keeps_a_ready_task_from_workers_with_room() {
    let mut sim = Simulation::new(1, 3);
    sim.permitted_workers = vec!["another".into()];
    let mut advised = job("a", 1, step(1, 2, 300));
    advised.route = "route-advised".into();
    let id = sim.submit(advised);
    sim.run_for(2_500);
    let line = sim.log_lines.iter().find(|line| line.contains("tasks_wait"));
    insta::assert_snapshot!(line.expect("the wait is logged"), @"3170 tasks_wait job=000000000000000a occurrence=0 step=0 idle_ms=1960 priority=1 cause=turn needed=1 in_use_percent=0 room=3 unpermitted=3");
    let explanation = sim.engine.explain(&id, sim.now_ms).expect("the job is open");
    assert_eq!(explanation.steps[0].idle_ms, Some(2_490));
    assert_eq!(explanation.steps[0].workers.map(|tally| tally.unpermitted), Some(3));
    assert_eq!(sim.engine.stats().withheld_steps, 1);
}

/// Guards against gangs that reserve all racks although a task that lasts keeps each rack from becoming free: work of
/// lower priority started nowhere beside idle workers.
#[test]
fn gangs_that_fit_no_rack_keep_no_other_work_from_idle_workers() {
    let mut sim = Simulation::new(2, 4);
    occupy_one_worker_of_each_rack(&mut sim, 2);
    for number in 0..2 {
        sim.submit(job(&format!("a{number}"), 1, rack_gang(4, 8, 60_000)));
    }
    sim.run_for(100);
    let small = sim.submit(job("b", 2, step(1, 1, 500)));
    sim.run_until(MISSED_AFTER_MS, |sim| !sim.workers_of(&small).is_empty());
    sim.assert_no_violations();
}

/// Guards against gangs that wait for racks with long work and keep all racks reserved until it ends.
#[test]
fn gangs_that_wait_for_racks_leave_room_for_other_work() {
    let mut sim = Simulation::new(2, 4);
    for rack in 0..2 {
        let mut long = step(1, 1, 600_000);
        long.required_label = Some(format!("r{rack}").into());
        sim.submit(job(&format!("e{rack}"), 1, long));
    }
    sim.run_for(300);
    for number in 0..2 {
        sim.submit(job(&format!("a{number}"), 1, rack_gang(4, 8, 60_000)));
    }
    sim.run_for(100);
    let small = sim.submit(job("b", 2, step(1, 1, 500)));
    sim.run_until(MISSED_AFTER_MS, |sim| !sim.workers_of(&small).is_empty());
    sim.assert_no_violations();
}

/// Guards against a gang that waits for one rack for twice its run time while most workers are idle.
#[test]
fn gang_spreads_over_racks_rather_than_wait_beside_idle_workers() {
    let mut sim = Simulation::new(2, 4);
    occupy_one_worker_of_each_rack(&mut sim, 2);
    let gang = sim.submit(job("a", 1, rack_gang(4, 8, 60_000)));
    sim.run_until(MISSED_AFTER_MS, |sim| sim.workers_of(&gang).len() == 4);
    sim.assert_no_violations();
}

/// Guards against a task that waits for the rack of its data, which has left for good, for twice its run time.
#[test]
fn task_whose_data_rack_has_left_starts_elsewhere() {
    let mut sim = Simulation::new(2, 4);
    let mut near = step(1, 1, 60_000);
    near.data_rack = Some("r9".into());
    let id = sim.submit(job("a", 1, near));
    sim.run_until(200, |sim| !sim.workers_of(&id).is_empty());
    sim.assert_no_violations();
}

/// Guards against a job that waits for a full data rack beside idle workers, and against one that then runs as a whole
/// away from its data.
#[test]
fn job_whose_data_rack_is_full_starts_one_task_elsewhere() {
    let mut sim = Simulation::new(3, 2);
    let mut full = step(2, 8, 60_000);
    full.data_rack = Some("r0".into());
    sim.submit(job("a", 1, full));
    sim.run_for(300);
    let mut near = step(4, 1, 30_000);
    near.data_rack = Some("r0".into());
    let id = sim.submit(job("b", 1, near));
    sim.run_until(MISSED_AFTER_MS, |sim| !sim.workers_of(&id).is_empty());
    sim.run_for(MISSED_AFTER_MS);
    let starts = sim.starts.iter().filter(|(_, task, _)| task.starts_with(id.as_str()));
    assert_eq!(starts.count(), 1);
    sim.assert_no_violations();
}

/// Guards against sound workers that are all excluded together because many jobs fail by their own fault.
#[test]
fn jobs_that_always_fail_keep_no_other_job_from_idle_workers() {
    let mut sim = Simulation::new(2, 4);
    for number in 0..60 {
        let mut failing = job(&format!("f{number}"), 1, step(2, 4, 500));
        failing.spec = FAILING_SPEC.into();
        sim.submit(failing);
        sim.run_for(200);
    }
    let sound = sim.submit(job("a", 2, step(1, 1, 500)));
    sim.run_until(MISSED_AFTER_MS, |sim| !sim.workers_of(&sound).is_empty());
    sim.assert_no_violations();
}

/// Guards against excluding most workers of a service: if most fail their runs, the fault is not with the workers.
#[test]
fn at_most_a_third_of_the_workers_is_excluded_at_once() {
    let mut sim = Simulation::new(3, 4);
    for worker in sim.workers.values_mut() {
        worker.fails_all = true;
    }
    for number in 0..60 {
        sim.submit(job(&format!("f{number}"), 1, step(2, 4, 500)));
        sim.run_for(50);
        let id = sim.submit(job(&format!("a{number}"), 1, step(1, 1, 500)));
        let explanation = sim.engine.explain(&id, sim.now_ms).expect("the job is open");
        let excluded = explanation.steps[0].workers.map_or(0, |tally| tally.excluded);
        assert!(excluded <= 4, "{excluded} of 12 workers are excluded");
        sim.cancel(&id);
    }
    sim.assert_no_violations();
}

/// Guards against a task that lasts and fails once, and then waits behind all newer finite work of its priority.
#[test]
fn failed_task_that_lasts_starts_before_newer_work() {
    let mut sim = Simulation::new(1, 4);
    let mut lasting = step(1, 1, 600_000);
    lasting.is_long_running = true;
    let served = sim.submit(job("a", 1, lasting));
    sim.run_for(12_000);
    for number in 0..80 {
        sim.submit(job(&format!("b{number}"), 1, step(1, 4, 4_000)));
    }
    sim.run_for(500);
    let worker = sim.workers_of(&served)[0].clone();
    sim.workers.get_mut(&worker).unwrap().fails_all = true;
    sim.run_for(100);
    sim.workers.get_mut(&worker).unwrap().fails_all = false;
    for number in 0..20 {
        sim.submit(job(&format!("c{number}"), 1, step(1, 4, 4_000)));
        sim.run_for(300);
    }
    assert_eq!(sim.workers_of(&served).len(), 1, "{}", sim.log_lines.join("\n"));
    sim.assert_no_violations();
}

/// Guards against a wide gang that asks the placement service again and again, because its first tickets expire before it
/// has enough, while other steps wait for their first answer.
#[test]
fn steps_take_turns_in_asking_for_placement_hints() {
    let mut sim = Simulation::new(6, 8);
    sim.hint_call_ms = 1_000;
    let mut gang = step(44, 8, 5_000);
    gang.is_gang = true;
    let mut wide = job("a", 1, gang);
    wide.route = "route-advised".into();
    sim.submit(wide);
    sim.run_for(500);
    let mut advised = job("b", 2, step(1, 1, 500));
    advised.route = "route-advised".into();
    let id = sim.submit(advised);
    sim.run_until(MISSED_AFTER_MS, |sim| !sim.workers_of(&id).is_empty());
    sim.assert_no_violations();
}

/// Guards against overdue work that takes the room for which other runs were just stopped, so that urgent work within its
/// guarantee misses its time and more runs are stopped for it.
#[test]
fn overdue_work_leaves_preempted_room_to_urgent_work() {
    let mut sim = Simulation::new(1, 4);
    for number in 0..32 {
        sim.submit(job(&format!("e{number}"), 2, step(1, 1, 600_000)));
    }
    sim.run_for(300);
    let mut lasting = step(4, 4, 600_000);
    lasting.is_long_running = true;
    let served = sim.submit(job("a", 2, lasting));
    sim.run_for(2_500);
    assert!(sim.workers_of(&served).is_empty());
    let mut gang = step(4, 4, 5_000);
    gang.is_gang = true;
    let mut urgent = job("b", 0, gang);
    urgent.objective_ms = 250;
    let id = sim.submit(urgent);
    sim.run_until(2_700, |sim| !sim.workers_of(&id).is_empty());
    assert!(sim.workers_of(&served).is_empty());
    assert_eq!(sim.engine.stats().preempted, 16);
    sim.assert_no_violations();
}

/// Guards against a wait that no line shows, since no worker counts as usable at the scheduler.
#[test]
fn log_shows_a_task_that_waits_because_all_workers_are_silent() {
    let mut sim = Simulation::new(1, 3);
    for worker in sim.workers.values_mut() {
        worker.is_unresponsive = true;
    }
    sim.run_for(1_000);
    sim.submit(job("a", 1, step(1, 2, 300)));
    sim.run_for(2_500);
    let line = sim.log_lines.iter().find(|line| line.contains("tasks_wait"));
    let line = line.expect("the wait is logged");
    assert!(line.contains("room=0 room_behind=3 silent=3"), "{line}");
}

/// Guards against a step that is not asked about further workers, because those that it may use have room but hold as many
/// of its tasks as they may.
#[test]
fn workers_with_enough_tasks_of_a_step_do_not_stand_for_others() {
    let mut sim = Simulation::new(5, 8);
    sim.hint_call_ms = 50;
    sim.permitted_workers = vec!["w0-0".into(), "w4-7".into()];
    let mut lasting = step(2, 1, 600_000);
    lasting.is_long_running = true;
    lasting.max_per_worker = 1;
    let mut advised = job("a", 1, lasting);
    advised.route = "route-advised".into();
    let id = sim.submit(advised);
    sim.run_until(1_000, |sim| sim.workers_of(&id).len() == 2);
    sim.assert_no_violations();
}
