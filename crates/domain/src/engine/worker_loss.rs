use std::collections::HashSet;

use super::keys::RunKey;
use super::{Engine, Run, WorkerKey};

/// How a worker lost its runs without reporting their ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LossCause {
    /// Its process has exited: another one answers at its address.
    Exited,
    /// Its process restarted under the same id.
    Restarted,
    /// It was unresponsive until the leases had certainly expired.
    LeaseExpired,
}

impl LossCause {
    const fn code(self) -> &'static str {
        match self {
            Self::Exited => "worker_exited",
            Self::Restarted => "worker_restarted",
            Self::LeaseExpired => "lease_expired",
        }
    }
}

/// Workers whose runs have ended: their leases expired, or their processes exited or restarted.
impl Engine {
    /// Declares runs lost whose workers were unresponsive until the leases had certainly expired.
    pub(super) fn expire_unresponsive(&mut self, now_ms: u64) {
        for key in self.expired_workers(now_ms) {
            self.log_lines
                .push(format!("worker_expired worker={}", self.workers[key].entry.id));
            self.drop_all_runs(key, LossCause::LeaseExpired, now_ms);
            if !self.workers[key].is_listed {
                self.forget_worker(key);
            }
        }
    }

    /// Returns the workers that have been unresponsive for longer than the leases that this scheduler gave.
    fn expired_workers(&self, now_ms: u64) -> Vec<WorkerKey> {
        self.workers
            .iter()
            .filter(|(_, worker)| now_ms > worker.lease_expiry_ms)
            .filter(|(_, worker)| !worker.runs.is_empty() || !worker.is_listed)
            .filter(|(_, worker)| worker.unresponsive_since_ms.is_some() || !worker.is_fenced)
            .map(|(key, _)| key)
            .collect()
    }

    /// Logs the workers whose runs may be lost, as it is uncertain whether a successor has renewed their leases.
    pub(super) fn defer_losses(&mut self, now_ms: u64) {
        for key in self.expired_workers(now_ms) {
            self.defer_loss(key);
        }
    }

    /// Logs once that the loss of a worker is not concluded until the scheduling lease is certain again.
    pub(super) fn defer_loss(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if !std::mem::replace(&mut worker.is_loss_deferred, true) {
            self.stats.deferred_losses += 1;
            self.log_lines
                .push(format!("worker_loss_deferred worker={}", worker.entry.id));
        }
    }

    /// Handles a worker whose process has certainly exited.
    pub(super) fn worker_exited(&mut self, key: WorkerKey, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        self.log_lines.push(format!("worker_gone worker={}", worker.entry.id));
        worker.is_listed = false;
        self.drop_all_runs(key, LossCause::Exited, now_ms);
        self.forget_worker(key);
    }

    /// Handles a worker process that restarted under the same id.
    pub(super) fn worker_restarted(&mut self, key: WorkerKey) {
        self.log_lines
            .push(format!("worker_reborn worker={}", self.workers[key].entry.id));
        let worker = &mut self.workers[key];
        worker.processed_end = 0;
        worker.acked_end = 0;
        worker.clock = None;
        worker.failed_jobs.clear();
        self.unacked.swap_remove(&key);
        self.withdraw_unsent_starts(key);
        self.forget_speed(key);
    }

    /// Drops the runs that ended with the former incarnation of a worker. Runs that the new one lists, and runs whose
    /// start or stop was confirmed after the report was requested, may be on the new one.
    pub(super) fn drop_unlisted(&mut self, key: WorkerKey, listed: &HashSet<RunKey>, sent_ms: u64, now_ms: u64) {
        let lost: Vec<RunKey> = self.workers[key]
            .runs
            .iter()
            .copied()
            .filter(|run| !listed.contains(run))
            .filter(|run| self.runs[*run].confirmed_ms.is_some_and(|at_ms| at_ms < sent_ms))
            .collect();
        // A start without a reply may have arrived before the crash, also if the new process has confirmed its stop.
        let doubtful: Vec<RunKey> = self.workers[key]
            .runs
            .iter()
            .copied()
            .filter(|run| !listed.contains(run) && !lost.contains(run) && !self.runs[*run].is_unsent)
            .filter(|run| {
                let run = &self.runs[*run];
                run.start_sent_ms < sent_ms || run.is_void || run.confirmed_ms.is_none()
            })
            .collect();
        let crashed = if self.ends_by_plan(key) {
            Vec::new()
        } else {
            self.workers[key].has_crashed = true;
            let ended: Vec<RunKey> = lost.iter().chain(&doubtful).copied().collect();
            self.suspect_runs(&ended)
        };
        for run in doubtful {
            self.runs[run].is_crash_counted = true;
        }
        self.drop_runs(lost, LossCause::Restarted, now_ms);
        let id = self.workers[key].entry.id.clone();
        self.count_crash(&crashed, &id, now_ms);
    }

    fn drop_all_runs(&mut self, key: WorkerKey, cause: LossCause, now_ms: u64) {
        let runs = self.workers[key].runs.clone();
        let suspects = if self.ends_by_plan(key) {
            None
        } else {
            Some(self.suspect_runs(&runs))
        };
        self.drop_runs(runs, cause, now_ms);
        let Some(suspects) = suspects else { return };
        if cause == LossCause::LeaseExpired {
            // It may only have been cut off; its process has crashed if another one answers at its address.
            self.remember_lost_process(key, suspects, now_ms);
            return;
        }
        let entry = self.workers[key].entry.clone();
        self.conclude_lost_process(&entry, now_ms);
        self.remember_lost_process(key, Vec::new(), now_ms);
        self.count_crash(&suspects, &entry.id, now_ms);
    }

    fn drop_runs(&mut self, runs: Vec<RunKey>, cause: LossCause, now_ms: u64) {
        self.stats.lost_workers += u64::from(!runs.is_empty());
        for run_key in runs {
            let Some(run) = self.runs.get(run_key).cloned() else {
                continue;
            };
            if !run.is_unsent {
                self.stats.broken += 1;
                self.stats.lost_runs += 1;
                self.log_lost_run(&run, cause, now_ms);
                self.record_lease_expiry(&run, now_ms);
            }
            self.remove_run(run_key, now_ms);
            if let Some(task) = run.task.filter(|_| self.is_gang_member(&run)) {
                self.end_gang(task.job, task.occurrence, task.step, now_ms);
            }
        }
    }

    /// Logs how long a lost run was seen on its worker: one that no report listed ended right after its start.
    fn log_lost_run(&mut self, run: &Run, cause: LossCause, now_ms: u64) {
        let seen_for_ms = run.last_listed_ms.map(|at_ms| at_ms.saturating_sub(run.start_sent_ms));
        self.log_lines.push(format!(
            "run_lost task={} run={} worker={} cause={} since_start_ms={} seen_for_ms={} is_adopted={} state={:?}",
            run.id.task,
            run.id.run,
            self.workers
                .get(run.worker)
                .map_or("", |worker| worker.entry.id.as_str()),
            cause.code(),
            now_ms.saturating_sub(run.start_sent_ms),
            seen_for_ms.unwrap_or(0),
            run.is_adopted,
            run.state
        ));
    }

    fn forget_worker(&mut self, key: WorkerKey) {
        self.forget_speed(key);
        self.forget_former_runs(key);
        if let Some(worker) = self.workers.remove(key) {
            self.worker_ids.remove(&worker.entry.id);
            self.renewals.remove(key, worker.renew_due_ms);
            self.unacked.swap_remove(&key);
            self.waiting_starts.workers.swap_remove(&key);
            self.commit.remove_worker(&worker.entry.id);
        }
    }
}
