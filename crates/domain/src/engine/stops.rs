use super::keys::{RunKey, WorkerKey};
use super::{Engine, RunState};
use crate::{Action, TaskRun};

/// Stop commands and their replies.
impl Engine {
    /// Interval of repeating a stop that was not confirmed.
    pub(super) const STOP_REPEAT_MS: u64 = 300;

    /// Stop commands in flight to one worker. Stops do not wait for starts, and workers close connections beyond 64.
    const MAX_STOPS_IN_FLIGHT: usize = 8;

    /// Stop commands in flight to a worker that does not answer.
    const MAX_UNRESPONSIVE_STOPS: usize = 1;

    /// Stops a run: sends the command or repeats it, unless one of the run or too many to its worker are in flight. A run
    /// whose start was not sent yet is dropped.
    pub(super) fn stop_run(&mut self, key: RunKey, now_ms: u64) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.state = RunState::Stopping;
        if run.is_unsent {
            // It is removed before its start command would be sent.
            self.waiting_starts.has_withdrawn = true;
            return;
        }
        if run.is_void {
            return;
        }
        self.unconfirmed_stops.insert(key);
        let is_recent = run
            .stop_sent_ms
            .is_some_and(|sent| now_ms < sent + Self::STOP_REPEAT_MS);
        let Some(worker) = self.workers.get_mut(run.worker) else {
            return;
        };
        let in_flight_max = if worker.unresponsive_since_ms.is_some() {
            Self::MAX_UNRESPONSIVE_STOPS
        } else {
            Self::MAX_STOPS_IN_FLIGHT
        };
        if is_recent || run.is_stop_in_flight || worker.stops_in_flight >= in_flight_max {
            return;
        }
        worker.stops_in_flight += 1;
        run.is_stop_in_flight = true;
        run.stop_sent_ms = Some(now_ms);
        let worker = run.worker;
        let task_run = run.id.clone();
        // It is repeated after the stops that were not sent yet.
        self.unconfirmed_stops.shift_remove(&key);
        self.unconfirmed_stops.insert(key);
        self.stats.stops += 1;
        self.actions.push(Action::Stop { worker, task_run });
    }

    /// Sends the stops that were not confirmed and are due.
    pub(super) fn repeat_stops(&mut self, now_ms: u64) {
        let unconfirmed: Vec<_> = self.unconfirmed_stops.iter().copied().collect();
        for key in unconfirmed {
            self.stop_run(key, now_ms);
        }
    }

    /// Handles the reply to a stop command, or its absence.
    pub fn stop_replied(&mut self, worker: WorkerKey, task_run: &TaskRun, is_confirmed: bool, now_ms: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.stops_in_flight = worker.stops_in_flight.saturating_sub(1);
        }
        let Some(key) = self.run_keys.get(task_run).copied() else {
            return;
        };
        let Some(run) = self.runs.get_mut(key) else { return };
        run.is_stop_in_flight = false;
        if is_confirmed {
            run.is_void = true;
            run.confirmed_ms = Some(now_ms);
            self.unconfirmed_stops.swap_remove(&key);
        }
    }
}
