//! Two versions of the messages side by side: with 52 replacements a day old and new instances always run together, and
//! neither may misread the other's configuration version or state.

use net::peer::PeerState;
use prost::Message;
use rstest::rstest;

/// State as a former version knew it: without grants, load and local out.
#[derive(Clone, PartialEq, Message)]
struct FormerState {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(string, tag = "2")]
    data_centre: String,
    #[prost(uint64, tag = "3")]
    config_version: u64,
    #[prost(bool, tag = "6")]
    stopping: bool,
}

/// State as a later version may write it: the configuration version moves to a new field. The former field has to be
/// written beside it until every instance reads the new one.
#[derive(Clone, PartialEq, Message)]
struct LaterState {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(string, tag = "2")]
    data_centre: String,
    #[prost(uint64, tag = "3")]
    config_version: u64,
    #[prost(uint64, tag = "20")]
    config_version_of_region: u64,
}

fn current() -> PeerState {
    PeerState {
        instance: "entry-1".into(),
        data_centre: "dc1".into(),
        config_version: 7,
        stopping: true,
        granted_slots: 8,
        local_out: true,
        ..PeerState::default()
    }
}

#[test]
fn former_reader_skips_fields_that_it_does_not_know() {
    let read = FormerState::decode(current().encode_to_vec().as_slice()).unwrap();
    assert_eq!((read.config_version, read.stopping), (7, true));
}

#[test]
fn current_reader_takes_absent_fields_for_defaults() {
    let former = FormerState {
        instance: "entry-2".into(),
        data_centre: "dc2".into(),
        config_version: 6,
        stopping: false,
    };
    let read = PeerState::decode(former.encode_to_vec().as_slice()).unwrap();
    assert_eq!((read.config_version, read.granted_slots, read.local_out), (6, 0, false));
}

/// A field that is written before every reader knows it reads as version 0: the peer looks as if it had no configuration.
#[rstest]
#[case::written_first(0, 0)]
#[case::read_first_and_both_written(9, 9)]
fn moved_field_needs_readers_before_writers(#[case] former_field: u64, #[case] read_version: u64) {
    let later = LaterState {
        instance: "entry-3".into(),
        data_centre: "dc3".into(),
        config_version: former_field,
        config_version_of_region: 9,
    };
    let read = PeerState::decode(later.encode_to_vec().as_slice()).unwrap();
    assert_eq!(read.config_version, read_version);
}
