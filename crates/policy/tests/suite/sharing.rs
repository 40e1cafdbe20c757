//! Sharing of capacity between urgent work, guarantees, organisations and wide jobs.

use model::{Adjacency, Class, Resources, Shape};
use policy::Policy;
use rstest::rstest;

use crate::support::{Simulation, config, is_fair, job, topology};

const ONE: Shape = Shape::new(1, 1, Adjacency::Worker);

// Guards against an organisation that gets more of the contended capacity than its weight entitles it to.
#[rstest]
#[case::equal([1, 1, 1])]
#[case::weighted([1, 2, 5])]
fn contended_capacity_follows_the_weights(#[case] weights: [u32; 3], #[values(1, 2, 4)] accelerators: u16) {
    let topology = topology(1, 16);
    let mut config = config(&topology, &[("a", &[]), ("b", &[]), ("c", &[])]);
    for (organisation, weight) in config.organisations.iter_mut().zip(weights) {
        organisation.weight = weight;
    }
    let mut sim = Simulation::new(topology, config);
    let shape = Shape::new(1, accelerators, Adjacency::Worker);
    // The first organisation requests everything before the others submit.
    for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
        for number in 0..600 {
            sim.submit(
                &job(name, index * 1_000 + number, shape),
                700 + 13 * (number as u64 % 17),
            )
            .unwrap();
        }
        sim.decide();
    }
    sim.run_until(3_000, 50);
    let total: u32 = weights.iter().sum();
    for (name, weight) in ["a", "b", "c"].into_iter().zip(weights) {
        let held = sim.held_by(name);
        assert!(
            is_fair(held, 128, weight, total, shape),
            "{name} of weight {weight} of {total} holds {held}"
        );
    }
}

// Guards against a wide job that starves because small ones take each accelerator that becomes free.
#[rstest]
#[case::rack(Shape::new(4, 8, Adjacency::Rack))]
#[case::data_centre(Shape::new(8, 8, Adjacency::DataCentre))]
#[case::worker(Shape::new(2, 4, Adjacency::Worker))]
fn wide_job_starts_in_a_stream_of_small_ones(#[case] shape: Shape, #[values(false, true)] idempotent: bool) {
    let topology = topology(1, 16);
    let mut sim = Simulation::new(topology.clone(), config(&topology, &[("small", &[]), ("wide", &[])]));
    let mut number = 0;
    let mut submit_jobs = |sim: &mut Simulation| {
        while sim.policy.stats().queued_jobs < 50 {
            number += 1;
            // Declared run times are wrong by a factor of four.
            let spec = job("small", number, ONE)
                .declared_run_ms(500)
                .idempotent(number % 2 == 0);
            sim.submit(&spec, 1_500 + 100 * (number as u64 % 11)).unwrap();
        }
    };
    submit_jobs(&mut sim);
    sim.run_until(2_000, 50);
    let wide = sim
        .submit(&job("wide", 0, shape).idempotent(idempotent), 5_000)
        .unwrap();
    while sim.now_ms < 40_000 && !sim.started_ms.contains_key(&wide) {
        submit_jobs(&mut sim);
        let next = sim.now_ms + 50;
        sim.run_until(next, 50);
    }
    assert!(sim.started_ms.contains_key(&wide), "never started");
}

// Guards against urgent work that waits behind a burst of large jobs.
#[rstest]
#[case::non_idempotent_urgent(false, false)]
#[case::idempotent_urgent(true, false)]
#[case::checkpointable_burst(true, true)]
fn urgent_work_starts_during_a_burst(#[case] urgent_idempotent: bool, #[case] checkpointable: bool) {
    let topology = topology(1, 16);
    let mut sim = Simulation::new(
        topology.clone(),
        config(
            &topology,
            &[("a", &[]), ("b", &[(Shape::new(1, 8, Adjacency::Worker), 4)])],
        ),
    );
    for number in 0..40 {
        let large = job("a", number, Shape::new(1, 8, Adjacency::Worker)).checkpointable(checkpointable);
        sim.submit(&large, 3_600_000).unwrap();
    }
    sim.run_until(60_000, 1_000);
    let urgent: Vec<_> = (100..130)
        .map(|number| {
            let spec = job("b", number, ONE).class(Class::Urgent).idempotent(urgent_idempotent);
            sim.submit(&spec, 300).unwrap()
        })
        .collect();
    sim.run_until(65_000, 50);
    for key in urgent {
        assert!(sim.started_ms[&key] < 61_600, "started at {}", sim.started_ms[&key]);
    }
}

// Guards against grants on guaranteed capacity, which its owner could then not reclaim.
#[test]
fn grants_stay_out_of_guarantees() {
    let topology = topology(1, 4);
    let mut sim = Simulation::new(
        topology.clone(),
        config(&topology, &[("a", &[(Shape::new(1, 8, Adjacency::Worker), 3)])]),
    );
    let need = Resources::new(1, 1, 0, 0);
    let workers: Vec<_> = std::iter::from_fn(|| sim.policy.grant(0, need)).collect();
    assert_eq!(workers.len(), 8);
    assert_eq!(sim.policy.stats().used_accelerators, 8);
    sim.policy.release_grant(workers[0], need);
    assert_eq!(sim.policy.grant(0, need), Some(workers[0]));
    sim.policy.release_grant(workers[0], need);
    sim.policy.adopt_grant(workers[0], need);
    assert_eq!(sim.policy.grant(0, need), None);
}

// Guards against a new lease holder that loses running jobs or counts their resources wrongly.
#[test]
fn adopted_work_holds_its_workers() {
    let topology = topology(1, 4);
    let mut sim = Simulation::new(
        topology.clone(),
        config(
            &topology,
            &[("a", &[(Shape::new(1, 8, Adjacency::Worker), 1)]), ("b", &[])],
        ),
    );
    let everywhere = Shape::new(4, 8, Adjacency::DataCentre);
    let workers = sim.workers.clone();
    let adopted = sim.policy.adopt(0, &job("b", 0, everywhere), &workers);
    assert_eq!(sim.policy.workers_of(adopted)[..], workers[..]);
    assert_eq!(sim.policy.stats().used_accelerators, 32);
    assert!(sim.decide().is_empty());
}
