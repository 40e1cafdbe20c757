use std::collections::BTreeMap;

use compact_str::CompactString;
use domain::{EntryState, Resources, WorkerEntry};

use super::{GIB, Simulation};

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

/// Processes whose entries the list of workers shows.
#[derive(Debug, Default)]
pub struct Registrations {
    processes: BTreeMap<CompactString, Registration>,
}

#[derive(Debug)]
struct Registration {
    process_started_unix_ms: u64,
    /// When the engine reads the entry; `None` once it has.
    due_ms: Option<u64>,
}

impl Simulation {
    /// Time from the return of a restarted worker until the engine has read its new entry.
    const REGISTRATION_MS: u64 = 250;

    /// Passes the entries of restarted workers to the engine, as workers write them when they start.
    pub(super) fn deliver_entries(&mut self) {
        let now_ms = self.now_ms;
        let is_list_readable = !self.is_list_unreadable;
        for worker in self.workers.values() {
            let process_started_unix_ms = worker.process_started_unix_ms;
            let processes = &mut self.registrations.processes;
            let known = processes.entry(worker.id.clone()).or_insert(Registration {
                process_started_unix_ms,
                due_ms: None,
            });
            if !worker.is_listed || worker.is_unresponsive {
                continue;
            }
            if known.process_started_unix_ms != process_started_unix_ms {
                *known = Registration {
                    process_started_unix_ms,
                    due_ms: Some(now_ms + Self::REGISTRATION_MS),
                };
            }
            let is_due = known.due_ms.is_some_and(|due_ms| now_ms >= due_ms);
            if is_due && is_list_readable {
                known.due_ms = None;
                self.engine.set_worker(worker.entry(), now_ms);
            }
        }
    }
}
