//! Properties that hold after any sequence of submissions, cancellations, failures and configuration changes.

use model::{Adjacency, Class, Shape};
use policy::Policy;
use proptest::prelude::*;

use crate::support::{FinalState, Simulation, config, job, topology};

const ORGANISATIONS: [&str; 3] = ["a", "b", "c"];

#[derive(Debug, Clone)]
enum Op {
    Submit {
        organisation: usize,
        shape: Shape,
        /// Bit 0: idempotent; bit 1: checkpointable.
        kind: u8,
        run_ms: u64,
        declared_ms: u64,
        urgent: bool,
    },
    Cancel(usize),
    WorkerDown(usize),
    WorkerUp(usize),
    BreakWorker(usize),
    SetGuarantee {
        organisation: usize,
        shape: Shape,
        count: u16,
    },
    Service {
        data_centre: usize,
        in_service: bool,
    },
    Advance(u64),
}

fn shapes() -> impl Strategy<Value = Shape> {
    let adjacency = prop_oneof![
        Just(Adjacency::Worker),
        Just(Adjacency::Rack),
        Just(Adjacency::DataCentre)
    ];
    (1_u16..=6, 0_u16..=8, adjacency)
        .prop_map(|(parts, accelerators, adjacency)| Shape::new(parts, accelerators, adjacency))
}

fn ops() -> impl Strategy<Value = Op> {
    let submit = (
        0_usize..3,
        shapes(),
        0_u8..4,
        1_u64..20_000,
        1_u64..20_000,
        prop::bool::weighted(0.2),
    )
        .prop_map(|(organisation, shape, kind, run_ms, declared_ms, urgent)| Op::Submit {
            organisation,
            shape: if urgent { Shape::default() } else { shape },
            kind,
            run_ms: if urgent { run_ms / 10 + 1 } else { run_ms },
            declared_ms,
            urgent,
        });
    let guarantee = (0_usize..3, shapes(), 1_u16..3);
    prop_oneof![
        12 => submit,
        1 => (0_usize..64).prop_map(Op::Cancel),
        1 => (0_usize..16).prop_map(Op::WorkerDown),
        1 => (0_usize..16).prop_map(Op::WorkerUp),
        1 => (0_usize..16).prop_map(Op::BreakWorker),
        1 => guarantee.prop_map(|(organisation, shape, count)| Op::SetGuarantee { organisation, shape, count }),
        1 => (0_usize..2, any::<bool>()).prop_map(|(data_centre, in_service)| Op::Service { data_centre, in_service }),
        4 => (1_u64..5_000).prop_map(Op::Advance),
    ]
}

fn apply(sim: &mut Simulation, number: usize, op: &Op) {
    match *op {
        Op::Submit {
            organisation,
            shape,
            kind,
            run_ms,
            declared_ms,
            urgent,
        } => {
            let spec = job(ORGANISATIONS[organisation], number, shape)
                .idempotent(kind & 1 == 1)
                .checkpointable(kind & 2 == 2)
                .declared_run_ms(declared_ms)
                .class(if urgent { Class::Urgent } else { Class::Deferred });
            // A refusal is a valid result; the policy then does not hold the job.
            let _ = sim.submit(&spec, run_ms);
        }
        Op::Cancel(index) => {
            let job = sim.specs.keys().nth(index).copied();
            if let Some(job) = job {
                sim.cancel(job);
            }
        }
        Op::WorkerDown(worker) => sim.worker_down(worker),
        Op::WorkerUp(worker) => sim.worker_up(worker),
        Op::BreakWorker(worker) => {
            sim.failing_workers.insert(worker);
        }
        Op::SetGuarantee {
            organisation,
            shape,
            count,
        } => {
            let mut next = sim.config.clone();
            next.organisations[organisation].guarantees = vec![model::Guarantee {
                shape,
                count,
                data_centre: None,
            }];
            let before = sim.policy.plan().clone();
            if sim.configure(next).is_err() {
                assert_eq!(before, *sim.policy.plan(), "a rejected configuration changed the plan");
            }
        }
        Op::Service {
            data_centre,
            in_service,
        } => {
            let mut next = sim.config.clone();
            next.data_centres[data_centre].in_service = in_service;
            sim.configure(next)
                .expect("service does not affect whether guarantees fit");
        }
        Op::Advance(ms) => {
            let until_ms = sim.now_ms + ms;
            sim.run_until(until_ms, 250);
        }
    }
    sim.decide();
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, max_global_rejects: 1 << 20, ..ProptestConfig::default() })]

    // Guards against double allocation, partial gangs, blocked guarantees and infeasible plans (checked by the
    // simulation at each decision) and against jobs that are lost or never end after full recovery.
    #[test]
    fn every_sequence_keeps_the_invariants(ops in prop::collection::vec(ops(), 1..120)) {
        let topology = topology(2, 16);
        let guarantees = [("a", &[(Shape::new(4, 8, Adjacency::Rack), 1)][..]), ("b", &[(Shape::new(1, 4, Adjacency::Worker), 3)]), ("c", &[])];
        let mut sim = Simulation::new(topology.clone(), config(&topology, &guarantees));
        for (number, op) in ops.into_iter().enumerate() {
            apply(&mut sim, number, &op);
            let stats = sim.policy.stats();
            prop_assert_eq!(
                stats.queued_jobs as usize + stats.running_jobs as usize,
                sim.specs.len() - sim.final_states.len()
            );
        }
        sim.failing_workers.clear();
        let mut restored = sim.config.clone();
        restored.data_centres.iter_mut().for_each(|dc| dc.in_service = true);
        // Without guarantees, work that cannot be preempted fits too.
        restored.organisations.iter_mut().for_each(|organisation| organisation.guarantees.clear());
        sim.configure(restored).unwrap();
        (0..16).for_each(|worker| sim.worker_up(worker));
        let until_ms = sim.now_ms + 1_000_000;
        sim.run_until(until_ms, 1_000);
        prop_assert_eq!(
            sim.final_states.len(), sim.specs.len(),
            "jobs are left over; running {:?}, {:?}", sim.ledger.held, sim.policy
        );
        prop_assert_eq!(sim.ledger.held.len(), 0);
        let finished = sim.final_states.values().filter(|final_state| **final_state == FinalState::Finished).count();
        prop_assert!(finished <= sim.start_count as usize);
    }

    // Guards against a guaranteed shape that its owner cannot reclaim within the grace period because of work of
    // others, its own small work, or failures that moved its shapes.
    #[test]
    fn every_guaranteed_shape_can_be_reclaimed(
        shape in shapes(), count in 1_u16..4, ops in prop::collection::vec(ops(), 1..120)
    ) {
        let topology = topology(2, 16);
        let config = config(&topology, &[("a", &[(shape, count)]), ("b", &[(Shape::new(2, 4, Adjacency::Rack), 2)]), ("c", &[])]);
        prop_assume!(policy::GuaranteedShare::new(&topology).configure(0, &config).is_ok());
        let mut sim = Simulation::new(topology, config);
        for (number, mut op) in ops.into_iter().enumerate() {
            match &mut op {
                Op::Submit { organisation: 0, shape: own, kind, urgent, .. } => {
                    // The owner's small work is preemptible. Urgent or non-preemptible work of its own would keep its
                    // share by its own choice.
                    *kind = 1 + *kind % 3;
                    *urgent = false;
                    if *own == shape {
                        continue;
                    }
                }
                Op::Submit { .. } | Op::WorkerDown(_) | Op::WorkerUp(_) | Op::Cancel(_) | Op::Advance(_) => {}
                Op::BreakWorker(_) | Op::SetGuarantee { .. } | Op::Service { .. } => continue,
            }
            apply(&mut sim, number, &op);
        }
        prop_assume!(sim.ledger.accepted_overlap() == 0);
        let planned = sim.policy.plan().slices.iter().filter(|slice| slice.organisation.as_str() == "a" && !slice.is_lost()).count();
        let keys: Vec<_> = (0..planned).map(|n| sim.submit(&job("a", 1_000 + n, shape).priority(9), 60_000).unwrap()).collect();
        let until_ms = sim.now_ms + 2_000;
        sim.run_until(until_ms, 100);
        for key in keys {
            prop_assert!(sim.started_ms.contains_key(&key), "{:?}", sim.policy);
        }
    }
}
