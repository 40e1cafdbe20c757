//! Ring buffer of timeline events.

use rstest::rstest;
use trace::{Event, EventKind, Ring};

/// Guards against a buffer that grows without bound, as one of capacity 0 did.
#[rstest]
#[case::none(0)]
#[case::one(1)]
#[case::some(3)]
fn buffer_keeps_the_newest_events(#[case] capacity: usize) {
    const EVENTS: u64 = 10;
    let mut ring = Ring::new("e1".parse().unwrap(), capacity);
    for at_unix_ms in 1..=EVENTS {
        ring.push(at_unix_ms, Event::new(EventKind::JobEnded));
    }
    let kept: Vec<u64> = ring.after(0).map(|record| record.sequence).collect();
    let newest: Vec<u64> = (EVENTS + 1 - capacity as u64..=EVENTS).collect();
    assert_eq!((kept, ring.dropped()), (newest, EVENTS - capacity as u64));
}
