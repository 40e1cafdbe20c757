//! Workers on which every job fails, and data centres that are taken out of service and return.

use model::{Adjacency, Class, Shape};
use policy::Policy;
use rstest::rstest;

use crate::support::{Simulation, config, job, topology};

const ONE: Shape = Shape::new(1, 1, Adjacency::Worker);

// Guards against a broken worker that fails job after job, and against a healthy worker that is quarantined for the
// fault of a single job or organisation.
#[rstest]
#[case::several_organisations(&["a", "b"], 3, true)]
#[case::one_organisation(&["a"], 5, true)]
#[case::too_few_of_one(&["a"], 4, false)]
fn failing_worker_is_quarantined(#[case] organisations: &[&str], #[case] failures: usize, #[case] expected: bool) {
    let topology = topology(1, 8);
    let mut sim = Simulation::new(topology.clone(), config(&topology, &[("a", &[]), ("b", &[])]));
    sim.failing_workers.insert(0);
    let mut number = 0;
    while sim.start_count < failures as u32 {
        // One job at a time is placed on the worker with the tightest fit, which fails it; other jobs are kept off it.
        let organisation = organisations[number % organisations.len()];
        sim.submit(&job(organisation, number, ONE).idempotent(false), 100)
            .unwrap();
        number += 1;
        let next = sim.now_ms + 200;
        sim.run_until(next, 100);
    }
    assert_eq!(sim.policy.stats().quarantined_workers, u32::from(expected));
}

// Guards against a quarantine that never ends, and against probes with work that may not be repeated.
#[test]
fn quarantined_worker_is_probed_with_idempotent_work() {
    let topology = topology(1, 4);
    let mut sim = Simulation::new(topology.clone(), config(&topology, &[("a", &[]), ("b", &[])]));
    sim.failing_workers.insert(0);
    let mut number = 0;
    let mut submit_jobs = |sim: &mut Simulation, until_ms: u64| {
        while sim.now_ms < until_ms {
            number += 1;
            let organisation = if number % 2 == 0 { "a" } else { "b" };
            sim.submit(&job(organisation, number, ONE).idempotent(number % 3 == 0), 2_000)
                .unwrap();
            let next = sim.now_ms + 50;
            sim.run_until(next, 50);
        }
    };
    submit_jobs(&mut sim, 10_000);
    assert_eq!(sim.policy.stats().quarantined_workers, 1);
    let failed = sim.final_states.len();
    submit_jobs(&mut sim, 60_000);
    assert!(sim.final_states.len() > failed);
    assert_eq!(sim.policy.stats().quarantined_workers, 1);
    sim.failing_workers.clear();
    submit_jobs(&mut sim, 110_000);
    assert_eq!(sim.policy.stats().quarantined_workers, 0);
}

// Guards against starts in a data centre that is out of service, lost work there, and a thundering herd on its return.
#[test]
fn data_centre_drains_and_returns_with_a_slow_start() {
    let topology = topology(2, 32);
    let mut sim = Simulation::new(topology.clone(), config(&topology, &[("a", &[])]));
    for number in 0..400 {
        let spec = job("a", number, ONE)
            .idempotent(number / 2 % 4 != 0)
            .checkpointable(number / 2 % 4 == 1);
        sim.submit(&spec, 60_000).unwrap();
    }
    sim.run_until(1_000, 100);
    assert_eq!(sim.ledger.held.len(), 256);
    let mut out_of_service = sim.config.clone();
    let restored = out_of_service.clone();
    out_of_service.data_centres[0].in_service = false;
    sim.configure(out_of_service).unwrap();
    sim.run_until(3_000, 100);
    let in_first = |sim: &Simulation| sim.ledger.held.values().filter(|(_, workers)| workers[0] < 16).count();
    let remaining = sim.ledger.held.values().filter(|(_, workers)| workers[0] < 16);
    assert!(remaining.clone().all(|(spec, _)| !spec.is_preemptible()));
    assert!(remaining.count() > 0);
    assert!(sim.preemptions.len() > 80);
    sim.run_until(70_000, 100);
    assert_eq!(in_first(&sim), 0);
    let start_count = sim.start_count;
    sim.configure(restored).unwrap();
    sim.run_until(71_000, 100);
    let first_second = sim.start_count - start_count;
    assert!(
        (1..=26).contains(&first_second),
        "{first_second} starts in the first fifth of the slow start"
    );
    sim.run_until(76_000, 100);
    assert!(in_first(&sim) > 0);
}

// Guards against urgent work that a planned outage preempts although it is nearly done.
#[test]
fn urgent_work_finishes_in_a_data_centre_taken_out_of_service() {
    let topology = topology(2, 8);
    let mut sim = Simulation::new(topology.clone(), config(&topology, &[("a", &[])]));
    for number in 0..64 {
        sim.submit(&job("a", number, ONE).class(Class::Urgent), 1_000).unwrap();
    }
    sim.decide();
    let mut out_of_service = sim.config.clone();
    out_of_service.data_centres[1].in_service = false;
    sim.configure(out_of_service).unwrap();
    sim.run_until(1_500, 100);
    assert_eq!((sim.preemptions.len(), sim.final_states.len()), (0, 64));
}
