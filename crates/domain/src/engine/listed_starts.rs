use super::keys::RunKey;
use super::place::Barrier;
use super::{Engine, Run, RunState, Worker, WorkerKey};
use crate::{Action, Commit, Limits, StartCommand};

/// Start whose run has to be listed in the row of its worker before the command is sent.
#[derive(Debug, Clone)]
pub(super) struct ListedStart {
    pub run: RunKey,
    pub command: StartCommand,
    /// When the run was placed.
    pub placed_ms: u64,
}

/// Starts that wait for the rows of their workers.
///
/// A successor that cannot reach a worker has to keep every task from starting that may be on it. It knows these tasks
/// if each run is durable in the row of its worker before the start command is sent.
impl Engine {
    /// Time after which starts no longer wait for rows; the store normally answers within milliseconds.
    const MAX_START_WAIT_MS: u64 = 250;

    /// Adds a start; [`Self::send_listed_starts`] sends it once it waits for nothing any more.
    pub(super) fn add_start(&mut self, run: RunKey, command: StartCommand, now_ms: u64) {
        self.listed_starts.push(ListedStart {
            run,
            command,
            placed_ms: now_ms,
        });
    }

    /// Sends the start commands that wait for nothing any more, and drops those that must not be sent.
    pub(super) fn send_listed_starts(&mut self, now_ms: u64) {
        self.take_waiting_starts(now_ms);
        self.note_complete_usage();
        let requires_listing = self.start_bound.requires_listing(now_ms);
        let has_stale_feed = self.has_stale_feed(now_ms);
        let mut waiting = Vec::new();
        let mut awaits_rows = false;
        for start in std::mem::take(&mut self.listed_starts) {
            let Some(run) = self.runs.get(start.run) else {
                continue;
            };
            let awaits_row = requires_listing && !self.is_start_listed(run);
            // The maximum may have been lowered since it was placed.
            let is_withdrawn = run.state != RunState::Starting || self.exceeds_maximum(run);
            if is_withdrawn || !self.may_still_start_on(run.worker, now_ms) {
                self.drop_start(start.run, now_ms);
            } else if awaits_row || has_stale_feed {
                if awaits_row && now_ms >= start.placed_ms + Self::MAX_START_WAIT_MS {
                    self.start_bound.lift(now_ms);
                }
                awaits_rows |= awaits_row;
                waiting.push(start);
            } else if !Self::accepts_start(&self.workers[run.worker]) {
                self.await_replies(run.worker, start);
            } else {
                self.send_listed_start(start, now_ms);
            }
        }
        self.last_runs.awaits_rows = awaits_rows;
        self.listed_starts = waiting;
    }

    /// Returns whether a run and, as a gang starts as a whole, the other members of its gang are listed.
    fn is_start_listed(&self, run: &Run) -> bool {
        let Some(state) = self.step_of(run).filter(|_| self.is_gang_member(run)) else {
            return run.is_listed;
        };
        let mut members = state.active.iter().flatten().map(|key| &self.runs[*key]);
        members.all(|member| member.is_listed || !member.is_unsent)
    }

    /// Removes a run whose start command was not sent.
    pub(super) fn drop_start(&mut self, key: RunKey, now_ms: u64) {
        let Some(run) = self.runs.get(key) else { return };
        let suspect_job = run.task.filter(|_| run.is_suspect).map(|task| task.job);
        self.log_lines.push(format!(
            "start_dropped task={} run={} worker={} placed_ms_ago={} state={:?}",
            run.id.task,
            run.id.run,
            self.workers[run.worker].entry.id,
            now_ms.saturating_sub(run.start_sent_ms),
            run.state
        ));
        self.remove_run(key, now_ms);
        if let Some(job) = suspect_job.filter(|job| self.jobs.contains_key(*job)) {
            // A successor would count a crash under the trial that may be durable.
            self.mark_dirty(job, now_ms);
        }
    }

    fn send_listed_start(&mut self, start: ListedStart, now_ms: u64) {
        let ListedStart {
            run: key, mut command, ..
        } = start;
        let limits = self.limits;
        let run = &mut self.runs[key];
        let worker_key = run.worker;
        let unit = run.unit();
        let worker = &mut self.workers[worker_key];
        let Some(lease_until_ms) = worker.lease_until_ms(now_ms, limits.lease_max_ms, Limits::CLOCK_DRIFT) else {
            self.drop_start(key, now_ms);
            return;
        };
        run.is_unsent = false;
        run.start_sent_ms = now_ms;
        worker.starts_in_flight += 1;
        worker.lease_expiry_ms = worker.lease_expiry_ms.max(now_ms + limits.lease_expiry_ms());
        self.stats.starts += 1;
        command.lease_until_ms = lease_until_ms;
        command.ticket = unit.and_then(|unit| self.ticket_for(unit, worker_key, now_ms));
        self.actions.push(Action::Start {
            worker: worker_key,
            command,
        });
    }

    /// Returns whether a run that was placed on a worker may still start there.
    pub(super) fn may_still_start_on(&self, worker: WorkerKey, now_ms: u64) -> bool {
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
            let Some(worker_key) = self.worker_ids.get(id).copied() else {
                continue;
            };
            let mut has_ended_runs = false;
            for run in &last.runs {
                let run = self.run_keys.get(run).and_then(|key| self.runs.get_mut(*key));
                let Some(run) = run.filter(|run| run.worker == worker_key) else {
                    has_ended_runs = true;
                    continue;
                };
                let was_listed = std::mem::replace(&mut run.is_listed, true);
                self.workers[worker_key].unlisted_runs -= u32::from(!was_listed);
            }
            self.workers[worker_key].is_row_outdated &= has_ended_runs;
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
