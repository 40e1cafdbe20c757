use super::{AnyWorld, Armed, Defect, FirstFit, Fleet, Step, World, job};

/// Runs five jobs of different kinds with the faults armed, until everything can have come to rest.
///
/// The jobs are a single part and a gang that may run once, a gang that may run again, and a checkpointable gang that
/// is preempted at 3 s; another single part comes at 8.5 s. Steps that operators cause are reached at 2.5 s if a fault waits for them or `script` names them.
pub fn scenario(armed: &[Armed], script: Option<Step>, defect: Option<Defect>) -> World {
    scenario_with::<FirstFit>(armed, script, defect)
}

/// Runs the same jobs under another policy, which may preempt none of them.
pub fn scenario_with<P: Fleet>(armed: &[Armed], script: Option<Step>, defect: Option<Defect>) -> AnyWorld<P> {
    let mut world = AnyWorld::new(4, defect);
    world.run(1_000);
    world.armed = armed.to_vec();
    world.submit(job("single", false, 1, 3_000));
    world.submit(job("gang", false, 5, 12_000));
    world.submit(job("again", true, 5, 12_000));
    world.submit(job("long", false, 2, 9_000).checkpointable(true));
    let is_scripted = |step: &Step| matches!(step, Step::Out | Step::Leaving | Step::Stop);
    for step in armed.iter().map(|armed| armed.step).chain(script).filter(is_scripted) {
        world.reach_at(2_500, step);
    }
    world.reach_at(3_000, Step::Checkpoint);
    world.run(8_500);
    world.submit(job("late", false, 1, 1_000));
    world.run(100_000);
    world
}
