//! Workers that fail everything, and data centres that are taken out and come back.

use model::{Adjacency, Class, Shape};
use policy::Policy;
use rstest::rstest;

use crate::support::{Sim, config, job, topology};

const ONE: Shape = Shape::new(1, 1, Adjacency::Worker);

// Guards against a worker that eats every job, and against one that is condemned for the fault of a single job or
// organisation.
#[rstest]
#[case::several_organisations(&["a", "b"], 3, true)]
#[case::one_organisation(&["a"], 5, true)]
#[case::too_few_of_one(&["a"], 4, false)]
fn failing_worker_is_quarantined(#[case] organisations: &[&str], #[case] failures: usize, #[case] expected: bool) {
    let topology = topology(1, 8);
    let mut sim = Sim::new(topology.clone(), config(&topology, &[("a", &[]), ("b", &[])]));
    sim.broken.insert(0);
    let mut number = 0;
    while sim.starts < failures as u32 {
        // One job at a time lands on the tightest worker, which is the broken one; others are kept off it.
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
    let mut sim = Sim::new(topology.clone(), config(&topology, &[("a", &[]), ("b", &[])]));
    sim.broken.insert(0);
    let mut number = 0;
    let mut feed = |sim: &mut Sim, until_ms: u64| {
        while sim.now_ms < until_ms {
            number += 1;
            let organisation = if number % 2 == 0 { "a" } else { "b" };
            sim.submit(&job(organisation, number, ONE).idempotent(number % 3 == 0), 2_000)
                .unwrap();
            let next = sim.now_ms + 50;
            sim.run_until(next, 50);
        }
    };
    feed(&mut sim, 10_000);
    assert_eq!(sim.policy.stats().quarantined_workers, 1);
    let failed = sim.ended.len();
    feed(&mut sim, 60_000);
    assert!(sim.ended.len() > failed);
    assert_eq!(sim.policy.stats().quarantined_workers, 1);
    sim.broken.clear();
    feed(&mut sim, 110_000);
    assert_eq!(sim.policy.stats().quarantined_workers, 0);
}

// Guards against starts in a data centre that is out, lost work there, and a thundering herd on its return.
#[test]
fn data_centre_goes_out_and_comes_back() {
    let topology = topology(2, 32);
    let mut sim = Sim::new(topology.clone(), config(&topology, &[("a", &[])]));
    for number in 0..400 {
        let spec = job("a", number, ONE)
            .idempotent(number / 2 % 4 != 0)
            .checkpointable(number / 2 % 4 == 1);
        sim.submit(&spec, 60_000).unwrap();
    }
    sim.run_until(1_000, 100);
    assert_eq!(sim.ledger.held.len(), 256);
    let mut out = sim.config.clone();
    let back = out.clone();
    out.data_centres[0].in_service = false;
    sim.configure(out).unwrap();
    sim.run_until(3_000, 100);
    let in_first = |sim: &Sim| sim.ledger.held.values().filter(|(_, workers)| workers[0] < 16).count();
    let left = sim.ledger.held.values().filter(|(_, workers)| workers[0] < 16);
    assert!(left.clone().all(|(spec, _)| !spec.is_preemptible()));
    assert!(left.count() > 0);
    assert!(sim.preempted.len() > 80);
    sim.run_until(70_000, 100);
    assert_eq!(in_first(&sim), 0);
    let starts = sim.starts;
    sim.configure(back).unwrap();
    sim.run_until(71_000, 100);
    let first_second = sim.starts - starts;
    assert!(
        (1..=26).contains(&first_second),
        "{first_second} starts in the first fifth of the slow start"
    );
    sim.run_until(76_000, 100);
    assert!(in_first(&sim) > 0);
}

// Guards against urgent work that is cut off by a planned outage although it is nearly done.
#[test]
fn urgent_work_finishes_in_a_data_centre_that_goes_out() {
    let topology = topology(2, 8);
    let mut sim = Sim::new(topology.clone(), config(&topology, &[("a", &[])]));
    for number in 0..64 {
        sim.submit(&job("a", number, ONE).class(Class::Urgent), 1_000).unwrap();
    }
    sim.decide();
    let mut out = sim.config.clone();
    out.data_centres[1].in_service = false;
    sim.configure(out).unwrap();
    sim.run_until(1_500, 100);
    assert_eq!((sim.preempted.len(), sim.ended.len()), (0, 64));
}
