//! Guarantee plan and reclaim.

use crate::support::{Simulation, config, job, topology};
use model::{Adjacency, Config, Resources, Shape};
use policy::{Plan, PlanError, Policy, Preemption};
use rstest::rstest;

const fn rack(parts: u16, accelerators: u16) -> Shape {
    Shape::new(parts, accelerators, Adjacency::Rack)
}

const fn one(accelerators: u16) -> Shape {
    Shape::new(1, accelerators, Adjacency::Worker)
}

// Guards against an owner that gets less than its guaranteed shape while borrowers fill the cluster.
#[rstest]
#[case::worker(one(8))]
#[case::rack(rack(4, 8))]
#[case::rack_of_small_parts(rack(8, 4))]
#[case::neighbouring_racks(Shape::new(6, 8, Adjacency::DataCentre))]
fn owner_reclaims_its_shape_from_a_full_cluster(#[case] shape: Shape, #[values(false, true)] checkpointable: bool) {
    let topology = topology(1, 8);
    let mut sim = Simulation::new(
        topology.clone(),
        config(&topology, &[("owner", &[(shape, 1)]), ("other", &[])]),
    );
    for number in 0..100 {
        let borrower = job("other", number, one(1)).checkpointable(checkpointable);
        sim.submit(&borrower, 3_600_000).unwrap();
    }
    sim.run_until(1_000, 100);
    assert_eq!(sim.held_by("other"), 64);
    let owner = job("owner", 0, shape).idempotent(false);
    let key = sim.submit(&owner, 60_000).unwrap();
    sim.run_until(2_000, 100);
    assert_eq!(sim.held_by("owner"), shape.accelerators());
    assert!(sim.started_ms[&key] <= 1_600);
    let mode = if checkpointable {
        Preemption::Checkpoint
    } else {
        Preemption::Stop
    };
    assert!(sim.preemptions.iter().all(|entry| entry.1 == mode));
    assert_eq!(sim.preemptions.len() as u32, shape.accelerators());
}

// Guards against work that cannot be preempted in another organisation's guaranteed capacity.
#[test]
fn work_that_cannot_be_preempted_stays_out_of_guarantees() {
    let topology = topology(1, 4);
    let mut sim = Simulation::new(
        topology.clone(),
        config(&topology, &[("owner", &[(one(8), 3)]), ("other", &[])]),
    );
    for number in 0..32 {
        sim.submit(&job("other", number, one(1)).idempotent(false), 3_600_000)
            .unwrap();
    }
    sim.run_until(1_000, 100);
    assert_eq!(sim.held_by("other"), 8);
}

// Guards against an error that does not say which guarantee does not fit.
#[test]
fn guarantee_that_does_not_fit_is_rejected_with_its_owner_and_shape() {
    let topology = topology(1, 4);
    let good = config(&topology, &[("a", &[(one(8), 3)])]);
    let mut sim = Simulation::new(topology.clone(), good);
    let before = sim.policy.plan().clone();
    let bad = config(&topology, &[("a", &[(one(8), 3)]), ("b", &[(rack(2, 8), 1)])]);
    let error = sim.configure(bad).unwrap_err();
    let PlanError::DoesNotFit { organisation, shape } = error else {
        panic!("wrong error {error}");
    };
    assert!((organisation.as_str() == "b" && shape == rack(2, 8)) || (organisation.as_str() == "a" && shape == one(8)));
    assert_eq!(*sim.policy.plan(), before);
}

// Guards against moving guarantees that a failure does not affect.
#[test]
fn failure_moves_only_the_shapes_on_the_failed_worker() {
    let topology = topology(1, 16);
    let config: Config = config(&topology, &[("a", &[(one(8), 4)]), ("b", &[(rack(2, 8), 3)])]);
    let capacity: Vec<Resources> = topology.workers().map(|worker| worker.capacity).collect();
    let before = Plan::compute(&config, &topology, &capacity, &Plan::default());
    assert_eq!(before.lost(), 0);
    for down in 0..capacity.len() {
        let mut usable = capacity.clone();
        usable[down] = Resources::default();
        let after = Plan::compute(&config, &topology, &usable, &before);
        let hit = before
            .slices
            .iter()
            .filter(|slice| slice.workers.iter().any(|w| w.0 as usize == down));
        assert_eq!(after.lost(), 0);
        assert_eq!(after.moved_from(&before), hit.count());
        assert_eq!(after, Plan::compute(&config, &topology, &usable, &before));
    }
}

// Guards against a lost guarantee that is neither reported nor planned again once capacity is back.
#[test]
fn lost_guarantee_is_reported_and_planned_again() {
    let topology = topology(1, 4);
    let mut sim = Simulation::new(topology.clone(), config(&topology, &[("a", &[(rack(4, 8), 1)])]));
    sim.run_until(100, 100);
    sim.worker_down(2);
    sim.run_until(200, 100);
    assert_eq!((sim.reported_losses, sim.policy.stats().lost_guarantees), (1, 1));
    sim.worker_up(2);
    sim.run_until(300, 100);
    assert_eq!((sim.reported_losses, sim.policy.stats().lost_guarantees), (1, 0));
}

// Guards against small work of an owner that blocks its own guaranteed shape although it could run elsewhere.
#[test]
fn owner_reclaims_its_shape_from_its_own_small_work() {
    let topology = topology(1, 4);
    let mut sim = Simulation::new(
        topology.clone(),
        config(&topology, &[("owner", &[(rack(4, 6), 1)]), ("other", &[])]),
    );
    for number in 0..16 {
        sim.submit(&job("owner", number, one(1)), 60_000).unwrap();
        sim.submit(&job("other", 100 + number, one(1)), 60_000).unwrap();
    }
    sim.run_until(1_000, 100);
    let wide = sim
        .submit(&job("owner", 50, rack(4, 6)).idempotent(false), 1_000)
        .unwrap();
    sim.run_until(1_500, 100);
    assert!(sim.started_ms.contains_key(&wide));
    assert!(sim.held_by("owner") >= 24);
}
