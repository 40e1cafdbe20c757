//! Durable speeds of workers: what a successor knows, and what faults of the store cost.

use compact_str::{CompactString, format_compact};
use domain::{JobState, SpeedRow, SpeedRowError, SpeedState, StoredSpeed};
use rstest::rstest;

use crate::simulation::{FakeWorker, Simulation, job, step};
use crate::uneven_speeds::{SPEEDS, config, simulation, speeds_of, urgent_gang};

/// Time within which material changes are durable although nothing else is written.
const WRITTEN_MS: u64 = 11_000;

fn take_over(sim: &mut Simulation) {
    sim.take_over();
    sim.engine.set_config(config());
}

/// Submits an urgent gang as wide as the fast part of a rack; returns it once it was started.
fn start_gang(sim: &mut Simulation, id: &str) -> CompactString {
    let gang = sim.submit(urgent_gang(id, 6));
    sim.run_for(300);
    assert_eq!(speeds_of(sim, &gang).len(), 6, "{:?}", sim.log_lines);
    gang
}

/// Returns what `explain` says of the speeds: of all workers, and of the worker of each run.
fn explained(sim: &mut Simulation, job: &CompactString) -> (Option<SpeedState>, Vec<Option<u64>>) {
    let now_ms = sim.now_ms;
    let explanation = sim.engine.explain(job, now_ms).expect("the job is open");
    let runs = explanation.steps.iter().flat_map(|step| &step.runs);
    (explanation.speeds, runs.map(|run| run.speed_percent).collect())
}

fn assert_knows_speeds(sim: &mut Simulation, id: &str) {
    let gang = start_gang(sim, id);
    let speeds = speeds_of(sim, &gang);
    assert!(speeds.iter().all(|speed| *speed >= 1.0), "{speeds:?}");
    let (state, percents) = explained(sim, &gang);
    assert_eq!(state, Some(SpeedState::Uneven));
    // The mean of the speeds is 0.99, and an estimate is off by at most a quarter.
    assert!(
        percents
            .iter()
            .all(|percent| percent.is_some_and(|percent| percent >= 80)),
        "{percents:?}"
    );
}

fn assert_knows_nothing(sim: &mut Simulation, id: &str) {
    assert_eq!(sim.engine.stats().known_speeds, 0);
    let gang = start_gang(sim, id);
    let speeds = speeds_of(sim, &gang);
    assert!(
        speeds.iter().any(|speed| *speed < 1.0),
        "placement knows nothing: {speeds:?}"
    );
    assert_eq!(explained(sim, &gang), (Some(SpeedState::Unknown), vec![None; 6]));
}

/// Guards against a successor that learns all speeds anew: each takeover would cost urgent gangs their objective.
#[rstest]
#[case::listed_at_once(false)]
#[case::listed_after_the_first_reports(true)]
fn successor_places_by_the_learnt_speeds_at_once(#[case] is_list_late: bool) {
    let mut sim = simulation(SPEEDS);
    sim.run_for(WRITTEN_MS);
    sim.is_list_late = is_list_late;
    take_over(&mut sim);
    sim.refresh_entries();
    let writes = sim.speeds.writes.len();
    assert_knows_speeds(&mut sim, "b");
    assert_eq!(sim.speeds.writes.len(), writes, "what is durable is not written again");
    take_over(&mut sim);
    sim.refresh_entries();
    assert_knows_speeds(&mut sim, "c");
    sim.assert_no_violations();
}

/// Guards against a successor that does worse without rows than a scheduler that never had any, or that does not say so.
#[test]
fn successor_without_rows_knows_nothing_and_says_so() {
    let mut sim = simulation(SPEEDS);
    sim.run_for(WRITTEN_MS);
    sim.speeds.rows.clear();
    take_over(&mut sim);
    assert_knows_nothing(&mut sim, "b");
    let line = "worker_speeds_read rows=0 workers=0";
    assert!(sim.log_lines.iter().any(|logged| logged.ends_with(line)));
    sim.assert_no_violations();
}

/// Guards against the speed of a former process for a worker that restarted, perhaps on another machine.
#[rstest]
#[case::its_entry_is_new(false)]
#[case::its_entry_is_still_that_of_the_former_process(true)]
fn restarted_worker_is_unknown_to_the_successor(#[case] is_entry_outdated: bool) {
    let mut sim = simulation(SPEEDS);
    sim.run_for(WRITTEN_MS);
    let entries: Vec<_> = sim.workers.values().map(FakeWorker::entry).collect();
    let now_ms = sim.now_ms;
    let restarted: CompactString = "w0-2".into();
    sim.workers
        .get_mut(&restarted)
        .expect("the worker exists")
        .restart(now_ms);
    sim.is_list_late = is_entry_outdated;
    take_over(&mut sim);
    if is_entry_outdated {
        for entry in entries {
            sim.engine.set_worker(entry, now_ms);
        }
    }
    sim.run_for(300);
    let everywhere = sim.submit(job("b", 0, step(72, 2, 2_000)));
    sim.run_for(300);
    let explanation = sim.engine.explain(&everywhere, sim.now_ms).expect("the job is open");
    let runs = explanation.steps[0].runs.iter();
    let (unknown, known): (Vec<_>, Vec<_>) = runs.partition(|run| run.worker == restarted);
    assert!(!unknown.is_empty() && unknown.iter().all(|run| run.speed_percent.is_none()));
    assert!(!known.is_empty() && known.iter().all(|run| run.speed_percent.is_some()));
    sim.assert_no_violations();
}

/// Guards against rows of another release that are misread, or that keep this one from writing its own.
#[rstest]
#[case::unknown_format(br#"{"format":2,"base_ms":1,"workers":[["w0-0",0,-500,50]]}"#)]
#[case::unknown_shape_of_an_unknown_format(br#"{"format":2,"speeds":"AAEC"}"#)]
#[case::no_json(b"\x00\x01")]
#[case::numbers_out_of_range(br#"{"format":1,"base_ms":1,"workers":[["w0-0",0,90000,0]]}"#)]
fn rows_that_cannot_be_read_are_ignored(#[case] value: &[u8]) {
    let mut sim = simulation(SPEEDS);
    sim.run_for(WRITTEN_MS);
    sim.speeds.rows.values_mut().for_each(|row| *row = value.to_vec());
    take_over(&mut sim);
    assert_knows_nothing(&mut sim, "b");
    for id in ["ba", "bb", "bc", "bd"] {
        let wide = sim.submit(job(id, 1, step(72, 2, 2_000)));
        sim.run_until(12_000, |sim| sim.state(&wide) == JobState::Done);
    }
    sim.run_for(WRITTEN_MS);
    take_over(&mut sim);
    assert_knows_speeds(&mut sim, "c");
    sim.assert_no_violations();
}

/// Guards against a write of speeds without a reply that holds up progress, or after which no successor knows them.
#[test]
fn lost_reply_to_the_write_of_speeds_costs_nothing() {
    let mut sim = Simulation::new(2, 9);
    sim.speeds.lose_replies = 3;
    learn(&mut sim);
    assert_eq!(sim.speeds.lose_replies, 0);
    sim.run_for(WRITTEN_MS);
    take_over(&mut sim);
    assert_knows_speeds(&mut sim, "b");
    sim.assert_no_violations();
}

/// Guards against rows that the store refuses, which would refuse the progress of all jobs with them.
#[test]
fn refused_rows_hold_up_no_other_write() {
    let mut sim = Simulation::new(2, 9);
    sim.speeds.are_refused = true;
    let begin_ms = sim.now_ms;
    learn(&mut sim);
    // Each refusal delays other changes by one attempt, at most every 2 s.
    let most = (sim.now_ms - begin_ms) / 2_000 + 1;
    assert!(
        (1..=most).contains(&u64::from(sim.speeds.refusals)),
        "{}",
        sim.speeds.refusals
    );
    assert_knows_speeds(&mut sim, "b");
    take_over(&mut sim);
    assert_knows_nothing(&mut sim, "c");
    sim.assert_no_violations();
}

/// Guards against rows that are lost because the store took no writes for a while.
#[test]
fn rows_are_written_after_an_outage() {
    let mut sim = Simulation::new(2, 9);
    sim.speeds.are_refused = true;
    learn(&mut sim);
    sim.speeds.are_refused = false;
    sim.are_commits_refused = true;
    let wide = sim.submit(job("b", 1, step(72, 2, 2_000)));
    sim.run_for(6_000);
    sim.are_commits_refused = false;
    sim.run_until(12_000, |sim| sim.state(&wide) == JobState::Done);
    sim.run_for(WRITTEN_MS);
    take_over(&mut sim);
    assert_knows_speeds(&mut sim, "c");
    sim.assert_no_violations();
}

/// Guards against writes for each new estimate: bytes written to the store are paid for.
#[test]
fn rows_are_written_seldom_and_with_other_writes() {
    let mut sim = Simulation::new(2, 9);
    learn(&mut sim);
    let until_ms = sim.now_ms + 40_000;
    for number in 0.. {
        if sim.now_ms >= until_ms {
            break;
        }
        let steady = sim.submit(job(&format!("d{number}"), 1, step(36, 2, 1_000)));
        sim.run_until(12_000, |sim| sim.state(&steady) == JobState::Done);
    }
    let writes = &sim.speeds.writes;
    assert!(
        writes.windows(2).all(|pair| pair[1].at_ms >= pair[0].at_ms + 2_000),
        "{writes:?}"
    );
    assert!(writes.iter().all(|write| !write.is_alone), "{writes:?}");
    let late = writes.iter().filter(|write| write.at_ms >= until_ms - 20_000);
    assert!(late.map(|write| write.rows).sum::<usize>() <= 3, "{writes:?}");
}

/// Runs work on workers of uneven speed until their speeds are known.
fn learn(sim: &mut Simulation) {
    for (number, worker) in sim.workers.values_mut().enumerate() {
        worker.speed = SPEEDS[number % SPEEDS.len()];
    }
    sim.engine.set_config(config());
    for id in ["aa", "ab", "ac"] {
        let wide = sim.submit(job(id, 1, step(72, 2, 2_000)));
        sim.run_until(12_000, |sim| sim.state(&wide) == JobState::Done);
    }
}

fn stored(number: u32, id_length: usize) -> StoredSpeed {
    StoredSpeed {
        worker: format_compact!("w{number:0>id_length$}"),
        process_started_unix_ms: 1_780_000_000_000 + u64::from(number) * 977,
        log_permille: -510 + number as i32 % 1_000,
        deviation_permille: 50 + number % 150,
    }
}

/// Guards against a change of the stored format without a new format version.
#[test]
fn format_of_a_row() {
    let row = SpeedRow::new(3, [stored(0, 4), stored(7, 4)]);
    let value = String::from_utf8(row.encode()).expect("the value is text");
    insta::assert_snapshot!(value, @r#"{"format":1,"base_ms":1780000000000,"workers":[["w0000",0,-510,50],["w0007",6839,-503,57]]}"#);
    assert_eq!(SpeedRow::decode(3, &row.encode()).expect("the row is readable"), row);
    let newer = value.replace("\"format\":1", "\"format\":2");
    let error = SpeedRow::decode(3, newer.as_bytes()).expect_err("the format is unknown");
    assert!(matches!(error, SpeedRowError::UnknownFormat { format: 2 }), "{error}");
}

/// Guards against a row that the store refuses, as it is larger than a value may be.
#[rstest]
#[case::target_size(60, 12)]
#[case::many_workers(5_000, 12)]
#[case::long_ids(5_000, 200)]
fn rows_fit_into_the_store(#[case] workers: u32, #[case] id_length: usize) {
    let row = SpeedRow::new(0, (0..workers).map(|number| stored(number, id_length)));
    assert!(row.encode().len() <= SpeedRow::MAX_BYTES);
    assert!(row.workers.len() >= 30.min(workers as usize), "{}", row.workers.len());
}

/// Guards against rows that are written again for noise, and against changes that a successor never learns of.
#[rstest]
#[case::same(0, 0, 0, false)]
#[case::within_its_deviation(0, 99, 0, false)]
#[case::beyond_its_deviation(0, -101, 0, true)]
#[case::somewhat_more_certain(0, 0, -39, false)]
#[case::much_more_certain(0, 0, -41, true)]
#[case::less_certain(0, 0, 90, false)]
#[case::other_process(1, 0, 0, true)]
fn material_changes(
    #[case] started_later_ms: u64,
    #[case] log_change: i32,
    #[case] deviation_change: i32,
    #[case] is_material: bool,
) {
    let older = StoredSpeed {
        deviation_permille: 100,
        ..stored(1, 4)
    };
    let newer = StoredSpeed {
        process_started_unix_ms: older.process_started_unix_ms + started_later_ms,
        log_permille: older.log_permille + log_change,
        deviation_permille: older.deviation_permille.saturating_add_signed(deviation_change),
        ..older.clone()
    };
    assert_eq!(newer.differs_materially_from(&older), is_material);
}
