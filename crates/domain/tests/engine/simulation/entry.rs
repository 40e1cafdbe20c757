use compact_str::CompactString;
use domain::{EntryState, Resources, WorkerEntry};

use super::GIB;

/// Returns the entry of a worker with the default capacity.
pub fn entry(id: &CompactString, rack: &CompactString, process_started_unix_ms: u64) -> WorkerEntry {
    WorkerEntry {
        id: id.clone(),
        address: format!("10.0.0.1:{id}").into(),
        service: "valuation".into(),
        data_centre: "dc1".into(),
        rack: rack.clone(),
        labels: vec!["a".into(), rack.clone()],
        capacity: Resources {
            cpu_milli: 32_000,
            memory_mib: 64 * GIB,
            accelerators: 8,
        },
        state: EntryState::Ready,
        process_started_unix_ms: Some(process_started_unix_ms),
    }
}
