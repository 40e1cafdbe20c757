use super::{ArmedFault, Defect, FirstFit, FirstFitSimulation, Simulation, Step, TestPolicy, job};

/// Runs five jobs of different kinds with the faults armed, until all of them have had time to settle.
///
/// The jobs are a non-idempotent single part and gang, an idempotent gang, and a checkpointable gang that is preempted
/// at 3 s; another single part is submitted at 8.5 s. Steps that operators cause are reached at 2.5 s if a fault waits
/// for them or `script` names them.
pub fn scenario(armed: &[ArmedFault], script: Option<Step>, defect: Option<Defect>) -> FirstFitSimulation {
    scenario_with::<FirstFit>(armed, script, defect)
}

/// Runs the same jobs under another policy, which may preempt none of them.
pub fn scenario_with<P: TestPolicy>(
    armed: &[ArmedFault],
    script: Option<Step>,
    defect: Option<Defect>,
) -> Simulation<P> {
    let mut sim = Simulation::new(4, defect);
    sim.run_until(1_000);
    sim.armed = armed.to_vec();
    sim.submit(job("single", false, 1, 3_000));
    sim.submit(job("gang", false, 5, 12_000));
    sim.submit(job("again", true, 5, 12_000));
    sim.submit(job("long", false, 2, 9_000).checkpointable(true));
    let is_scripted = |step: &Step| matches!(step, Step::Out | Step::Leaving | Step::Stop);
    for step in armed.iter().map(|armed| armed.step).chain(script).filter(is_scripted) {
        sim.schedule_step(2_500, step);
    }
    sim.schedule_step(3_000, Step::Checkpoint);
    sim.run_until(8_500);
    sim.submit(job("late", false, 1, 1_000));
    sim.run_until(100_000);
    sim
}
