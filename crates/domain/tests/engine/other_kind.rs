//! Workers that restart under their id as another kind.

use domain::JobState;

use crate::simulation::{Simulation, job, step};

/// Guards against starts by the entry of a former process (ROUTE): the report shows that the worker has restarted before the
/// list shows its new kind, which lacks the label that the tasks require.
#[test]
fn nothing_starts_by_the_entry_of_a_former_process() {
    let mut sim = Simulation::new(1, 2);
    let mut shape = step(2, 8, 600_000);
    shape.required_label = Some("a".into());
    let running = sim.submit(job("a", 1, shape.clone()));
    let waiting = sim.submit(job("b", 1, shape));
    sim.run_until(1_000, |sim| sim.workers_of(&running).len() == 2);
    sim.run_for(500);
    let worker = sim.workers_of(&running)[0].clone();
    sim.crashes.downtime_ms = 1_000;
    sim.crashes.is_entry_late = true;
    sim.crash(&worker);
    sim.workers.get_mut(&worker).unwrap().kind = "b".into();
    let starts = sim.starts.len();
    sim.run_for(6_000);
    assert_eq!(sim.starts.len(), starts, "{:?}", sim.starts);
    assert_eq!(sim.state(&waiting), JobState::Queued);
    sim.assert_no_violations();
}

/// Guards against starts beyond the capacity of a new process (LIMIT) once its entry is known.
#[test]
fn smaller_capacity_of_a_new_process_is_respected() {
    let mut sim = Simulation::new(1, 1);
    let first = sim.submit(job("a", 1, step(2, 4, 600_000)));
    sim.run_until(1_000, |sim| sim.workers_of(&first).len() == 1);
    sim.run_for(500);
    let worker = sim.workers_of(&first)[0].clone();
    sim.crashes.downtime_ms = 1_000;
    sim.crashes.is_entry_late = true;
    sim.crash(&worker);
    sim.run_for(100);
    sim.set_accelerators(&worker, 0);
    sim.run_until(2_000, |sim| !sim.workers[&worker].is_unresponsive);
    sim.run_for(400);
    let starts = sim.starts.len();
    sim.submit(job("b", 1, step(2, 1, 600_000)));
    sim.run_for(6_000);
    assert_eq!(sim.starts.len(), starts, "{:?}", sim.starts);
    sim.assert_no_violations();
}

/// Guards against a worker that gets no work after its restart until its entry is known, although the work suits any kind.
#[test]
fn restarted_worker_gets_work_at_once() {
    let mut sim = Simulation::new(1, 1);
    let id = sim.submit(job("a", 1, step(2, 4, 3_000)));
    sim.run_until(1_000, |sim| sim.workers_of(&id).len() == 1);
    sim.run_for(500);
    let worker = sim.workers_of(&id)[0].clone();
    sim.crashes.downtime_ms = 1_000;
    sim.crashes.is_entry_late = true;
    sim.crash(&worker);
    sim.run_for(50);
    sim.run_until(2_000, |sim| !sim.workers[&worker].is_unresponsive);
    let took_ms = sim.run_until(2_000, |sim| sim.starts_of(&format!("{id}.0.0.1")) == 2);
    assert!(took_ms <= 200, "{took_ms} ms");
    sim.run_until(12_000, |sim| sim.state(&id) == JobState::Done);
    sim.assert_no_violations();
}
