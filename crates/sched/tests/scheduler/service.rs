//! Behaviour of the whole scheduler: outages, waves and stops that must cost no job and no unbounded work.

use crate::common::{Defect, Fault, Step, World, check, job, scenario};
use model::{JobState, Outcome};
use rstest::rstest;

fn states(world: &World) -> Vec<JobState> {
    world
        .specs
        .iter()
        .map(|spec| world.table.rows[&spec.id()].0.state)
        .collect()
}

#[test]
fn store_outage_runs_idempotent_work_and_holds_back_the_rest() {
    let mut world = World::new(2, None);
    world.run(1_000);
    world.arm(Some(Fault::StoreDown), Step::Record, 0);
    world.submit(job("once", false, 1, 500));
    world.submit(job("again", true, 1, 500));
    world.run(5_000);
    let ran: Vec<String> = world.outcomes.iter().map(|(id, _)| id.to_string()).collect();
    assert_eq!(ran, ["org/again"], "answered during the outage");
    assert!(
        world
            .workers
            .iter()
            .flat_map(|worker| &worker.log)
            .all(|s| s.task.job.request.as_str() == "again")
    );
    world.run(20_000);
    assert_eq!(states(&world), [JobState::Finished; 2]);
    assert_eq!(check(&world), Vec::<String>::new());
}

#[test]
fn planned_stop_interrupts_nothing() {
    let world = scenario(&[], Some(Step::Stop), None);
    assert_eq!(check(&world), Vec::<String>::new());
    assert_eq!(states(&world), [JobState::Finished; 5]);
    let early = world
        .workers
        .iter()
        .flat_map(|worker| &worker.log)
        .filter(|s| s.state == model::TaskState::Stopped);
    let stopped: Vec<String> = early.map(|s| s.task.job.to_string()).collect();
    assert!(
        stopped.iter().all(|job| job == "org/again"),
        "only the preemption stops tasks: {stopped:?}"
    );
}

/// A worker may stop accepting starts at a revocation and leave it to a command to stop what runs.
#[rstest]
#[case::no_fault(None)]
#[case::cancelled(Some(Fault::Cancelled))]
#[case::worker_killed(Some(Fault::WorkerKilled))]
#[case::holder_killed(Some(Fault::HolderKilled))]
fn revocation_without_stop_is_completed(#[case] fault: Option<Fault>) {
    let armed: Vec<_> = fault
        .map(|fault| crate::common::Armed::new(fault, Step::Run, 1))
        .into_iter()
        .collect();
    let world = scenario(&armed, None, Some(Defect::KeepsTasksOnRevoke));
    assert_eq!(check(&world), Vec::<String>::new());
}

#[test]
fn wave_of_cancellations_ends_every_job_once() {
    let mut world = World::new(4, None);
    world.run(1_000);
    for n in 0..400 {
        world.submit(job(&format!("j{n}"), n % 2 == 0, 1, 60_000));
    }
    world.run(2_000);
    for spec in world.specs.clone() {
        world.cancel(&spec.id());
        world.cancel(&spec.id());
    }
    let before = world.actions;
    world.run(12_000);
    assert_eq!(check(&world), Vec::<String>::new());
    assert_eq!(states(&world), vec![JobState::Cancelled; 400]);
    assert_eq!(world.outcomes.len(), 400);
    let started = world
        .outcomes
        .iter()
        .filter(|(_, o)| matches!(o, Outcome::Cancelled { started: true }))
        .count();
    assert_eq!(started, 16, "as many as have room");
    assert_eq!(world.jobs_in_memory(), 0);
    // At most a revocation, two writes and three events or outcomes a job, beside renewals, scans and events.
    assert!(
        world.actions - before < 400 * 6 + 200,
        "{} actions",
        world.actions - before
    );
}

#[test]
fn buffer_of_records_is_bounded() {
    let mut world = World::new(4, None);
    world.set_max_buffered(3);
    world.run(1_000);
    world.arm(Some(Fault::StoreDown), Step::Record, 0);
    for n in 0..16 {
        world.submit(job(&format!("j{n}"), true, 1, 100));
    }
    world.run(7_000);
    let started = world.workers.iter().map(|worker| worker.log.len()).sum::<usize>();
    assert!(started <= 16, "no more than one round of decisions starts: {started}");
    for n in 16..32 {
        world.submit(job(&format!("j{n}"), true, 1, 100));
    }
    world.run(8_000);
    let later = world.workers.iter().map(|worker| worker.log.len()).sum::<usize>();
    assert_eq!(later, started, "nothing starts while the buffer is full");
    world.run(30_000);
    assert_eq!(states(&world), [JobState::Finished; 32]);
    assert_eq!(check(&world), Vec::<String>::new());
}

/// The target of the design page, from the holder's death to the first start on workers that answer.
#[rstest]
#[case::all_workers_answer(None)]
#[case::one_worker_is_silent(Some(Fault::WorkerFrozen))]
fn first_start_follows_the_holders_death_within_5_s(#[case] fault: Option<Fault>) {
    for death_ms in (1_000..1_500).step_by(50) {
        let mut world = World::new(2, None);
        world.run(death_ms);
        world.kill(0);
        world.arm(fault, Step::Accept, 0);
        world.submit(job("next", false, 1, 100));
        world.run(death_ms + 5_000);
        let started = world
            .workers
            .iter()
            .flat_map(|worker| &worker.log)
            .map(|s| s.at_ms)
            .min();
        assert!(started.is_some(), "death at {death_ms} ms");
        world.run(30_000);
        assert_eq!(check(&world), Vec::<String>::new());
    }
}
