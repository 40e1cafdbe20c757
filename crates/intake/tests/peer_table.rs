//! Which connection of another instance is closed, and for what, without a network.

use intake::{Cause, PeerLimits, PeerTable};
use rstest::rstest;

const LIMITS: PeerLimits = PeerLimits {
    budget_bytes: 400 * 1_024,
    max_connections: 4,
    idle_timeout_ms: 30_000,
    write_timeout_ms: 10_000,
};

/// Guards against a budget that is kept by closing the connection of an ordinary instance, with many small calls, instead
/// of the one that holds most bytes.
#[test]
fn connection_that_holds_most_is_closed_over_the_budget() {
    let mut table = PeerTable::new(LIMITS);
    let [ordinary, large, larger] = [0, 1, 2].map(|now_ms| table.accept(now_ms));
    (0..10).for_each(|_| table.begin_request(ordinary, 3));
    table.hold(ordinary, 10_000);
    table.hold(large, 70_000);
    table.hold(larger, 140_000);
    assert_eq!([ordinary, large, larger].map(|key| table.closing(key)), [None; 3]);
    table.hold(large, 60_000);
    let closing = [ordinary, large, larger].map(|key| table.closing(key));
    assert_eq!(closing, [None, None, Some(Cause::Budget)]);
    assert!(table.is_over_budget(), "the bytes count until the connection has gone");
    table.remove(larger);
    assert!(!table.is_over_budget());
    table.remove(large);
    table.remove(ordinary);
    assert_eq!(table.held_bytes(), 0);
}

/// Guards against a full table that turns a new instance away or closes one with a call in progress.
#[test]
fn inactive_connection_makes_room_for_a_new_one() {
    let mut table = PeerTable::new(LIMITS);
    let [busy, inactive, active, last] = [0, 1, 2, 3].map(|now_ms| table.accept(now_ms));
    table.begin_request(busy, 4);
    table.begin_request(active, 5);
    table.end_request(active, 6);
    table.accept(7);
    let closing = [busy, inactive, active, last].map(|key| table.closing(key));
    assert_eq!(closing, [None, Some(Cause::Evicted), None, None]);
    assert!(table.is_full());
    table.remove(inactive);
    assert!(!table.is_full());
}

/// Guards against connections that stay open without a call, or with a reply that nobody reads.
#[rstest]
#[case::idle(0, 0, Some((30_005, Cause::IdleTimeout)))]
#[case::call_in_progress(1, 0, None)]
#[case::unread_reply(1, 1, Some((10_005, Cause::WriteTimeout)))]
fn each_state_has_its_deadline(#[case] requests: u64, #[case] replies: u64, #[case] deadline: Option<(u64, Cause)>) {
    let mut table = PeerTable::new(LIMITS);
    let key = table.accept(5);
    (0..requests).for_each(|_| table.begin_request(key, 5));
    (0..replies).for_each(|_| table.begin_reply(key, 5));
    assert_eq!(table.deadline(key), deadline);
}
