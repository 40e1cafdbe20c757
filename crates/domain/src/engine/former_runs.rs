use std::collections::HashSet;

use super::keys::WorkerKey;
use super::organisation_usage::Claim;
use super::{Engine, Worker};
use crate::{LastRuns, TaskRun, WorkerReport};

/// Runs that the row of a worker names and that it has not reported in this epoch.
#[derive(Debug, Default)]
pub(super) struct FormerRuns {
    runs: Vec<(TaskRun, Claim)>,
    /// When the worker first reported; from then on it accepts no command of a former scheduler.
    reported_ms: Option<u64>,
}

impl FormerRuns {
    pub fn claims(&self) -> impl Iterator<Item = Claim> {
        self.runs.iter().map(|(_, claim)| *claim)
    }
}

/// Runs of former epochs that count for their organisations although no task waits for them: those of jobs that have ended,
/// and those that a worker leaves out of its reports while it stops them.
impl Engine {
    /// Adds the runs that rows of former schedulers name. A run that this scheduler knows by other means counts only once.
    pub(super) fn add_former_runs(&mut self, rows: &[(compact_str::CompactString, LastRuns)]) {
        for (id, last) in rows {
            let Some(worker) = self.worker_ids.get(id).copied() else {
                continue;
            };
            for run in last
                .runs
                .iter()
                .filter(|run| !self.run_keys.contains_key(run))
                .cloned()
                .collect::<Vec<_>>()
            {
                let claim = self.claim_of_name(&run);
                self.usages.add(claim);
                self.usages.former.entry(worker).or_default().runs.push((run, claim));
            }
        }
    }

    /// Returns the runs that the row of a worker has to go on naming, so that a further successor counts them as well. Rows
    /// are as without maxima while there are none.
    pub(super) fn former_runs_of(&self, worker: &Worker) -> impl Iterator<Item = &TaskRun> {
        let key = self.worker_ids.get(&worker.entry.id);
        let former = key
            .filter(|_| self.usages.has_maximum())
            .and_then(|key| self.usages.former.get(key));
        former
            .into_iter()
            .flat_map(|former| former.runs.iter().map(|(run, _)| run))
    }

    /// Removes a run that is known from now on, or has ended.
    pub(super) fn forget_former_run(&mut self, worker: WorkerKey, run: &TaskRun) {
        self.retain_former_runs(worker, |other| other != run);
    }

    /// Removes the runs of a worker that has certainly ended them.
    pub(super) fn forget_former_runs(&mut self, worker: WorkerKey) {
        self.retain_former_runs(worker, |_| false);
    }

    fn retain_former_runs(&mut self, worker: WorkerKey, is_kept: impl Fn(&TaskRun) -> bool) {
        let Some(former) = self.usages.former.get_mut(&worker) else {
            return;
        };
        let ended: Vec<_> = former.runs.extract_if(.., |(run, _)| !is_kept(run)).collect();
        if former.runs.is_empty() {
            self.usages.former.remove(&worker);
        }
        self.is_schedule_due |= !ended.is_empty();
        for (_, claim) in ended {
            self.usages.remove(claim);
        }
    }

    /// Removes the runs that a report shows to have ended. One that it does not list may still be stopping, for at most the
    /// time that a stop takes after the first report.
    pub(super) fn settle_former_runs(&mut self, worker: WorkerKey, report: &WorkerReport, now_ms: u64) {
        let stop_limit_ms = self.limits.stop_limit_ms();
        let Some(former) = self.usages.former.get_mut(&worker) else {
            return;
        };
        let reported_ms = *former.reported_ms.get_or_insert(now_ms);
        let ended: HashSet<_> = report.ends.iter().map(|end| (&end.task, end.run)).collect();
        let is_settled = now_ms >= reported_ms + stop_limit_ms;
        let is_kept = |run: &TaskRun| !is_settled && !ended.contains(&(&run.task, run.run));
        self.retain_former_runs(worker, is_kept);
    }

    /// Removes the runs of workers whose leases have certainly expired, or that have reported and had the time to stop.
    pub(super) fn expire_former_runs(&mut self, now_ms: u64) {
        let stop_limit_ms = self.limits.stop_limit_ms();
        let former_until_ms = self.former_acts_until_ms + self.limits.lease_expiry_ms();
        let is_settled = |(key, former): &(&WorkerKey, &FormerRuns)| match former.reported_ms {
            Some(reported_ms) => now_ms >= reported_ms + stop_limit_ms,
            None => self.workers.get(**key).is_none_or(|worker| {
                let expiry_ms = match worker.lease_expiry_ms {
                    0 => former_until_ms,
                    expiry_ms => expiry_ms,
                };
                now_ms > expiry_ms
            }),
        };
        let settled: Vec<_> = self
            .usages
            .former
            .iter()
            .filter(is_settled)
            .map(|(key, _)| *key)
            .collect();
        for worker in settled {
            self.forget_former_runs(worker);
        }
    }
}
