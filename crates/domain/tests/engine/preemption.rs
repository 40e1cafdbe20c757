//! Choice of preemption victims when urgent work arrives at a fully loaded cluster.

use domain::JobState;
use rstest::rstest;

use crate::simulation::{Simulation, job, step};

/// Guards against adding up the preemption cost of a gang over its members: stopping one member ends all, so the
/// capacity of all members costs one preemption.
///
/// One rack runs single tasks that started much earlier, the other a wide gang that has just started.
#[test]
fn urgent_gang_preempts_one_recently_started_gang() {
    let mut sim = Simulation::new(2, 4);
    let long_jobs: Vec<_> = (0..4)
        .map(|number| {
            let mut single = step(1, 8, 60_000);
            single.data_rack = Some("r0".into());
            sim.submit(job(&format!("{number}"), 2, single))
        })
        .collect();
    sim.run_for(2_000);
    let mut gang = step(4, 8, 60_000);
    gang.is_gang = true;
    gang.is_same_rack = true;
    let recent_gang = sim.submit(job("abc", 2, gang.clone()));
    sim.run_for(1_500);
    assert_eq!(sim.workers_of(&recent_gang).len(), 4);
    gang.estimate_ms = 500;
    let mut urgent = job("def", 0, gang);
    urgent.objective_ms = 250;
    let id = sim.submit(urgent);
    sim.run_until(2_700, |sim| sim.workers_of(&id).len() == 4);
    assert!(long_jobs.iter().all(|id| sim.workers_of(id).len() == 1));
    assert_eq!(
        (sim.workers_of(&recent_gang).len(), sim.state(&recent_gang)),
        (0, JobState::Running)
    );
    sim.assert_no_violations();
}

/// Guards against preemption victims that become unnecessary when a larger one is selected after them.
#[test]
fn preemption_spares_victims_made_unnecessary_by_a_larger_one() {
    let mut sim = Simulation::new(1, 1);
    let narrow = sim.submit(job("abc", 2, step(2, 1, 60_000)));
    sim.run_for(1_000);
    let wide = sim.submit(job("def", 2, step(1, 6, 60_000)));
    sim.run_for(2_000);
    assert_eq!(sim.workers_of(&narrow), sim.workers_of(&wide));
    let mut urgent = job("a1", 0, step(1, 6, 500));
    urgent.objective_ms = 250;
    let id = sim.submit(urgent);
    sim.run_until(2_700, |sim| !sim.workers_of(&id).is_empty());
    assert_eq!(sim.workers_of(&narrow).len(), 1);
    let narrow_starts = sim
        .starts
        .iter()
        .filter(|(_, task, _)| task.starts_with(narrow.as_str()));
    assert_eq!(narrow_starts.count(), 2);
    sim.assert_no_violations();
}

/// Guards against scheduling by declared run times that are uninformative, and against ignoring accurate ones.
///
/// The objective of the last job is three times its expected run time plus one second.
#[rstest]
#[case::uninformative(Some(1_000), 9_000, 3_400..5_500)]
#[case::accurate(None, 5_000, 15_000..16_500)]
fn declared_run_times_are_weighted_by_their_accuracy(
    #[case] real_work_ms: Option<u64>,
    #[case] declared_ms: u64,
    #[case] objective_ms: std::ops::Range<u64>,
) {
    let mut sim = Simulation::new(1, 8);
    for worker in sim.workers.values_mut() {
        worker.real_work_ms = real_work_ms;
    }
    let declared = [
        300, 4_000, 9_000, 700, 2_000, 150, 6_000, 1_000, 3_000, 500, 8_000, 1_500,
    ];
    for (number, declared_ms) in declared.into_iter().enumerate() {
        sim.submit(job(&format!("{number}"), 1, step(1, 1, declared_ms)));
    }
    sim.run_for(10_000);
    let last = sim.submit(job("abc", 1, step(1, 1, declared_ms)));
    sim.run_until(10_000, |sim| sim.state(&last) == JobState::Done);
    let line = format!("job_done job={last} ");
    let log_line = sim.log_lines.iter().find(|log_line| log_line.contains(&line)).unwrap();
    let objective = log_line
        .split("objective_ms=")
        .nth(1)
        .unwrap()
        .split(' ')
        .next()
        .unwrap();
    assert!(objective_ms.contains(&objective.parse().unwrap()), "{log_line}");
    sim.assert_no_violations();
}

fn urgent_task(id: &str) -> domain::Job {
    let mut urgent = job(id, 0, step(1, 8, 4_000));
    urgent.objective_factor = 1.5;
    urgent.objective_ms = 250;
    urgent
}

/// Guards against stopping a run that ends before the urgent work has to start (a victim near its end beside one that
/// just began): a run that saves checkpoints loses little, so that it was the cheapest victim until its last moment.
#[test]
fn victim_near_its_end_beside_one_that_just_began() {
    let mut sim = Simulation::weighing_delays(1, 2);
    let mut saving = step(1, 8, 4_000);
    saving.saves_checkpoints = true;
    let ending = sim.submit(job("a", 2, saving));
    sim.run_for(3_000);
    let recent = sim.submit(job("b", 2, step(1, 8, 60_000)));
    sim.run_for(850);
    let urgent = sim.submit(urgent_task("c"));
    sim.run_until(700, |sim| !sim.workers_of(&urgent).is_empty());
    assert_eq!(sim.engine.stats().preempted, 0, "{}", sim.log_lines.join("\n"));
    assert_eq!(sim.starts_of(&format!("{ending}.0.0.0")), 1);
    assert_eq!(sim.workers_of(&recent).len(), 1);
    sim.assert_no_violations();
}

/// Guards against a wait for the end of a run that does not come: it is stopped in time for the urgent work.
#[test]
fn victim_that_does_not_end_as_expected_is_stopped() {
    let mut sim = Simulation::new(1, 1);
    let mut saving = step(1, 8, 4_000);
    saving.saves_checkpoints = true;
    sim.submit(job("a", 2, saving));
    sim.run_for(3_700);
    for worker in sim.workers.values_mut() {
        worker.hangs = true;
    }
    let urgent = sim.submit(urgent_task("c"));
    sim.run_until(2_700, |sim| !sim.workers_of(&urgent).is_empty());
    assert_eq!(sim.engine.stats().preempted, 1);
    sim.assert_no_violations();
}

/// Guards against stopping work that would then miss its objective although work with slack could give way (a victim with
/// slack beside one that would miss its objective).
#[test]
fn victim_with_slack_beside_one_that_would_miss_its_objective() {
    let mut sim = Simulation::weighing_delays(1, 2);
    let slack = sim.submit(job("a", 2, step(1, 8, 6_000)));
    sim.run_for(1_000);
    let mut tight = job("b", 2, step(1, 8, 6_000));
    tight.objective_factor = 1.1;
    tight.objective_ms = 400;
    let tight = sim.submit(tight);
    sim.run_for(1_000);
    let urgent = sim.submit(urgent_task("c"));
    sim.run_until(2_700, |sim| !sim.workers_of(&urgent).is_empty());
    assert_eq!((sim.workers_of(&tight).len(), sim.workers_of(&slack).len()), (1, 0));
    sim.assert_no_violations();
}
