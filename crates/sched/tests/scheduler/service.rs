//! Guards against lost jobs and unbounded work in store outages, mass cancellations, planned stops and takeovers.

use crate::common::{Defect, Fault, FirstFitSimulation, Step, check, job, scenario};
use model::{JobState, Outcome};
use rstest::rstest;

fn states(sim: &FirstFitSimulation) -> Vec<JobState> {
    sim.specs
        .iter()
        .map(|spec| sim.table.rows[&spec.id()].0.state)
        .collect()
}

#[test]
fn only_idempotent_jobs_start_during_a_store_outage() {
    let mut sim = FirstFitSimulation::new(2, None);
    sim.run_until(1_000);
    sim.arm_fault(Some(Fault::StoreDown), Step::Record, 0);
    sim.submit(job("once", false, 1, 500));
    sim.submit(job("again", true, 1, 500));
    sim.run_until(5_000);
    let ran: Vec<String> = sim.outcomes.iter().map(|(id, _)| id.to_string()).collect();
    assert_eq!(ran, ["org/again"], "answered during the outage");
    assert!(
        sim.workers
            .iter()
            .flat_map(|worker| &worker.start_log)
            .all(|s| s.task.job.request.as_str() == "again")
    );
    sim.run_until(20_000);
    assert_eq!(states(&sim), [JobState::Finished; 2]);
    assert_eq!(check(&sim), Vec::<String>::new());
}

#[test]
fn planned_stop_stops_no_task() {
    let sim = scenario(&[], Some(Step::Stop), None);
    assert_eq!(check(&sim), Vec::<String>::new());
    assert_eq!(states(&sim), [JobState::Finished; 5]);
    let early = sim
        .workers
        .iter()
        .flat_map(|worker| &worker.start_log)
        .filter(|s| s.state == model::TaskState::Stopped);
    let stopped: Vec<String> = early.map(|s| s.task.job.to_string()).collect();
    assert!(
        stopped.iter().all(|job| job == "org/again"),
        "only the preemption stops tasks: {stopped:?}"
    );
}

/// On a revocation, a worker may merely refuse new starts. Guards against running tasks that nothing then stops.
#[rstest]
#[case::no_fault(None)]
#[case::cancelled(Some(Fault::Cancelled))]
#[case::worker_killed(Some(Fault::WorkerKilled))]
#[case::holder_killed(Some(Fault::HolderKilled))]
fn tasks_that_outlive_a_revocation_are_stopped(#[case] fault: Option<Fault>) {
    let armed: Vec<_> = fault
        .map(|fault| crate::common::ArmedFault::new(fault, Step::Run, 1))
        .into_iter()
        .collect();
    let sim = scenario(&armed, None, Some(Defect::KeepsTasksOnRevoke));
    assert_eq!(check(&sim), Vec::<String>::new());
}

#[test]
fn mass_cancellation_ends_every_job_once() {
    let mut sim = FirstFitSimulation::new(4, None);
    sim.run_until(1_000);
    for n in 0..400 {
        sim.submit(job(&format!("j{n}"), n % 2 == 0, 1, 60_000));
    }
    sim.run_until(2_000);
    for spec in sim.specs.clone() {
        sim.cancel(&spec.id());
        sim.cancel(&spec.id());
    }
    let before = sim.action_count;
    sim.run_until(12_000);
    assert_eq!(check(&sim), Vec::<String>::new());
    assert_eq!(states(&sim), vec![JobState::Cancelled; 400]);
    assert_eq!(sim.outcomes.len(), 400);
    let started = sim
        .outcomes
        .iter()
        .filter(|(_, o)| matches!(o, Outcome::Cancelled { started: true }))
        .count();
    assert_eq!(started, 16, "as many as fit");
    assert_eq!(sim.jobs_in_memory(), 0);
    // At most a revocation, two writes and three events or outcomes a job, beside renewals, scans and events.
    assert!(
        sim.action_count - before < 400 * 6 + 200,
        "{} actions",
        sim.action_count - before
    );
}

#[test]
fn buffered_attempt_records_are_bounded() {
    let mut sim = FirstFitSimulation::new(4, None);
    sim.set_max_buffered_jobs(3);
    sim.run_until(1_000);
    sim.arm_fault(Some(Fault::StoreDown), Step::Record, 0);
    for n in 0..16 {
        sim.submit(job(&format!("j{n}"), true, 1, 100));
    }
    sim.run_until(7_000);
    let started = sim.workers.iter().map(|worker| worker.start_log.len()).sum::<usize>();
    assert!(started <= 16, "no more than one round of decisions starts: {started}");
    for n in 16..32 {
        sim.submit(job(&format!("j{n}"), true, 1, 100));
    }
    sim.run_until(8_000);
    let later = sim.workers.iter().map(|worker| worker.start_log.len()).sum::<usize>();
    assert_eq!(later, started, "nothing starts while the buffer is full");
    sim.run_until(30_000);
    assert_eq!(states(&sim), [JobState::Finished; 32]);
    assert_eq!(check(&sim), Vec::<String>::new());
}

/// Target of the design: 5 s from the death of the lease holder to the first start on a worker that answers.
#[rstest]
#[case::all_workers_answer(None)]
#[case::one_worker_is_unresponsive(Some(Fault::WorkerFrozen))]
fn first_start_follows_the_death_of_the_lease_holder_within_5_s(#[case] fault: Option<Fault>) {
    for death_ms in (1_000..1_500).step_by(50) {
        let mut sim = FirstFitSimulation::new(2, None);
        sim.run_until(death_ms);
        sim.kill_instance(0);
        sim.arm_fault(fault, Step::Accept, 0);
        sim.submit(job("next", false, 1, 100));
        sim.run_until(death_ms + 5_000);
        let started = sim
            .workers
            .iter()
            .flat_map(|worker| &worker.start_log)
            .map(|s| s.at_ms)
            .min();
        assert!(started.is_some(), "death at {death_ms} ms");
        sim.run_until(30_000);
        assert_eq!(check(&sim), Vec::<String>::new());
    }
}
