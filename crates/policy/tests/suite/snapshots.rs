//! Snapshots of rendered plans and decisions, which make a change of behaviour visible in review.

use std::fmt::Write;

use model::{Adjacency, Resources, Shape, Topology};
use policy::{Decision, Plan, Policy};

use crate::support::{Simulation, config, job, topology};

fn render(plan: &Plan, topology: &Topology) -> String {
    let names: Vec<_> = topology.workers().map(|worker| &worker.id).collect();
    let mut text = String::new();
    for slice in &plan.slices {
        let Shape {
            parts,
            accelerators_per_part,
            adjacency,
        } = slice.shape;
        let _ = write!(
            text,
            "{} {parts}x{accelerators_per_part} {adjacency:?}:",
            slice.organisation
        );
        for &(worker, parts) in &slice.workers {
            let _ = write!(text, " {}*{parts}", names[worker as usize]);
        }
        let _ = writeln!(text, "{}", if slice.is_lost() { " lost" } else { "" });
    }
    text
}

// Guards against plans that use more workers, racks or moves than needed.
#[test]
fn plan_of_a_deployment_and_after_a_failed_rack() {
    let topology = Topology::uniform(2, 24, 4, Resources::new(8, 8, 32_000, 65_536));
    let shape = Shape::new;
    let config = config(
        &topology,
        &[
            (
                "appraisals",
                &[(shape(4, 8, Adjacency::Rack), 1), (shape(2, 4, Adjacency::Worker), 2)],
            ),
            ("quotes", &[(shape(1, 1, Adjacency::Worker), 6)]),
            (
                "stock",
                &[
                    (shape(6, 8, Adjacency::DataCentre), 1),
                    (shape(3, 2, Adjacency::Rack), 2),
                ],
            ),
        ],
    );
    let capacity: Vec<Resources> = topology.workers().map(|worker| worker.capacity).collect();
    let before = Plan::compute(&config, &topology, &capacity, &Plan::default());
    let mut usable = capacity;
    usable[..4].fill(Resources::default());
    let after = Plan::compute(&config, &topology, &usable, &before);
    let text = format!(
        "whole\n{}\nwithout dc1-r1: {} moved\n{}",
        render(&before, &topology),
        after.moved_from(&before),
        render(&after, &topology)
    );
    insta::assert_snapshot!(text);
}

// Guards against unintended changes in the order of starts, reclaim and requeueing.
#[test]
fn decisions_of_a_reclaim() {
    let topology = topology(1, 4);
    let mut sim = Simulation::new(
        topology.clone(),
        config(
            &topology,
            &[("owner", &[(Shape::new(2, 8, Adjacency::Rack), 1)]), ("other", &[])],
        ),
    );
    let mut text = String::new();
    let mut names = std::collections::BTreeMap::new();
    for number in 0..6 {
        let spec = job("other", number, Shape::new(1, 8, Adjacency::Worker)).checkpointable(number % 2 == 0);
        let key = sim.submit(&spec, 2_000).unwrap();
        names.insert(key, format!("other-{number}"));
    }
    for step in 0..60 {
        if step == 5 {
            let key = sim
                .submit(
                    &job("owner", 0, Shape::new(2, 8, Adjacency::Rack)).idempotent(false),
                    1_000,
                )
                .unwrap();
            names.insert(key, "owner-0".to_owned());
        }
        let before = sim.now_ms;
        sim.now_ms += 100;
        sim.process_due_ends();
        for decision in sim.decide() {
            let _ = match decision {
                Decision::Start { job, workers } => {
                    let workers: Vec<_> = workers
                        .iter()
                        .map(|&worker| sim.policy.worker_id(worker).to_string())
                        .collect();
                    writeln!(
                        text,
                        "{:>5} ms start {} on {}",
                        sim.now_ms,
                        names[&job],
                        workers.join(" ")
                    )
                }
                Decision::Preempt { job, mode } => writeln!(text, "{:>5} ms {mode:?} {}", sim.now_ms, names[&job]),
                other => writeln!(text, "{:>5} ms {other:?}", sim.now_ms),
            };
        }
        assert!(sim.now_ms > before);
    }
    insta::assert_snapshot!(text);
}
