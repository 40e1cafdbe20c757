use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::rc::Rc;
use std::time::Duration;

use actix::{AsyncContext, Context};
use actix_rt::time::{sleep, timeout};
use compact_str::CompactString;
use domain::{JobState, StoredJob};

use super::{Input, SchedulerDriver};
use crate::clock::unix_ms;
use crate::ports::{Condition, Store, Txn, TxnError, Workers};
use crate::rows::{JOB_FAILURES, PROGRESS, put};

/// Failures of the scheduler itself.
impl<S: Store, W: Workers> SchedulerDriver<S, W> {
    /// Time for writing down which job was handled.
    const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

    /// Runs a step of the scheduler. A panic ends the scheduler, and with it the process: before that, the job that was
    /// handled is written down, so that after one more failure it is given up.
    pub(super) fn run_step(&mut self, ctx: &mut Context<Self>, step: impl FnOnce(&mut Self, &mut Context<Self>)) {
        if self.has_failed {
            return;
        }
        self.loading_job = None;
        self.engine.begin_step();
        // After a panic, no step runs on the state that it left.
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| step(self, ctx))) {
            self.has_failed = true;
            self.stop_acting();
            match self.loading_job.take().or_else(|| self.engine.handled_job()) {
                Some(job) => self.end_after_failure(job, ctx),
                None => resume_unwind(panic),
            }
        }
    }

    /// Writes down in which job's handling the scheduler failed, then ends it.
    fn end_after_failure(&self, job: CompactString, ctx: &Context<Self>) {
        let txn = self.failure_txn(&job);
        let shared = Rc::clone(&self.shared);
        let driver = ctx.address();
        self.spawn_call(async move {
            let written = timeout(Self::WRITE_TIMEOUT, shared.transact(&txn)).await;
            spdlog::error!("scheduler_failed", kv: { job = job.as_str(), is_written = matches!(written, Ok(Ok(_))) });
            driver.do_send(Input::Stop);
        });
    }

    /// Builds the write of one more failure of a job. The version of its row is a condition, so that each holder counts
    /// once, and a late write does not undo a newer one.
    fn failure_txn(&self, job: &CompactString) -> Txn {
        let place = self.shared.parts.of_lease_holder(JOB_FAILURES);
        let (row, version) = self.job_failures.next_row(job);
        let own = Condition {
            place: place.clone(),
            key: job.clone(),
            version,
        };
        Txn {
            conditions: vec![self.epoch_condition(), own],
            puts: vec![put(place, job.clone(), &row)],
            ..Txn::default()
        }
    }

    /// Adds jobs to the scheduler. Those on which too many schedulers have failed are added as failed jobs.
    pub(super) fn add_jobs(&mut self, jobs: Vec<StoredJob>, now_ms: u64, ctx: &Context<Self>) {
        for mut job in jobs {
            let id = job.job.id.clone();
            if let Some(failures) = self.job_failures.too_many(&id)
                && !job.progress.state.is_final()
            {
                spdlog::error!("job_given_up", kv: { job = id.as_str(), failures });
                self.given_up_jobs += 1;
                job.progress.state = JobState::Failed;
                self.write_progress(&job, ctx);
            } else {
                self.loading_job = Some(id);
                self.shared.supervisor.check(&job.job.id);
            }
            self.engine.add_job(job, now_ms, unix_ms());
        }
        self.loading_job = None;
    }

    /// Writes the progress of a job until the store replies.
    fn write_progress(&self, job: &StoredJob, ctx: &Context<Self>) {
        const RETRY_INTERVAL: Duration = Duration::from_millis(500);
        let place = self.shared.parts.of_job(PROGRESS, &job.job.id);
        let own = Condition {
            place: place.clone(),
            key: job.job.id.clone(),
            version: job.progress_version,
        };
        let txn = Txn {
            conditions: vec![self.epoch_condition(), own],
            puts: vec![put(place, job.job.id.clone(), &job.progress)],
            ..Txn::default()
        };
        let shared = Rc::clone(&self.shared);
        let driver = ctx.address();
        self.spawn_call(async move {
            // A conflict shows that an earlier try has taken effect, or that another holder owns the job.
            while let Err(TxnError::NotDone(_) | TxnError::Unknown) = shared.transact(&txn).await {
                if !driver.connected() {
                    return;
                }
                sleep(RETRY_INTERVAL).await;
            }
        });
    }
}
