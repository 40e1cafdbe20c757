//! Steps of which only some tasks may be interrupted at the same time.

use compact_str::CompactString;
use domain::{Job, Wave, WaveProgress};
use rstest::rstest;

use crate::simulation::{Simulation, job, step};

const WITHIN_MS: u64 = 20_000;

/// Returns a job of tasks that serve users until it is cancelled; one of them at a time may be interrupted.
fn serving_job(count: u32, accelerators: u64, max_per_worker: u32) -> Job {
    let mut serving = step(count, accelerators, 1_000_000);
    serving.is_long_running = true;
    serving.max_unavailable = 1;
    serving.max_per_worker = max_per_worker;
    job("a", 1, serving)
}

/// Requests a wave in which all machines of some workers may be down at once; runs until it is done.
fn maintain(sim: &mut Simulation, workers: &[CompactString]) {
    sim.request_wave(Wave {
        number: 1,
        machines: workers.iter().map(|worker| format!("m-{worker}").into()).collect(),
        within_ms: WITHIN_MS,
        most_down: workers.len(),
    });
    sim.run_until(WITHIN_MS, |sim| sim.waves.get(&1) == Some(&WaveProgress::Done));
    assert_eq!(sim.maintained(1), workers.len());
}

/// Guards against a wave that ends several tasks of a step at once, although only one may be unavailable (AVAIL).
#[rstest]
#[case::two_machines(2, 6)]
#[case::three_machines(3, 6)]
#[case::no_room_elsewhere(2, 2)]
fn wave_ends_one_task_of_a_step_at_a_time(#[case] count: u32, #[case] workers: u32) {
    let mut sim = Simulation::new(1, workers);
    let id = sim.submit(serving_job(count, 8, 1));
    sim.run_until(2_000, |sim| sim.workers_of(&id).len() == count as usize);
    sim.run_for(2_000);
    let machines = sim.workers_of(&id);
    maintain(&mut sim, &machines);
    sim.run_for(2_000);
    sim.assert_no_violations();
}

/// Guards against a machine whose maintenance would end two tasks of a step at once (AVAIL), and against a wave that is
/// never done as that may not be: the tasks move to another worker one after the other.
#[test]
fn tasks_that_share_a_machine_leave_it_one_at_a_time() {
    let mut sim = Simulation::new(1, 2);
    let id = sim.submit(serving_job(3, 2, 0));
    sim.run_until(2_000, |sim| sim.workers_of(&id).len() == 1);
    sim.run_for(2_000);
    let machines = sim.workers_of(&id);
    maintain(&mut sim, &machines);
    sim.assert_no_violations();
}

/// Guards against a task that is stopped for a move although it has no other place to go to.
#[test]
fn tasks_that_share_a_machine_stay_without_room_elsewhere() {
    let mut sim = Simulation::new(1, 1);
    let id = sim.submit(serving_job(3, 2, 0));
    sim.run_until(2_000, |sim| sim.starts.len() == 3);
    sim.run_for(2_000);
    let worker = sim.workers_of(&id)[0].clone();
    sim.request_wave(Wave {
        number: 1,
        machines: vec![format!("m-{worker}").into()],
        within_ms: WITHIN_MS,
        most_down: 1,
    });
    sim.run_for(WITHIN_MS);
    assert_eq!((sim.starts.len(), sim.interrupted_runs), (3, 0));
    sim.assert_no_violations();
}
