//! Shares of organisations while more work waits than fits.

use compact_str::CompactString;
use domain::{JobState, Organisation};
use rstest::rstest;

use crate::simulation::{Simulation, job, step};

fn organisation(name: &str, weight: u64) -> Organisation {
    Organisation {
        name: name.into(),
        weight,
        ..Organisation::default()
    }
}

/// Starts a cluster of 32 accelerators that is shared by a large and two small organisations.
fn shared(weights: [u64; 3]) -> Simulation {
    let mut sim = Simulation::new(2, 2);
    sim.checks_idle_tasks = false;
    sim.configure(vec![
        organisation("large", weights[0]),
        organisation("small", weights[1]),
        organisation("other", weights[2]),
    ]);
    sim
}

/// Submits jobs of one accelerator for each task.
fn submit(sim: &mut Simulation, organisation: &str, priority: u32, jobs: u32, tasks: u32) -> Vec<CompactString> {
    (0..jobs)
        .map(|number| {
            let kind = match organisation {
                "large" => "a",
                "small" => "b",
                _ => "c",
            };
            let mut job = job(&format!("{kind}{priority}{number:03x}"), priority, step(tasks, 1, 500));
            job.organisation = organisation.into();
            sim.submit(job)
        })
        .collect()
}

fn in_use(sim: &Simulation) -> [u64; 3] {
    ["large", "small", "other"].map(|name| sim.usage_of(name).accelerators)
}

/// Guards against a burst that crowds out the others, whatever its priority and the size of its steps, and against shares
/// that differ from the weights.
#[rstest]
#[case::equal_weights([1, 1, 0], 2, 100, 2, [16, 16, 0])]
#[case::wide_steps([1, 1, 0], 1, 2, 500, [16, 16, 0])]
#[case::burst_of_higher_priority([1, 1, 0], 1, 100, 2, [16, 16, 0])]
#[case::weights([3, 1, 0], 1, 100, 2, [24, 8, 0])]
fn burst_leaves_the_others_their_shares(
    #[case] weights: [u64; 3],
    #[case] priority: u32,
    #[case] jobs: u32,
    #[case] tasks: u32,
    #[case] expected: [u64; 3],
) {
    let mut sim = shared(weights);
    submit(&mut sim, "large", priority, jobs, tasks);
    submit(&mut sim, "small", 2, 100, 1);
    sim.run_for(1_200);
    let used = in_use(&sim);
    let differs = used
        .iter()
        .zip(&expected)
        .any(|(used, expected)| used.abs_diff(*expected) > 2);
    assert!(!differs, "{used:?} {expected:?}");
    sim.assert_no_violations();
}

/// Guards against capacity that stays idle because its owner does not use its share, and against an owner that gets it back
/// late.
#[test]
fn unused_share_goes_to_the_others_and_returns() {
    let mut sim = shared([1, 1, 2]);
    submit(&mut sim, "large", 2, 200, 2);
    sim.run_for(700);
    assert_eq!(in_use(&sim), [32, 0, 0]);
    submit(&mut sim, "other", 2, 100, 1);
    sim.run_for(1_100);
    let used = in_use(&sim);
    assert!(used[2] >= 20, "{used:?}");
    assert_eq!(used.iter().sum::<u64>(), 32);
    sim.assert_no_violations();
}

/// Guards against a change of the order while all work fits, and without weights.
#[rstest]
#[case::no_weights([0, 0, 0], 100)]
#[case::all_fits([1, 1, 1], 4)]
fn order_stays_without_weights_or_overload(#[case] weights: [u64; 3], #[case] jobs: u32) {
    let mut sim = shared(weights);
    let urgent = submit(&mut sim, "large", 1, jobs, 1);
    let later = submit(&mut sim, "small", 2, jobs, 1);
    sim.run_until(30_000, |sim| {
        urgent.iter().chain(&later).all(|id| sim.state(id) == JobState::Done)
    });
    let first_of_later = sim
        .starts
        .iter()
        .position(|(_, task, _)| later.iter().any(|id| task.starts_with(id.as_str())));
    assert!(first_of_later >= Some(urgent.len()), "{first_of_later:?}");
    sim.assert_no_violations();
}

/// Guards against guaranteed work that waits for its share.
#[test]
fn guaranteed_work_precedes_all_shares() {
    let mut sim = shared([1, 8, 0]);
    let mut organisations = sim.organisations.clone();
    organisations[0].guaranteed_accelerators = 16;
    sim.configure(organisations);
    submit(&mut sim, "small", 2, 100, 2);
    sim.run_for(300);
    let urgent = submit(&mut sim, "large", 0, 4, 4);
    sim.run_until(2_700, |sim| {
        urgent
            .iter()
            .all(|id| (0..4).all(|index| sim.starts_of(&format!("{id}.0.0.{index}")) > 0))
    });
    sim.assert_no_violations();
}

/// Guards against an objective that a step cannot meet because not all its tasks may run at once, and against a longer one
/// where no organisation has a share.
#[rstest]
#[case::no_shares(0, 0, 32, false, 4_000)]
#[case::fits_into_the_maximum(0, 8, 8, false, 4_000)]
#[case::four_waves_of_the_maximum(0, 2, 8, false, 13_000)]
#[case::part_of_a_wave(0, 3, 8, false, 10_000)]
#[case::four_quarters_of_the_service(1, 0, 32, false, 13_000)]
#[case::gang_runs_at_once(1, 0, 32, true, 4_000)]
fn objective_counts_the_waves_of_a_step(
    #[case] weight: u64,
    #[case] most_accelerators: u64,
    #[case] tasks: u32,
    #[case] is_gang: bool,
    #[case] objective_ms: u64,
) {
    let mut sim = shared([weight, 0, 0]);
    let mut organisations = sim.organisations.clone();
    organisations[0].maximum.accelerators = most_accelerators;
    sim.configure(organisations);
    sim.run_for(100);
    let mut wide = step(tasks, 1, 1_000);
    wide.is_gang = is_gang;
    let mut job = job("a", 1, wide);
    job.organisation = "large".into();
    let id = sim.submit(job);
    sim.run_for(100);
    let now_ms = sim.now_ms;
    let explanation = sim.engine.explain(&id, now_ms).unwrap();
    assert_eq!(explanation.objective_ms, objective_ms);
}

/// Guards against urgent work beyond its guarantee that takes the place of an organisation with a smaller share.
#[test]
fn urgent_work_beyond_its_guarantee_takes_nothing_from_smaller_shares() {
    let mut sim = shared([1, 1, 0]);
    let small = submit(&mut sim, "small", 2, 8, 1);
    submit(&mut sim, "large", 2, 24, 1);
    sim.run_for(150);
    assert_eq!(in_use(&sim), [24, 8, 0]);
    submit(&mut sim, "large", 0, 60, 1);
    sim.run_until(5_000, |sim| small.iter().all(|id| sim.state(id) == JobState::Done));
    assert!(
        small.iter().all(|id| sim.starts_of(&format!("{id}.0.0.0")) == 1),
        "{}",
        sim.log_lines.join("\n")
    );
    sim.assert_no_violations();
}
