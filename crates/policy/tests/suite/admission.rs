//! Refused submissions, deadlines and failed jobs.

use model::{Adjacency, Class, JobSpec, Refusal, Resources, Shape, Topology};
use policy::{Decision, Event, FailReason, Policy};
use rstest::rstest;

use crate::support::{FinalState, Simulation, config, job, topology};

fn sim() -> Simulation {
    let topology = topology(1, 8);
    let mut config = config(&topology, &[("a", &[]), ("limited", &[])]);
    config.organisations[1].queue_limit = 2;
    config.organisations[1].quota_accelerators = Some(4);
    Simulation::new(topology, config)
}

// Guards against work that is accepted although it can never run, or refused although it could.
#[rstest]
#[case::largest_part(Shape::new(1, 8, Adjacency::Worker), None)]
#[case::part_too_large(Shape::new(1, 9, Adjacency::Worker), Some("never_fits"))]
#[case::worker_too_small(Shape::new(3, 3, Adjacency::Worker), Some("never_fits"))]
#[case::too_few_slots(Shape::new(9, 0, Adjacency::Worker), Some("never_fits"))]
#[case::whole_rack(Shape::new(4, 8, Adjacency::Rack), None)]
#[case::rack_too_small(Shape::new(5, 8, Adjacency::Rack), Some("never_fits"))]
#[case::whole_data_centre(Shape::new(8, 8, Adjacency::DataCentre), None)]
#[case::data_centre_too_small(Shape::new(9, 8, Adjacency::DataCentre), Some("never_fits"))]
#[case::no_parts(Shape::new(0, 1, Adjacency::Worker), Some("invalid_shape"))]
fn shapes_are_checked_on_submission(#[case] shape: Shape, #[case] code: Option<&str>) {
    let refused = sim().submit(&job("a", 0, shape), 1_000).err();
    assert_eq!(refused.as_ref().map(Refusal::code), code);
}

#[rstest]
#[case::unknown_organisation(job("nobody", 0, Shape::default()), "unknown_organisation")]
#[case::memory(job("a", 0, Shape::default()).memory_mib_per_part(65_537), "never_fits")]
#[case::beyond_quota(job("limited", 0, Shape::new(1, 5, Adjacency::Worker)), "never_fits")]
#[case::no_time_left(job("a", 0, Shape::default()).deadline_ms(0), "deadline_passed")]
fn jobs_that_can_never_run_are_refused(#[case] spec: JobSpec, #[case] code: &str) {
    assert_eq!(sim().submit(&spec, 1_000).unwrap_err().code(), code);
}

// Guards against one organisation or class that fills the queue of another.
#[test]
fn queues_are_bounded_for_each_organisation_and_class() {
    let mut sim = sim();
    let deferred = |n| job("limited", n, Shape::default());
    sim.submit(&deferred(0), 1_000).unwrap();
    sim.submit(&deferred(1), 1_000).unwrap();
    assert_eq!(sim.submit(&deferred(2), 1_000).unwrap_err().code(), "queue_full");
    sim.submit(&deferred(3).class(Class::Urgent), 1_000).unwrap();
    sim.submit(&job("a", 4, Shape::default()), 1_000).unwrap();
    sim.run_until(100, 100);
    sim.submit(&deferred(5), 1_000).unwrap();
}

// Guards against work that starts after its deadline, or is accepted with a wait that is known to be too long.
#[test]
fn deadlines_are_enforced_on_submission_and_while_queued() {
    let mut sim = sim();
    let whole = Shape::new(8, 8, Adjacency::DataCentre);
    for number in 0..40 {
        sim.submit(&job("a", number, whole), 1_000).unwrap();
    }
    let late = sim.submit(&job("a", 100, whole).deadline_ms(500), 1_000).unwrap();
    sim.run_until(20_000, 100);
    assert_eq!(sim.final_states[&late], FinalState::Refused(Refusal::DeadlinePassed));
    let error = sim.submit(&job("a", 101, whole).deadline_ms(500), 1_000).unwrap_err();
    let Refusal::DeadlineTooShort {
        wait_ms,
        retry_after_ms,
    } = error
    else {
        panic!("wrong refusal {error}");
    };
    assert!((10_000..40_000).contains(&wait_ms), "{wait_ms}");
    assert_eq!(retry_after_ms, wait_ms - 500);
}

#[test]
fn work_is_refused_while_no_data_centre_is_in_service() {
    let mut sim = sim();
    let mut out_of_service = sim.config.clone();
    out_of_service.data_centres[0].in_service = false;
    sim.configure(out_of_service).unwrap();
    let refusal = sim.submit(&job("a", 0, Shape::default()), 1_000).unwrap_err();
    assert_eq!(refusal.code(), "no_data_centre");
}

// Guards against a job that is retried without end, or retried although it is not idempotent.
#[rstest]
#[case::idempotent(true, FailReason::FailedEverywhere, 3)]
#[case::non_idempotent(false, FailReason::NotIdempotent, 1)]
fn retries_of_a_failing_job_are_bounded(#[case] idempotent: bool, #[case] reason: FailReason, #[case] attempts: u32) {
    let mut sim = sim();
    sim.failing_workers.extend(0..8);
    let spec = job("a", 0, Shape::default())
        .idempotent(idempotent)
        .checkpointable(true);
    let key = sim.submit(&spec, 100).unwrap();
    sim.run_until(5_000, 100);
    assert_eq!(sim.final_states[&key], FinalState::Failed(reason));
    assert_eq!(sim.start_count, attempts);
}

// Guards against a start that is retried at once on a worker that just refused it.
#[test]
fn refused_start_is_tried_on_another_worker() {
    let mut sim = sim();
    let job = sim.policy.submit(0, &job("a", 0, Shape::default())).unwrap();
    let mut refusing = Vec::new();
    for _ in 0..3 {
        let mut decisions = Vec::new();
        sim.policy.decide(0, &mut decisions);
        let [Decision::Start { workers, .. }] = &decisions[..] else {
            panic!("no start: {decisions:?}");
        };
        assert!(!refusing.contains(&workers[0]));
        refusing.push(workers[0]);
        sim.policy.observe(
            0,
            Event::NotStarted {
                job,
                worker: Some(workers[0]),
            },
        );
    }
}

// Guards against results that depend on anything but the inputs.
#[test]
fn same_inputs_give_the_same_decisions() {
    let run = || {
        let topology = Topology::uniform(2, 12, 3, Resources::new(8, 8, 32_000, 65_536));
        let mut sim = Simulation::new(
            topology.clone(),
            config(
                &topology,
                &[("a", &[(Shape::new(2, 4, Adjacency::Rack), 1)]), ("b", &[])],
            ),
        );
        for number in 0..60 {
            let shape = Shape::new(1 + number as u16 % 3, 1 + number as u16 % 5, Adjacency::Rack);
            let organisation = if number % 3 == 0 { "a" } else { "b" };
            sim.submit(&job(organisation, number, shape), 1_000 + 10 * number as u64)
                .unwrap();
        }
        sim.run_until(10_000, 100);
        (format!("{:?}", sim.started_ms), format!("{:?}", sim.preemptions))
    };
    assert_eq!(run(), run());
}
