//! Maxima of organisations: what one has running never exceeds its own, whatever fails.

use compact_str::CompactString;
use domain::{JobState, Organisation, Resources, Step};
use rstest::rstest;

use crate::silent_workers::{silence, silence_ends};
use crate::simulation::{FakeWorker, Simulation, job, step};

const NAME: &str = "clyde-koi";

fn organisation(name: &str, accelerators: u64) -> Organisation {
    Organisation {
        name: name.into(),
        guaranteed_accelerators: 64,
        maximum: Resources {
            accelerators,
            ..Resources::default()
        },
        ..Organisation::default()
    }
}

/// Starts a cluster with one organisation that may have this number of accelerators running. What is left of the workers
/// stays idle on purpose.
fn limited(racks: u32, workers: u32, accelerators: u64) -> Simulation {
    let mut sim = Simulation::new(racks, workers);
    sim.checks_idle_tasks = false;
    sim.configure(vec![organisation(NAME, accelerators)]);
    sim
}

fn in_use(sim: &Simulation) -> u64 {
    sim.usage_of(NAME).accelerators
}

fn gang(count: u32, accelerators: u64, estimate_ms: u64) -> Step {
    Step {
        is_gang: true,
        ..step(count, accelerators, estimate_ms)
    }
}

/// Guards against a burst that runs on more than the maximum, and against part of the maximum staying unused.
#[rstest]
#[case::accelerators(Resources { accelerators: 6, ..Resources::default() }, 6)]
#[case::cpu(Resources { cpu_milli: 5_500, ..Resources::default() }, 5)]
#[case::memory(Resources { memory_mib: 4 * 4 * 1_024, ..Resources::default() }, 4)]
fn burst_of_one_organisation_stays_within(#[case] maximum: Resources, #[case] most: usize) {
    let mut sim = limited(1, 2, 0);
    sim.configure(vec![Organisation {
        maximum,
        ..organisation(NAME, 0)
    }]);
    let ids: Vec<_> = (0..10)
        .map(|number| sim.submit(job(&format!("a{number}"), 1, step(2, 1, 700))))
        .collect();
    sim.run_for(300);
    let running: usize = sim.workers.values().map(|worker| worker.runs.len()).sum();
    assert_eq!(running, most);
    sim.run_until(20_000, |sim| ids.iter().all(|id| sim.state(id) == JobState::Done));
    sim.assert_no_violations();
}

/// Guards against background tasks that do not count with the processor time that they declare.
#[test]
fn background_tasks_count_with_all_they_declare() {
    let mut sim = limited(1, 2, 0);
    sim.configure(vec![Organisation {
        maximum: Resources {
            cpu_milli: 3_000,
            ..Resources::default()
        },
        ..organisation(NAME, 0)
    }]);
    let mut filler = step(8, 1, 500);
    filler.is_filler = true;
    let id = sim.submit(job("a", 1, filler));
    sim.run_until(10_000, |sim| sim.state(&id) == JobState::Done);
    sim.assert_no_violations();
}

/// Guards against a step that waits although a run of its organisation has ended.
#[test]
fn freed_maximum_is_used_at_once() {
    let mut sim = limited(1, 2, 2);
    let first = sim.submit(job("a", 1, step(1, 2, 1_000)));
    sim.run_for(500);
    let second = sim.submit(job("b", 1, step(1, 2, 500)));
    sim.run_until(5_000, |sim| sim.state(&first) == JobState::Done);
    sim.run_until(150, |sim| sim.starts_of(&format!("{second}.0.0.0")) == 1);
    sim.assert_no_violations();
}

/// Guards against a successor that does not count starts without a reply, which arrive late.
#[test]
fn unanswered_starts_count_across_a_takeover() {
    for delay_ms in (250..6_000).step_by(500) {
        let mut sim = limited(1, 4, 8);
        sim.start_delay_ms = Some(delay_ms);
        let first = sim.submit(job("a", 1, step(1, 8, 60_000)));
        sim.run_until(200, |sim| sim.starts.len() == 1);
        let silent = sim.starts[0].2.clone();
        silence(&mut sim, &silent);
        sim.take_over();
        let others: Vec<_> = (0..3)
            .map(|number| sim.submit(job(&format!("b{number}"), 1, step(1, 8, 500))))
            .collect();
        sim.cancel(&first);
        sim.run_until(25_000, |sim| others.iter().all(|id| sim.state(id) == JobState::Done));
        sim.assert_no_violations();
    }
}

/// Guards against runs that a successor does not count: on workers that are silent, of jobs that were cancelled or are
/// unknown to it, and that reports leave out while they are being stopped.
#[rstest]
#[case::open_job(false, true, 0)]
#[case::open_job_silent_for_long(false, true, 3_000)]
#[case::cancelled_job(true, true, 0)]
#[case::cancelled_job_silent_for_long(true, true, 3_000)]
#[case::cancelled_job_not_listed(true, false, 0)]
fn runs_on_silent_workers_count_across_takeovers(
    #[case] is_cancelled: bool,
    #[case] lists_stopping_runs: bool,
    #[case] silent_ms: u64,
    #[values(0, 200, 700, 2_000)] reply_after_ms: u64,
    #[values(1, 2)] takeovers: u32,
) {
    let mut sim = limited(2, 2, 16);
    // Once the first starts are over, all later ones are listed in the rows of their workers.
    let warm = sim.submit(job("w", 1, step(2, 8, 300)));
    sim.run_until(5_000, |sim| sim.state(&warm) == JobState::Done);
    let first = sim.submit(job("a", 1, step(2, 8, 8_000)));
    sim.run_until(3_000, |sim| sim.workers_of(&first).len() == 2);
    sim.run_for(500);
    let silent = sim.worker_of_task(&format!("{first}.0.0.1"));
    for worker in sim.workers.values_mut() {
        worker.lists_stopping_runs = lists_stopping_runs;
    }
    silence(&mut sim, &silent);
    sim.run_for(silent_ms);
    if is_cancelled {
        sim.cancel(&first);
        // The store takes the final state.
        sim.run_for(150);
    }
    let others: Vec<_> = (0..4)
        .map(|number| sim.submit(job(&format!("b{number}"), 1, step(1, 8, 500))))
        .collect();
    for _ in 0..takeovers {
        sim.take_over();
        sim.run_for(300);
    }
    sim.run_for(reply_after_ms);
    silence_ends(&mut sim, &silent);
    sim.run_until(30_000, |sim| others.iter().all(|id| sim.state(id) == JobState::Done));
    sim.assert_no_violations();
}

/// Guards against a successor that starts work before it knows what its organisation runs: no row names the runs.
#[test]
fn nothing_starts_before_former_runs_are_known() {
    let mut sim = limited(1, 3, 8);
    let first = sim.submit(job("a", 1, step(1, 8, 9_000)));
    sim.run_until(3_000, |sim| sim.workers_of(&first).len() == 1);
    let silent = sim.worker_of_task(&format!("{first}.0.0.0"));
    silence(&mut sim, &silent);
    sim.last_runs.clear();
    sim.start_bound = None;
    sim.take_over();
    let other = sim.submit(job("b", 1, step(1, 8, 500)));
    sim.run_until(30_000, |sim| sim.state(&other) == JobState::Done);
    sim.assert_no_violations();
}

/// Guards against starts without regard to runs whose job is unknown: its row is not there any more.
#[test]
fn run_of_an_unknown_job_counts_until_it_has_ended() {
    let mut sim = limited(1, 3, 8);
    let first = sim.submit(job("a", 1, step(1, 8, 9_000)));
    sim.run_until(3_000, |sim| sim.workers_of(&first).len() == 1);
    let worker = sim.worker_of_task(&format!("{first}.0.0.0"));
    let rows = sim.store.remove(&first).unwrap();
    sim.take_over();
    sim.store.insert(first.clone(), rows);
    let other = sim.submit(job("b", 1, step(1, 8, 500)));
    while sim.workers[&worker]
        .runs
        .iter()
        .any(|run| run.task_run.task.contains(first.as_str()))
    {
        assert_eq!(
            sim.starts_of(&format!("{other}.0.0.0")),
            0,
            "{}",
            sim.log_lines.join("\n")
        );
        sim.run_for(Simulation::STEP_MS);
    }
    sim.run_until(10_000, |sim| sim.state(&other) == JobState::Done);
    sim.assert_no_violations();
}

/// Guards against a lowered maximum that stops runs, or lets more start before usage fits, also of starts that wait for
/// replies of their worker.
#[rstest]
#[case::while_running(500)]
#[case::while_starting(0)]
#[case::just_after_the_decision(10)]
fn lowered_maximum_stops_nothing_and_starts_nothing(#[case] after_ms: u64) {
    let mut sim = limited(1, 2, 12);
    let first = sim.submit(job("a", 1, step(12, 1, 2_000)));
    sim.run_for(after_ms);
    sim.configure(vec![organisation(NAME, 4)]);
    let second = sim.submit(job("b", 1, step(4, 1, 500)));
    sim.run_until(20_000, |sim| {
        sim.state(&first) == JobState::Done && sim.state(&second) == JobState::Done
    });
    assert_eq!(sim.engine.stats().stops, 0, "{}", sim.log_lines.join("\n"));
    sim.assert_no_violations();
}

/// Guards against a raised maximum that takes effect late.
#[test]
fn raised_maximum_takes_effect_at_the_next_pass() {
    let mut sim = limited(1, 2, 4);
    sim.submit(job("a", 1, step(12, 1, 5_000)));
    sim.run_for(500);
    assert_eq!(in_use(&sim), 4);
    sim.configure(vec![organisation(NAME, 10)]);
    sim.run_for(150);
    assert_eq!(in_use(&sim), 10);
    sim.assert_no_violations();
}

/// Guards against starts while runs of cancelled jobs are still being stopped.
#[rstest]
#[case::listed(true)]
#[case::not_listed(false)]
fn runs_of_cancelled_jobs_count_until_they_end(#[case] lists_stopping_runs: bool) {
    let mut sim = limited(1, 3, 8);
    for worker in sim.workers.values_mut() {
        worker.lists_stopping_runs = lists_stopping_runs;
    }
    let first = sim.submit(job("a", 1, step(8, 1, 9_000)));
    sim.run_until(2_000, |sim| in_use(sim) == 8);
    sim.cancel(&first);
    let second = sim.submit(job("b", 1, step(8, 1, 500)));
    sim.run_until(6_000, |sim| sim.state(&second) == JobState::Done);
    sim.assert_no_violations();
}

/// Guards against a gang that is started in part, and against one that holds back what still fits.
#[test]
fn gang_wider_than_what_is_left_waits_as_a_whole() {
    let mut sim = limited(2, 2, 8);
    let first = sim.submit(job("a", 1, step(1, 4, 2_000)));
    sim.run_for(300);
    let wide = sim.submit(job("b", 1, gang(3, 2, 500)));
    let narrow = sim.submit(job("c", 2, step(1, 2, 500)));
    sim.run_until(1_500, |sim| sim.state(&narrow) == JobState::Done);
    assert_eq!(sim.starts_of(&format!("{wide}.0.0.0")), 0);
    sim.run_until(5_000, |sim| {
        sim.state(&first) == JobState::Done && sim.state(&wide) == JobState::Done
    });
    sim.assert_no_violations();
}

/// Guards against work that is held back, or stopped, for a gang that can never run: its job was accepted before the
/// maximum was lowered.
#[rstest]
#[case::urgent(0)]
#[case::other(1)]
fn gang_that_can_never_run_holds_back_nothing(#[case] priority: u32) {
    let mut sim = limited(2, 2, 4);
    let mut wide = gang(4, 4, 500);
    wide.is_same_rack = true;
    let never = sim.submit(job("a", priority, wide));
    let mut others = sim.organisations.clone();
    others.push(organisation("other", 0));
    sim.configure(others);
    let mut free = job("b", 1, step(32, 1, 1_000));
    free.organisation = "other".into();
    let free = sim.submit(free);
    sim.run_until(1_500, |sim| sim.state(&free) == JobState::Done);
    assert_eq!(sim.engine.stats().preempted, 0, "{}", sim.log_lines.join("\n"));
    assert_eq!(sim.state(&never), JobState::Queued);
    sim.assert_no_violations();
}

/// Guards against guaranteed work that waits for later work of its own organisation, which holds the maximum; no run of
/// another organisation is stopped for it.
#[test]
fn guaranteed_work_takes_the_maximum_from_its_own_organisation() {
    let mut sim = limited(1, 3, 8);
    let mut others = sim.organisations.clone();
    others.push(organisation("other", 0));
    sim.configure(others);
    let own = sim.submit(job("a", 2, step(8, 1, 20_000)));
    let mut foreign = job("b", 2, step(8, 1, 20_000));
    foreign.organisation = "other".into();
    sim.submit(foreign);
    sim.run_until(2_000, |sim| sim.engine.stats().running == 16);
    let urgent = sim.submit(job("c", 0, gang(2, 2, 500)));
    sim.run_until(2_700, |sim| sim.starts_of(&format!("{urgent}.0.0.0")) == 1);
    sim.run_until(2_000, |sim| sim.state(&urgent) == JobState::Done);
    assert_eq!(sim.usage_of("other").accelerators, 8);
    assert_eq!(sim.engine.stats().preempted, 4, "{}", sim.log_lines.join("\n"));
    assert_eq!(sim.state(&own), JobState::Running);
    sim.assert_no_violations();
}

/// Guards against guaranteed work that never fits into the maximum, since waiting tasks of its own organisation take each
/// part of it that becomes free (RECLAIM on shifted/lkvc-spool-now-grown, quiet-1: one job waited for 6.2 s while ten
/// rounds of stops freed room for it).
#[test]
fn waiting_tasks_of_its_organisation_do_not_refill_what_guaranteed_work_needs() {
    let mut sim = limited(2, 4, 16);
    sim.submit(job("a", 2, step(400, 1, 60_000)));
    sim.run_for(1_000);
    assert_eq!(in_use(&sim), 16);
    let hosts: Vec<CompactString> = sim.workers.keys().cloned().collect();
    let urgent = sim.submit(job("b", 0, gang(4, 3, 1_000)));
    // The workers report the ends of their runs at different times.
    for round in 0..12 {
        for (number, host) in hosts.iter().enumerate() {
            sim.workers.get_mut(host).expect("the worker exists").is_unresponsive = number % 2 == round % 2;
        }
        sim.run_for(200);
    }
    for host in &hosts {
        sim.workers.get_mut(host).expect("the worker exists").is_unresponsive = false;
    }
    sim.run_for(300);
    assert!(!sim.workers_of(&urgent).is_empty());
    sim.run_until(20_000, |sim| sim.state(&urgent) == JobState::Done);
    sim.assert_no_violations();
}

/// Guards against usage that drifts from the runs over crashes, silence, stops and takeovers.
#[rstest]
fn maximum_holds_under_random_faults(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut state = seed;
    let mut random = move |below: u64| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    };
    let mut sim = limited(2, 3, 20);
    let mut ids: Vec<CompactString> = Vec::new();
    for number in 0..120 {
        let id = format!("a{number}");
        let shape = match random(3) {
            0 => gang(2 + random(3) as u32, 1 + random(3), 300 + random(2_000)),
            _ => step(1 + random(4) as u32, 1 + random(4), 300 + random(2_000)),
        };
        ids.push(sim.submit(job(&id, random(3) as u32, shape)));
        let worker: CompactString = format!("w{}-{}", random(2), random(3)).into();
        match random(12) {
            0 => silence(&mut sim, &worker),
            1 => sim.take_over(),
            2 => sim.workers.get_mut(&worker).unwrap().crash(sim.now_ms, 400),
            3 => {
                let index = random(ids.len() as u64) as usize;
                sim.cancel(&ids[index].clone());
            }
            4 => sim.lose_starts = 1,
            _ => {}
        }
        sim.run_for(random(400));
        if random(3) == 0 {
            for worker in sim
                .workers
                .values_mut()
                .filter(|worker: &&mut FakeWorker| worker.down_until_ms.is_none())
            {
                worker.is_unresponsive = false;
            }
        }
    }
    let worst: Vec<_> = sim.violations.iter().filter(|text| text.contains("maximum")).collect();
    assert!(worst.is_empty(), "{worst:?}\n{}", sim.log_lines.join("\n"));
}
