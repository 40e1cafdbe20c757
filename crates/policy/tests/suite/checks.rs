//! Guards against checks that cannot fail: each gets a state that breaks its invariant.

use crate::support::{Ledger, Simulation, Violation, config, is_fair, job, topology};
use model::{Adjacency, Resources, Shape};
use policy::{Plan, Policy};

#[test]
fn each_check_finds_its_violation() {
    let topology = topology(2, 16);
    let one = Shape::new(1, 8, Adjacency::Worker);
    let config = config(&topology, &[("a", &[(one, 1)]), ("b", &[])]);
    let mut sim = Simulation::new(topology.clone(), config.clone());
    let key = |sim: &mut Simulation, n| sim.policy.submit(0, &job("b", n, one)).unwrap();
    let keys: Vec<_> = (0..4).map(|n| key(&mut sim, n)).collect();
    let capacity: Vec<Resources> = topology.workers().map(|worker| worker.capacity).collect();
    let plan = Plan::compute(&config, &topology, &capacity, &Plan::default());
    let planned = plan.slices[0].workers[0].0 as usize;

    let mut ledger = Ledger::new(&topology);
    ledger.accepts_work.fill(true);
    let gang = |adjacency| job("b", 9, Shape::new(2, 4, adjacency));
    assert_eq!(
        ledger.start(keys[0], &gang(Adjacency::Rack), vec![0]),
        Err(Violation::PartialGang)
    );
    assert_eq!(
        ledger.start(keys[0], &gang(Adjacency::Worker), vec![0, 1]),
        Err(Violation::NotAdjacent)
    );
    assert_eq!(
        ledger.start(keys[0], &gang(Adjacency::Rack), vec![3, 4]),
        Err(Violation::NotAdjacent)
    );
    assert_eq!(
        ledger.start(keys[0], &gang(Adjacency::DataCentre), vec![7, 8]),
        Err(Violation::NotAdjacent)
    );

    let non_preemptible = job("b", 8, one).idempotent(false);
    ledger.check_reclaim(&plan).unwrap();
    ledger.start(keys[1], &non_preemptible, vec![planned]).unwrap();
    assert_eq!(
        ledger.check_reclaim(&plan),
        Err(Violation::NotReclaimable { worker: planned })
    );
    ledger.accept_overlap(&plan);
    ledger.check_reclaim(&plan).unwrap();
    let overlap = ledger.start(keys[2], &non_preemptible, vec![planned]);
    assert_eq!(overlap, Err(Violation::Overcommitted { worker: planned }));
    assert_eq!(
        ledger.check_reclaim(&plan),
        Err(Violation::NotReclaimable { worker: planned })
    );

    ledger.accepts_work[5] = false;
    assert_eq!(
        ledger.start(keys[3], &non_preemptible, vec![5]),
        Err(Violation::Unavailable { worker: 5 })
    );
    let mut usable = vec![true; capacity.len()];
    ledger.check_plan(&plan, &usable).unwrap();
    usable[planned] = false;
    assert_eq!(
        ledger.check_plan(&plan, &usable),
        Err(Violation::PlanInfeasible { worker: planned })
    );
    let mut twice = plan.clone();
    twice.slices.push(plan.slices[0].clone());
    usable[planned] = true;
    assert_eq!(
        ledger.check_plan(&twice, &usable),
        Err(Violation::PlanInfeasible { worker: planned })
    );
}

// Guards against a share that passes as fair although it is off by more than one shape.
#[test]
fn unfair_share_is_found() {
    let shape = Shape::new(1, 4, Adjacency::Worker);
    assert!(is_fair(60, 128, 1, 2, shape) && is_fair(68, 128, 1, 2, shape));
    assert!(!is_fair(59, 128, 1, 2, shape) && !is_fair(69, 128, 1, 2, shape));
    assert!(!is_fair(64, 128, 1, 3, shape));
}
