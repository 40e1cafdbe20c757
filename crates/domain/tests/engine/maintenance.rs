//! Maintenance waves under takeovers, lost replies and late lists of machines.

use compact_str::CompactString;
use domain::{JobState, Wave, WaveProgress};
use rstest::rstest;

use crate::simulation::{Simulation, job, step};

const WITHIN_MS: u64 = 30_000;

fn wave(number: u64, machines: &[&str], most_down: usize) -> Wave {
    Wave {
        number,
        machines: machines.iter().map(|name| (*name).into()).collect(),
        within_ms: WITHIN_MS,
        most_down,
    }
}

/// Fills workers with tasks that outlast a wave.
fn fill(sim: &mut Simulation, name: &str, count: u32) -> CompactString {
    let id = sim.submit(job(name, 1, step(count, 8, 2 * WITHIN_MS)));
    sim.run_until(3_000, |sim| sim.workers_of(&id).len() == count as usize);
    id
}

/// Guards against a second run of a task that runs on a machine whose maintenance was over before a takeover.
///
/// Without rows, as after an upgrade, the successor repeats the command and must not take its confirmation for the end
/// of the runs there.
#[rstest]
#[case::with_rows(true)]
#[case::without_rows(false)]
fn maintenance_before_a_takeover_ends_no_runs(#[case] has_rows: bool) {
    let mut sim = Simulation::new(1, 3);
    sim.request_wave(wave(1, &["m-w0-0"], 1));
    sim.run_until(10_000, |sim| sim.waves.get(&1) == Some(&WaveProgress::Done));
    let jobs = ["a", "b", "c"].map(|name| fill(&mut sim, name, 1));
    // One worker is idle, so that a second run finds room.
    let elsewhere = jobs.iter().find(|id| sim.workers_of(id) != ["w0-0n"]);
    sim.cancel(elsewhere.expect("two jobs are elsewhere"));
    sim.run_for(1_000);
    if !has_rows {
        sim.maintenance.rows.clear();
    }
    sim.take_over();
    sim.run_for(20_000);
    sim.assert_no_violations();
    assert_eq!(sim.maintenance.commands.len(), if has_rows { 1 } else { 2 });
    assert_eq!((sim.maintained(1), sim.interrupted_runs, sim.starts.len()), (1, 0, 3));
}

/// Guards against a second run of a task on the worker that a machine has after a maintenance whose reply was lost: the
/// repeated command is confirmed although nothing ends.
#[test]
fn lost_maintenance_reply_ends_no_runs_of_the_next_worker() {
    let mut sim = Simulation::new(1, 2);
    sim.maintenance.lose_replies = 2;
    sim.request_wave(wave(1, &["m-w0-0"], 1));
    sim.run_until(5_000, |sim| !sim.maintenance.commands.is_empty());
    sim.maintenance.are_lists_unreadable = true;
    sim.run_until(5_000, |sim| sim.workers.contains_key("w0-0n"));
    fill(&mut sim, "a", 2);
    sim.maintenance.are_lists_unreadable = false;
    sim.run_until(10_000, |sim| sim.waves.get(&1) == Some(&WaveProgress::Done));
    sim.run_for(5_000);
    sim.assert_no_violations();
}

/// Guards against more machines down than a wave allows: a list of machines that was requested before a command shows
/// the machine as up after the reply.
#[rstest]
#[case::list_shorter_than_maintenance(900)]
#[case::list_as_long_as_the_time_out(1_500)]
fn late_list_of_machines_ends_no_maintenance(#[case] list_delay_ms: u64) {
    let mut sim = Simulation::new(1, 4);
    // The machines are idle, so that the first command is sent, while the second list is under way.
    let id = sim.submit(job("a", 1, step(4, 8, 2 * list_delay_ms + 500)));
    sim.run_until(3_000, |sim| sim.workers_of(&id).len() == 4);
    sim.maintenance.list_delay_ms = list_delay_ms;
    // Machines that were removed leave the wave enough time to wait for the others.
    sim.request_wave(wave(1, &["m-w0-0", "m-w0-1", "m-w0-2", "m-x", "m-y"], 1));
    sim.run_until(WITHIN_MS, |sim| sim.waves.get(&1) == Some(&WaveProgress::Done));
    assert_eq!((sim.maintained(1), sim.most_down), (3, 1));
    sim.assert_no_violations();
}

/// Guards against more machines down than a wave allows: a command of the former scheduler takes effect after a
/// takeover.
#[test]
fn late_command_of_a_former_scheduler_counts_as_down() {
    let mut sim = Simulation::new(1, 4);
    // The successor finds other machines as idle as the one that the command is for.
    let id = sim.submit(job("a", 1, step(3, 8, 400)));
    sim.run_until(300, |sim| sim.workers_of(&id).len() == 3);
    sim.maintenance.command_delay_ms = Some(1_500);
    sim.request_wave(wave(1, &["m-w0-0", "m-w0-1", "m-w0-2", "m-w0-3"], 1));
    sim.run_until(300, |sim| !sim.maintenance.commands.is_empty());
    sim.run_for(400);
    sim.maintenance.command_delay_ms = None;
    sim.take_over();
    sim.run_until(WITHIN_MS, |sim| sim.waves.get(&1) == Some(&WaveProgress::Done));
    assert_eq!((sim.maintained(1), sim.most_down), (4, 1));
    sim.assert_no_violations();
}

/// Guards against a machine whose maintenance is left out because it was down for another wave.
#[test]
fn maintenance_for_one_wave_does_not_count_for_another() {
    let mut sim = Simulation::new(1, 3);
    sim.request_wave(wave(1, &["m-w0-0"], 1));
    sim.request_wave(wave(2, &["m-w0-0", "m-w0-1"], 1));
    let is_done = |sim: &Simulation| {
        [1, 2]
            .iter()
            .all(|number| sim.waves.get(number) == Some(&WaveProgress::Done))
    };
    sim.run_until(WITHIN_MS, is_done);
    assert_eq!((sim.maintained(1), sim.maintained(2)), (1, 2));
    assert!(sim.maintenance.commands.len() <= 8, "{:?}", sim.maintenance.commands);
    sim.assert_no_violations();
}

/// Guards against a wave that is late since each successor counts its time from the start.
#[test]
fn successors_keep_the_time_of_a_wave() {
    let mut sim = Simulation::new(1, 2);
    fill(&mut sim, "a", 2);
    sim.request_wave(wave(1, &["m-w0-0", "m-w0-1"], 1));
    let began_ms = sim.now_ms;
    for _ in 0..5 {
        sim.run_for(WITHIN_MS / 6);
        sim.take_over();
    }
    sim.run_until(WITHIN_MS, |sim| sim.waves.get(&1) == Some(&WaveProgress::Done));
    assert!(sim.now_ms - began_ms <= WITHIN_MS, "{} ms", sim.now_ms - began_ms);
    sim.assert_no_violations();
}

/// Guards against tasks of a step that are away beyond its limit: another task ended while the row of a planned command
/// could not be written.
#[test]
fn planned_command_is_checked_again_before_it_is_sent() {
    let mut sim = Simulation::new(1, 3);
    let mut serving = step(2, 8, 4 * WITHIN_MS);
    serving.is_long_running = true;
    serving.max_unavailable = 1;
    let id = sim.submit(job("a", 1, serving));
    fill(&mut sim, "b", 1);
    sim.run_until(3_000, |sim| sim.workers_of(&id).len() == 2);
    let workers = sim.workers_of(&id);
    sim.request_wave(wave(1, &[&format!("m-{}", workers[0]), "m-x", "m-y"], 1));
    sim.run_for(1_100);
    sim.is_store_down = true;
    sim.run_for(WITHIN_MS / 2 + 2_000);
    // The other task has no room elsewhere.
    sim.workers.get_mut(&workers[1]).unwrap().is_unresponsive = true;
    sim.run_for(10_000);
    sim.is_store_down = false;
    sim.run_for(3_000);
    assert_eq!(sim.interrupted_runs, 0);
    sim.assert_no_violations();
}

/// Guards against work that waits for the leases of a worker whose machine went down for maintenance.
#[test]
fn interrupted_work_starts_again_at_once() {
    let mut sim = Simulation::new(1, 2);
    let id = fill(&mut sim, "a", 1);
    let busy = sim.workers_of(&id)[0].clone();
    sim.request_wave(wave(1, &[&format!("m-{busy}")], 1));
    sim.run_until(WITHIN_MS, |sim| sim.interrupted_runs == 1);
    let took_ms = sim.run_until(5_000, |sim| sim.starts.len() == 2);
    assert!(took_ms <= 200, "{took_ms} ms");
    sim.run_until(5 * WITHIN_MS, |sim| {
        sim.store.values().all(|job| job.progress.state == JobState::Done)
    });
    sim.assert_no_violations();
}
