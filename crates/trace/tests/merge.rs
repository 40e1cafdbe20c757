//! Merging and rendering: events of one process must keep their order, and no event may appear twice.

use model::Epoch;
use rstest::rstest;
use trace::{Event, EventKind, Record, Ring, merge, to_svg, to_text};

fn record(process: &str, sequence: u64, at_unix_ms: u64, kind: EventKind) -> Record {
    Record {
        process: process.parse().unwrap(),
        sequence,
        at_unix_ms,
        event: Event::new(kind),
    }
}

fn sample() -> Vec<Record> {
    vec![
        record("entry-2", 1, 1_500, EventKind::PeerUp),
        record("entry-1", 2, 900, EventKind::SchedulerElected),
        record("entry-1", 1, 1_000, EventKind::InstanceStarted),
        record("entry-1", 3, 2_000, EventKind::JobStarted),
        record("entry-1", 2, 900, EventKind::SchedulerElected),
    ]
}

#[test]
fn merge_keeps_the_order_of_a_process_whose_clock_steps_back() {
    let merged = merge(sample());
    let order: Vec<(&str, u64)> = merged.iter().map(|r| (r.process.as_str(), r.sequence)).collect();
    assert_eq!(order, [("entry-1", 1), ("entry-1", 2), ("entry-2", 1), ("entry-1", 3)]);
}

#[test]
fn text_matches_the_snapshot() {
    let mut records = merge(sample());
    records[1].event = Event::new(EventKind::SchedulerElected)
        .epoch(Epoch(3))
        .job("org/req".parse().unwrap())
        .attempt(1)
        .lease("3.1".parse().unwrap())
        .worker("dc1-r1-w1".parse().unwrap())
        .data_centre("dc1".parse().unwrap())
        .cause("holder silent");
    insta::assert_snapshot!("timeline_text", to_text(&records));
}

#[rstest]
#[case::empty(vec![], 0)]
#[case::some(sample(), 5)]
fn svg_has_a_mark_for_each_event(#[case] records: Vec<Record>, #[case] marks: usize) {
    let svg = to_svg(&records);
    assert_eq!(svg.matches("<circle").count(), marks);
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
}

#[test]
fn markup_in_a_cause_is_escaped() {
    let mut records = sample();
    records[0].event.cause = Some("<script>".into());
    assert!(!to_svg(&records).contains("<script>"));
}

#[test]
fn ring_keeps_the_newest_events_and_counts_dropped_ones() {
    let mut ring = Ring::new("entry-1".parse().unwrap(), 2);
    for at in 1..=5 {
        ring.push(at, Event::new(EventKind::PeerUp));
    }
    assert_eq!(ring.after(0).map(|r| r.sequence).collect::<Vec<_>>(), [4, 5]);
    assert_eq!((ring.dropped(), ring.after(4).count()), (3, 1));
}

#[test]
fn unknown_event_kind_is_decoded_as_other() {
    let json = r#"{"process":"e","sequence":1,"at_unix_ms":1,"kind":"invented_later"}"#;
    let record: Record = serde_json::from_str(json).unwrap();
    assert_eq!(record.event.kind, EventKind::Other);
}

#[test]
fn serialized_kinds_match_their_log_names() {
    for kind in EventKind::ALL {
        assert_eq!(serde_json::to_value(kind).unwrap(), kind.as_str());
    }
}
