//! Which connection is closed, and for what, without a network.

use intake::{Cause, ConnectionKey, ConnectionTable, Limits, Stage};
use rstest::rstest;

const LIMITS: Limits = Limits {
    budget_bytes: 436 * 1_024,
    max_connections: 3,
    header_bytes: 16_384,
    header_timeout_ms: 3_000,
    body_timeout_ms: 30_000,
    body_min_bytes_per_s: 4_096,
    idle_timeout_ms: 15_000,
    write_timeout_ms: 10_000,
    linger_timeout_ms: 1_000,
    linger_bytes: 100_000,
};

fn body(table: &mut ConnectionTable, bytes: u64, now_ms: u64) -> ConnectionKey {
    let key = table.accept(now_ms).unwrap();
    table.read(key, 200, now_ms);
    table.begin_request(key, true, now_ms);
    table.read(key, bytes, now_ms);
    key
}

/// Guards against a budget that is kept by dropping ordinary small requests instead of the latest large body.
#[test]
fn latest_large_body_is_dropped_over_the_budget() {
    let mut table = ConnectionTable::new(LIMITS);
    let early = body(&mut table, 150_000, 1);
    let small = body(&mut table, 4_000, 2);
    let late = body(&mut table, 140_000, 3);
    assert_eq!(table.closing(late), None);
    table.read(small, 100_000, 4);
    let closing = [early, small, late].map(|key| table.closing(key));
    assert_eq!(closing, [None, None, Some(Cause::Budget)]);
    table.remove(late);
    table.remove(early);
    table.remove(small);
    assert_eq!(table.held_bytes(), 0);
}

/// Guards against requests that are closed for a new connection while an idle one is open.
#[test]
fn connections_without_a_request_make_room_first() {
    let mut table = ConnectionTable::new(LIMITS);
    let unfinished = body(&mut table, 10, 1);
    let handled = body(&mut table, 10, 2);
    table.end_body(handled, 2);
    let idle = table.accept(3).unwrap();
    table.accept(4).unwrap();
    assert!(table.is_full());
    assert_eq!(table.closing(idle), Some(Cause::Evicted));
    table.remove(idle);
    let fifth = body(&mut table, 10, 5);
    assert_eq!((table.closing(unfinished), table.closing(handled)), (None, None));
    table.end_body(fifth, 5);
    table.remove(fifth);
    assert!(!table.is_full());
}

/// Guards against a connection that answers a request and is closed for a new one.
#[test]
fn new_connection_is_refused_when_all_answer_requests() {
    let mut table = ConnectionTable::new(LIMITS);
    for now_ms in 0..3 {
        let key = body(&mut table, 10, now_ms);
        table.end_body(key, now_ms);
    }
    assert_eq!(table.accept(5), Err(Cause::Full));
    assert_eq!((table.closed(Cause::Full), table.closed(Cause::Evicted)), (1, 0));
}

/// Guards against a stage without a limit in time.
#[rstest]
#[case::idle(Stage::Idle, 15_000, Cause::IdleTimeout)]
#[case::head(Stage::Head, 3_000, Cause::HeadTimeout)]
#[case::slow_body(Stage::Body, 3_500, Cause::BodyTimeout)]
#[case::unread_reply(Stage::Reply, 10_000, Cause::WriteTimeout)]
#[case::rest_of_a_refused_body(Stage::Linger, 1_000, Cause::Linger)]
fn stage_is_limited_in_time(#[case] stage: Stage, #[case] limit_ms: u64, #[case] cause: Cause) {
    let mut table = ConnectionTable::new(LIMITS);
    let key = table.accept(0).unwrap();
    if stage != Stage::Idle {
        table.read(key, 100, 0);
    }
    if matches!(stage, Stage::Body | Stage::Linger) {
        table.begin_request(key, true, 0);
        table.read(key, 2_048, 0);
    }
    if stage == Stage::Reply {
        table.begin_request(key, false, 0);
    }
    if matches!(stage, Stage::Reply | Stage::Linger) {
        table.end_request(key, 0);
    }
    assert_eq!(table.stage(key), Some(stage));
    assert_eq!(table.deadline(key), Some((limit_ms, cause)));
}

/// Guards against a request that is closed by the limits while it is being answered.
#[test]
fn answering_has_no_limit_in_time() {
    let mut table = ConnectionTable::new(LIMITS);
    let key = body(&mut table, 10, 0);
    table.end_body(key, 0);
    assert_eq!(table.deadline(key), None);
}

/// Guards against heads and refused bodies without an end.
#[test]
fn heads_and_refused_bodies_are_limited_in_bytes() {
    let mut table = ConnectionTable::new(LIMITS);
    let head = table.accept(0).unwrap();
    (0..6).for_each(|_| table.read(head, 4_096, 0));
    assert_eq!(table.closing(head), Some(Cause::HeadSize));
    let refused = body(&mut table, 10, 0);
    table.end_request(refused, 0);
    table.read(refused, 100_000, 0);
    assert_eq!(table.closing(refused), None);
    table.read(refused, 1, 0);
    assert_eq!(table.closing(refused), Some(Cause::Linger));
}

/// Guards against a decoded body that takes the memory of requests in progress, and against one that is refused while
/// unfinished bodies could give way.
#[test]
fn decoded_body_takes_the_room_of_unfinished_ones() {
    let mut table = ConnectionTable::new(LIMITS);
    let unfinished = body(&mut table, 200_000, 1);
    let first = body(&mut table, 1_000, 2);
    table.end_body(first, 2);
    assert!(table.reserve(first, 200_000));
    assert_eq!(table.closing(unfinished), Some(Cause::Budget));
    table.remove(unfinished);
    let second = body(&mut table, 1_000, 3);
    table.end_body(second, 3);
    assert!(!table.reserve(second, 250_000));
    assert_eq!((table.closing(first), table.closing(second)), (None, None));
    table.end_request(first, 4);
    assert!(table.reserve(second, 250_000));
    table.remove(first);
    table.remove(second);
    assert_eq!(table.held_bytes(), 0);
}

/// Guards against large replies that nobody reads, and against a small one that is dropped for the budget.
#[test]
fn large_unread_reply_is_dropped_over_the_budget() {
    let mut table = ConnectionTable::new(LIMITS);
    let [small, large] = [100, 400_000].map(|reply_bytes| {
        let key = body(&mut table, 10, 0);
        table.end_body(key, 0);
        table.end_request(key, 0);
        table.hold_reply(key, reply_bytes);
        key
    });
    assert_eq!(
        [small, large].map(|key| table.closing(key)),
        [None, Some(Cause::Budget)]
    );
    assert!(table.is_clearing(), "the bytes count until the connection has gone");
    table.remove(large);
    assert!(!table.is_clearing());
    table.flushed(small, 1);
    assert_eq!(table.held_bytes(), Limits::CONNECTION_BYTES);
}

/// Guards against clients that lock out all others until the time limit of replies by not reading theirs.
#[test]
fn unread_reply_makes_room_for_a_new_connection() {
    let mut table = ConnectionTable::new(LIMITS);
    let [first, second, handled] = [0, 1, 2].map(|now_ms| {
        let key = body(&mut table, 10, now_ms);
        table.end_body(key, now_ms);
        key
    });
    table.end_request(first, 3);
    table.end_request(second, 4);
    assert_eq!(table.accept(1_002), Err(Cause::Full));
    assert!(table.accept(1_003).is_ok());
    let closing = [first, second, handled].map(|key| table.closing(key));
    assert_eq!(closing, [Some(Cause::Evicted), None, None]);
}
