//! Random schedules of two faults. Guards against failures that only a combination of faults causes.

use crate::common::{ArmedFault, Fault, FirstFit, Step, TestPolicy, check, scenario_with};
use policy::GuaranteedShare;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const FAULTS: [Fault; 17] = [
    Fault::HolderKilled,
    Fault::HolderFrozen,
    Fault::HolderPaused,
    Fault::WorkerKilled,
    Fault::WorkerFrozen,
    Fault::WorkerFailsAll,
    Fault::WorkerCutOff,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::RequestLost,
    Fault::ReplyLost,
    Fault::Delayed,
    Fault::Duplicated,
    Fault::Reordered,
    Fault::ListStale,
    Fault::SubmittedTwice,
    Fault::Cancelled,
];

const STEPS: [Step; 13] = [
    Step::Accept,
    Step::Record,
    Step::Reserve,
    Step::Start,
    Step::Run,
    Step::Checkpoint,
    Step::Report,
    Step::Release,
    Step::Answer,
    Step::Charge,
    Step::Out,
    Step::Leaving,
    Step::Stop,
];

/// Returns how many occurrences of a step the scenario certainly has.
const fn occurrences(step: Step) -> u32 {
    match step {
        Step::Out | Step::Leaving | Step::Stop | Step::Charge => 1,
        Step::Checkpoint => 3,
        Step::Accept | Step::Answer | Step::Report => 4,
        _ => 8,
    }
}

/// Runs the schedule of a seed and returns it with the violations. Draws again until both faults are injected.
fn run_seed<P: TestPolicy>(seed: u64) -> (Vec<ArmedFault>, Vec<String>) {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        let armed: Vec<ArmedFault> = (0..2)
            .map(|_| {
                let fault = *FAULTS.choose(&mut random).unwrap();
                let step = *STEPS.choose(&mut random).unwrap();
                ArmedFault::new(fault, step, random.random_range(0..occurrences(step)))
            })
            .collect();
        let sim = scenario_with::<P>(&armed, None, None);
        let violations = check(&sim);
        if !violations.is_empty() || sim.armed.iter().all(|armed| armed.is_injected) {
            return (armed, violations);
        }
    }
}

/// Runs 200 seeds, or those of `SEEDS=from..to` in the environment.
fn run_block<P: TestPolicy>(block: u64) {
    let range = std::env::var("SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some((from.parse().ok()?, to.parse().ok()?))
    });
    let (from, to): (u64, u64) = range.unwrap_or((0, 200));
    let mut failed = Vec::new();
    for seed in (from..to).filter(|seed| seed % 8 == block) {
        println!("seed {seed}");
        let (armed, violations) = run_seed::<P>(seed);
        if !violations.is_empty() {
            failed.push(format!("seed {seed}: {armed:?}: {violations:?}"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

#[rstest]
fn two_faults(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    run_block::<FirstFit>(block);
}

/// Runs the same seeds under the production policy, which orders and refuses jobs differently.
#[rstest]
fn two_faults_under_guaranteed_share(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    run_block::<GuaranteedShare>(block);
}
