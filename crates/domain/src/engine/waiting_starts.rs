use indexmap::IndexSet;

use super::keys::WorkerKey;
use super::listed_starts::ListedStart;
use super::{Engine, RunState, Worker};

/// Workers for which starts wait.
#[derive(Debug, Default)]
pub(super) struct WaitingStarts {
    pub workers: IndexSet<WorkerKey>,
    /// Some unsent starts are not wanted any more and have to be dropped.
    pub has_withdrawn: bool,
}

/// Starts that wait until fewer commands are in flight to their worker.
///
/// They wait here and not where commands are sent: a start is checked again when its turn comes, so that none is sent to
/// a worker that no longer answers, has restarted or drains, or for a job that was cancelled.
impl Engine {
    /// Start commands in flight to one worker. Workers close connections beyond 64; a few are enough, as a command takes
    /// some milliseconds.
    const MAX_STARTS_IN_FLIGHT: usize = 8;

    /// Returns whether a further start command may be sent to a worker now.
    pub(super) const fn accepts_start(worker: &Worker) -> bool {
        worker.starts_in_flight < Self::MAX_STARTS_IN_FLIGHT
    }

    /// Lets a start wait until a start command to its worker is answered.
    pub(super) fn await_replies(&mut self, key: WorkerKey, start: ListedStart) {
        self.workers[key].waiting_starts.push_back(start);
        self.waiting_starts.workers.insert(key);
    }

    /// Takes note that a start command to a worker is no longer in flight.
    pub(super) fn start_answered(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.starts_in_flight = worker.starts_in_flight.saturating_sub(1);
        }
    }

    /// Passes the starts whose turn has come on to be checked and sent, and drops those whose worker gets no new work any
    /// more, so that their tasks start elsewhere.
    pub(super) fn take_waiting_starts(&mut self, now_ms: u64) {
        if std::mem::take(&mut self.waiting_starts.has_withdrawn) {
            self.drop_withdrawn_starts(now_ms);
        }
        let mut next = Vec::new();
        let mut keys = std::mem::take(&mut self.waiting_starts.workers);
        keys.retain(|key| {
            let Some(worker) = self.workers.get_mut(*key) else {
                return false;
            };
            let mut sendable = Self::MAX_STARTS_IN_FLIGHT.saturating_sub(worker.starts_in_flight);
            let mut waiting = std::mem::take(&mut worker.waiting_starts);
            while !waiting.is_empty() {
                let may_start = self.may_still_start_on(*key, now_ms);
                if may_start && sendable == 0 {
                    break;
                }
                let Some(start) = waiting.pop_front() else { break };
                if may_start {
                    sendable -= 1;
                    next.push(start);
                } else {
                    self.drop_start(start.run, now_ms);
                }
            }
            let is_waiting = !waiting.is_empty();
            self.workers[*key].waiting_starts = waiting;
            is_waiting
        });
        self.waiting_starts.workers = keys;
        next.append(&mut self.listed_starts);
        self.listed_starts = next;
    }

    /// Drops the waiting starts whose runs are not wanted any more.
    fn drop_withdrawn_starts(&mut self, now_ms: u64) {
        for key in self.waiting_starts.workers.clone() {
            let Some(worker) = self.workers.get_mut(key) else {
                continue;
            };
            let waiting = std::mem::take(&mut worker.waiting_starts);
            let (wanted, withdrawn): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|start| {
                let run = self.runs.get(start.run);
                run.is_some_and(|run| run.state == RunState::Starting)
            });
            self.workers[key].waiting_starts = wanted.into();
            for start in withdrawn {
                self.drop_start(start.run, now_ms);
            }
        }
    }

    /// Withdraws the starts on a worker that were not sent yet: they were decided for a former process of it.
    pub(super) fn withdraw_unsent_starts(&mut self, key: WorkerKey) {
        for run in &self.workers[key].runs {
            let Some(run) = self.runs.get_mut(*run).filter(|run| run.is_unsent) else {
                continue;
            };
            run.state = RunState::Stopping;
            self.waiting_starts.has_withdrawn = true;
        }
    }

    /// Returns the number of runs whose start commands were not sent yet.
    pub(super) fn unsent_starts(&self) -> usize {
        let waiting = self.waiting_starts.workers.iter();
        let waiting = waiting.filter_map(|key| self.workers.get(*key));
        self.listed_starts.len() + waiting.map(|worker| worker.waiting_starts.len()).sum::<usize>()
    }
}
