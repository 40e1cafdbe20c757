use super::keys::JobKey;
use super::{Engine, Run};
use crate::{EndKind, RunEnd, RunRecord, TaskName};

/// Durable records of runs.
impl Engine {
    /// Records a run end that a worker reported. It becomes durable with the resulting progress, before it is
    /// acknowledged to the worker.
    pub(super) fn record(
        &mut self,
        job: JobKey,
        name: &TaskName,
        end: &RunEnd,
        worker: &str,
        run: Option<&Run>,
        now_ms: u64,
    ) {
        let Some(entry) = self.jobs.get_mut(job) else { return };
        let ran_ms = run
            .filter(|run| !run.is_adopted)
            .map(|run| now_ms.saturating_sub(run.start_sent_ms));
        entry.records.push(RunRecord {
            occurrence: name.occurrence,
            step: name.step,
            index: name.index,
            run: end.run,
            worker: worker.into(),
            how: end.kind,
            is_assumed: false,
            accelerators: entry.spec.steps[name.step as usize].need.accelerators,
            ran_ms,
        });
    }

    /// Records a run whose lease has certainly expired or whose worker has exited.
    pub(super) fn record_lease_expiry(&mut self, run: &Run, now_ms: u64) {
        let Some(worker) = self.workers.get(run.worker).map(|worker| worker.entry.id.clone()) else {
            return;
        };
        let Some(task) = run.task else { return };
        let Some(entry) = self.jobs.get_mut(task.job) else {
            return;
        };
        entry.records.push(RunRecord {
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
            run: run.id.run,
            worker,
            how: EndKind::Lapsed,
            is_assumed: true,
            accelerators: run.need.accelerators,
            ran_ms: (!run.is_adopted).then(|| now_ms.saturating_sub(run.start_sent_ms)),
        });
        self.mark_dirty(task.job, now_ms);
    }
}
