use super::keys::JobKey;
use super::{Engine, Run};
use crate::{EndKind, RunEnd, RunRecord, TaskName};

/// Durable records of runs.
impl Engine {
    /// Records an end that a worker listed. It becomes durable with the progress that it causes, before the worker may
    /// forget it.
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
            .map(|run| now_ms.saturating_sub(run.ordered_ms));
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

    /// Records a run whose lease has surely lapsed, or whose worker is gone.
    pub(super) fn record_lapse(&mut self, run: &Run, now_ms: u64) {
        let Some(worker) = self.workers.get(run.worker).map(|worker| worker.entry.id.clone()) else {
            return;
        };
        if run.is_foreign {
            return;
        }
        let Some(entry) = self.jobs.get_mut(run.job) else {
            return;
        };
        entry.records.push(RunRecord {
            occurrence: run.occurrence,
            step: run.step,
            index: run.index,
            run: run.number,
            worker,
            how: EndKind::Lapsed,
            is_assumed: true,
            accelerators: run.need.accelerators,
            ran_ms: (!run.is_adopted).then(|| now_ms.saturating_sub(run.ordered_ms)),
        });
        self.mark_dirty(run.job, now_ms);
    }
}
