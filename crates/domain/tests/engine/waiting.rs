//! Tasks whose turn has come beside workers with room for them.

use crate::simulation::{Simulation, job, step};

/// Guards against a ready task that waits beside idle workers without any line that says which rule keeps it there.
#[test]
fn log_names_the_rule_that_keeps_a_ready_task_from_workers_with_room() {
    let mut sim = Simulation::new(1, 3);
    sim.permitted_workers = vec!["another".into()];
    let mut advised = job("a", 1, step(1, 2, 300));
    advised.route = "route-advised".into();
    let id = sim.submit(advised);
    sim.run_for(2_500);
    let line = sim.log_lines.iter().find(|line| line.contains("tasks_wait"));
    insta::assert_snapshot!(line.expect("the wait is logged"), @"3170 tasks_wait job=000000000000000a occurrence=0 step=0 idle_ms=1960 priority=1 cause=turn needed=1 in_use_percent=0 room=3 unpermitted=3");
    let explanation = sim.engine.explain(&id, sim.now_ms).expect("the job is open");
    assert_eq!(explanation.steps[0].idle_ms, Some(2_490));
    assert_eq!(explanation.steps[0].workers.map(|tally| tally.unpermitted), Some(3));
    assert_eq!(sim.engine.stats().withheld_steps, 1);
}
