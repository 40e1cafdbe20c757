//! Compatibility of two message versions: with 52 instance replacements a day, old and new instances always run
//! together, and neither may misread the other's configuration version or state.

use net::peer::PeerState;
use prost::Message;
use rstest::rstest;

/// `PeerState` as defined by an older version, without grants, load and `local_out`.
#[derive(Clone, PartialEq, Message)]
struct OlderPeerState {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(string, tag = "2")]
    data_centre: String,
    #[prost(uint64, tag = "3")]
    config_version: u64,
    #[prost(bool, tag = "6")]
    stopping: bool,
}

/// `PeerState` as a newer version may define it, with the configuration version moved to a new field. The old field has
/// to be written as well until every instance reads the new one.
#[derive(Clone, PartialEq, Message)]
struct NewerPeerState {
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
fn older_reader_ignores_unknown_fields() {
    let read = OlderPeerState::decode(current().encode_to_vec().as_slice()).unwrap();
    assert_eq!((read.config_version, read.stopping), (7, true));
}

#[test]
fn current_reader_uses_defaults_for_absent_fields() {
    let older = OlderPeerState {
        instance: "entry-2".into(),
        data_centre: "dc2".into(),
        config_version: 6,
        stopping: false,
    };
    let read = PeerState::decode(older.encode_to_vec().as_slice()).unwrap();
    assert_eq!((read.config_version, read.granted_slots, read.local_out), (6, 0, false));
}

/// Guards against writing a moved field before every reader knows it: the reader sees version 0, as if the peer had no
/// configuration.
#[rstest]
#[case::written_first(0, 0)]
#[case::read_first_and_both_written(9, 9)]
fn moved_field_needs_readers_before_writers(#[case] old_field: u64, #[case] read_version: u64) {
    let newer = NewerPeerState {
        instance: "entry-3".into(),
        data_centre: "dc3".into(),
        config_version: old_field,
        config_version_of_region: 9,
    };
    let read = PeerState::decode(newer.encode_to_vec().as_slice()).unwrap();
    assert_eq!(read.config_version, read_version);
}
