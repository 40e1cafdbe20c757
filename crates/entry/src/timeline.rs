use std::sync::{Arc, Mutex, PoisonError};

use model::InstanceId;
use trace::{Event, EventKind, Record, Ring};

use crate::clock::Clock;

/// Timeline of the process, shared by all actors.
#[derive(Debug, Clone)]
pub(crate) struct Timeline {
    ring: Arc<Mutex<Ring>>,
    clock: Clock,
}

impl Timeline {
    pub(crate) fn new(process: InstanceId, capacity_events: usize, clock: Clock) -> Self {
        Self {
            ring: Arc::new(Mutex::new(Ring::new(process, capacity_events))),
            clock,
        }
    }

    /// Appends an event; changes of the system's own state are also logged.
    pub(crate) fn push(&self, event: Event) {
        if is_state_change(event.kind) {
            log(&event);
        }
        let now_unix_ms = self.clock.now_unix_ms();
        self.lock().push(now_unix_ms, event);
    }

    pub(crate) fn after(&self, sequence: u64) -> Vec<Record> {
        self.lock().after(sequence).cloned().collect()
    }

    pub(crate) fn dropped(&self) -> u64 {
        self.lock().dropped()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether an event is a change of the system's own state, which is logged. Events of requests, jobs and leases
/// are only counted and traced.
const fn is_state_change(kind: EventKind) -> bool {
    matches!(
        kind,
        EventKind::InstanceStarted
            | EventKind::InstanceStopping
            | EventKind::InstanceStopped
            | EventKind::SchedulerElected
            | EventKind::SchedulerDeposed
            | EventKind::SchedulerRecovered
            | EventKind::WorkerUp
            | EventKind::WorkerDown
            | EventKind::WorkerLeaving
            | EventKind::WorkerQuarantined
            | EventKind::WorkerReleased
            | EventKind::PeerUp
            | EventKind::PeerDown
            | EventKind::ConfigAccepted
            | EventKind::ConfigInForce
            | EventKind::DataCentreOut
            | EventKind::DataCentreIn
            | EventKind::GuaranteeLost
            | EventKind::StoreDown
            | EventKind::StoreUp
    )
}

fn log(event: &Event) {
    let text = |value: Option<String>| value.unwrap_or_default();
    spdlog::info!("{}", event.kind, kv: {
        data_centre = text(event.data_centre.as_ref().map(ToString::to_string)),
        worker = text(event.worker.as_ref().map(ToString::to_string)),
        epoch = text(event.epoch.map(|epoch| epoch.to_string())),
        cause = text(event.cause.as_ref().map(ToString::to_string)),
    });
}
