//! Wrong numbers of waiting jobs, after replies of the store were lost.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use super::{Case, job_id};
use crate::Verdict;
use crate::json::Json;
use crate::store::LostReplies;
use crate::world::{CONTACT_MS, ROUTES, World};

const MACHINES: usize = 8;

/// Loss of replies: share of the writes, length, and how late such a write is done.
const LOST_PERCENT: u64 = 35;
const LOST_FOR_MS: u64 = 4_500;
const LATE_MS: (u64, u64) = (1_000, 6_000);

/// Jobs that wait for a kind of worker that is not there: one after the other at first, then many users come at once.
const FIRST_JOBS: u64 = 7;
const FIRST_INTERVAL_MS: u64 = 500;
const JOBS: u64 = 37;

/// Plays of the same trouble, each with a queue of its own; the case ends with the first that breaks the rule.
const ROUNDS: u64 = ROUTES.len() as u64;

pub fn play(case: &Case) -> Option<Verdict> {
    let machines = vec![("a", "r1-1"); MACHINES];
    let seed = u64::from(std::process::id());
    case.record.line(format!("seed {seed}"));
    let world = case.world(&machines, seed)?;
    case.sleep_ms(3_000);
    let mut all_accepted = 0;
    for round in 0..ROUNDS {
        let (queue, prefix, _) = ROUTES[round as usize];
        let accepted = round_of_jobs(case, &world, round, prefix);
        all_accepted += accepted;
        // The last write is late by this time, the store has been stable for long enough afterwards, and every job was
        // accepted over `visible_ms` and 2 s before.
        case.sleep_ms(LATE_MS.1 + CONTACT_MS + 500);
        let lowest = lowest_pending(&world, prefix)?;
        case.record.say(format!(
            "round {round}: {accepted} jobs accepted in {queue}, none begun; the lowest number given as pending is {lowest}"
        ));
        if lowest * 2 < accepted {
            case.record
                .say("MIXED: fewer than half of the waiting jobs are given as pending");
            return Some(Verdict::Broken);
        }
    }
    (all_accepted > ROUNDS * JOBS / 2).then_some(Verdict::Held)
}

/// Submits the jobs of a round while the store loses replies; returns how many were accepted.
fn round_of_jobs(case: &Case, world: &World, round: u64, prefix: &str) -> u64 {
    let lost = LostReplies {
        percent: LOST_PERCENT,
        late_ms: LATE_MS,
    };
    let began_ms = case.now_ms();
    if case.has_trouble {
        case.record.line("the store begins to lose replies");
        world.store.set_lost_replies(Some(lost));
    }
    let accepted = AtomicU64::new(0);
    let submit = |number: u64| {
        let body =
            r#"{"spec":"run 1000 ms","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":1000,"requires":"b"}]}"#;
        let id = job_id(round * JOBS + number);
        if world.submit(&format!("{prefix}{id}"), body, number as usize) {
            accepted.fetch_add(1, Ordering::SeqCst);
        }
    };
    thread::scope(|scope| {
        for number in 0..FIRST_JOBS {
            scope.spawn(move || submit(number));
            case.sleep_ms(FIRST_INTERVAL_MS);
        }
        for number in FIRST_JOBS..JOBS {
            scope.spawn(move || submit(number));
        }
        case.sleep_ms((began_ms + LOST_FOR_MS).saturating_sub(case.now_ms()));
        case.record.line("the store loses no more replies");
        world.store.set_lost_replies(None);
    });
    accepted.into_inner()
}

/// Asks every instance for the number of waiting jobs, twice.
fn lowest_pending(world: &World, prefix: &str) -> Option<u64> {
    let mut lowest = u64::MAX;
    for index in 0..2 * world.instances.len() {
        let (status, body) = world.call(index, "GET", prefix, "")?;
        if status != 200 {
            return None;
        }
        lowest = lowest.min(Json::parse(&body)?.number("pending")?);
    }
    Some(lowest)
}
