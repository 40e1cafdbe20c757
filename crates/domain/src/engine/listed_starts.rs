use super::keys::RunKey;
use super::place::Barrier;
use super::queue::PlacementUnitKey;
use super::{Engine, RunState, Worker, WorkerKey};
use crate::{Action, Commit, Limits, StartCommand};

/// Start whose run has to be listed in the row of its worker before the command is sent.
#[derive(Debug, Clone)]
pub(super) struct ListedStart {
    pub run: RunKey,
    pub command: StartCommand,
}

/// Starts that wait for the rows of their workers.
///
/// A successor that cannot reach a worker has to keep every task from starting that may be on it. It knows these tasks
/// if each run is durable in the row of its worker before the start command is sent.
impl Engine {
    /// Sends a start command once its run is listed, or at once if starts need not be listed.
    pub(super) fn send_start(&mut self, run: RunKey, command: StartCommand, now_ms: u64) {
        self.listed_starts.push(ListedStart { run, command });
        if self.start_bound.requires_listing(now_ms) {
            self.last_runs.awaits_rows = true;
        } else {
            self.send_listed_starts(now_ms);
        }
    }

    /// Sends the start commands that wait for nothing any more, and drops those that must not be sent.
    pub(super) fn send_listed_starts(&mut self, now_ms: u64) {
        let requires_listing = self.start_bound.requires_listing(now_ms);
        let has_stale_feed = self.has_stale_feed(now_ms);
        let mut waiting = Vec::new();
        for start in std::mem::take(&mut self.listed_starts) {
            let Some(run) = self.runs.get(start.run) else {
                continue;
            };
            if run.state != RunState::Starting || !self.may_still_start_on(run.worker, now_ms) {
                self.remove_run(start.run, now_ms);
            } else if has_stale_feed || (requires_listing && !run.is_listed) {
                waiting.push(start);
            } else {
                self.send_listed_start(start, now_ms);
            }
        }
        self.last_runs.awaits_rows = !waiting.is_empty();
        self.listed_starts = waiting;
    }

    fn send_listed_start(&mut self, ListedStart { run: key, mut command }: ListedStart, now_ms: u64) {
        let limits = self.limits;
        let run = &mut self.runs[key];
        let worker_key = run.worker;
        let unit = PlacementUnitKey::new(run.job, run.occurrence, run.step);
        let worker = &mut self.workers[worker_key];
        let Some(lease_until_ms) = worker.lease_until_ms(now_ms, limits.lease_max_ms, Limits::CLOCK_DRIFT) else {
            self.remove_run(key, now_ms);
            return;
        };
        run.is_unsent = false;
        run.start_sent_ms = now_ms;
        worker.lease_expiry_ms = worker.lease_expiry_ms.max(now_ms + limits.lease_expiry_ms());
        self.stats.starts += 1;
        command.lease_until_ms = lease_until_ms;
        command.ticket = self.ticket_for(unit, worker_key, now_ms);
        self.actions.push(Action::Start {
            worker: worker_key,
            command,
        });
    }

    /// Returns whether a run that was placed on a worker may still start there.
    fn may_still_start_on(&self, worker: WorkerKey, now_ms: u64) -> bool {
        let worker = &self.workers[worker];
        let is_open = matches!(
            self.barrier(worker, now_ms),
            None | Some(Barrier::Isolated | Barrier::Refusing | Barrier::Excluded)
        );
        // Its capacity may have shrunk since.
        is_open && worker.used.fits(&worker.entry.capacity)
    }

    /// Takes note of rows about last runs that are durable.
    pub(super) fn runs_listed(&mut self, commit: &Commit) {
        for (id, last) in &commit.last_runs {
            let worker_key = self.worker_ids.get(id).copied();
            let keys = last.runs.iter().filter_map(|run| self.run_keys.get(run));
            for key in keys {
                let run = &mut self.runs[*key];
                if worker_key == Some(run.worker) && !run.is_listed {
                    run.is_listed = true;
                    self.workers[run.worker].unlisted_runs -= 1;
                }
            }
        }
    }

    /// Returns whether all that may be on a worker is known.
    pub(super) const fn knows_runs_of(worker: &Worker, now_ms: u64) -> bool {
        worker.is_fenced || worker.has_known_runs || now_ms > worker.lease_expiry_ms
    }

    /// Returns whether the row of each worker contains all runs that may be on it.
    pub(super) fn are_all_runs_listed(&self, now_ms: u64) -> bool {
        self.workers
            .values()
            .all(|worker| Self::knows_runs_of(worker, now_ms) && self.are_runs_listed(worker))
    }

    fn are_runs_listed(&self, worker: &Worker) -> bool {
        let mut runs = worker.runs.iter().map(|key| &self.runs[*key]);
        worker.unlisted_runs == 0 || runs.all(|run| run.is_listed || run.is_unsent)
    }
}
