//! Read-only diagnostics for operators.

mod instance_report;
mod job_report;

use std::rc::Rc;

use actix::Message;
use compact_str::CompactString;
use domain::{Explanation, Job, JobState, Progress};
pub use instance_report::InstanceReport;
pub use job_report::JobReport;

use crate::clock::boot_ms;
use crate::ports::Store;
use crate::rows::{JOBS, PROGRESS, RUNS, RecordsRow, cancel_key, decode, records_range};
use crate::shared::SharedRef;
use crate::{Refused, RequestHandler};

/// Asks the scheduler of this instance to explain the state of a job.
#[derive(Debug, Message)]
#[rtype(result = "Option<Explanation>")]
pub(crate) struct Explain(pub CompactString);

/// Read-only reports on an instance and on jobs.
#[derive(Debug)]
pub struct Diagnostics<S, W> {
    shared: SharedRef<S, W>,
}

impl<S, W> Clone for Diagnostics<S, W> {
    fn clone(&self) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
        }
    }
}

impl<S: Store, W: 'static> Diagnostics<S, W> {
    pub(crate) const fn new(shared: SharedRef<S, W>) -> Self {
        Self { shared }
    }

    /// Returns the local state of the instance.
    pub fn instance(&self) -> InstanceReport {
        let is_ready = RequestHandler::new(Rc::clone(&self.shared)).is_ready();
        let view = self.shared.view.borrow();
        let now_ms = boot_ms();
        let mut out_of_service: Vec<_> = view.out_of_service.iter().cloned().collect();
        out_of_service.sort();
        InstanceReport {
            instance: self.shared.settings.instance.clone(),
            data_centre: self.shared.settings.data_centre.clone(),
            is_ready,
            is_stopping: view.is_stopping,
            holder: view.holder.clone(),
            epoch: view.epoch,
            config_version: view.config.as_ref().map(|config| config.version),
            config_age_ms: now_ms.saturating_sub(view.config_confirmed_ms),
            store_heard_ms_ago: now_ms.saturating_sub(view.store_last_reply_ms),
            out_of_service,
        }
    }

    /// Returns what is stored about a job and, if this instance holds the lease, why it waits.
    ///
    /// # Errors
    ///
    /// Returns [`Refused::UnknownJob`] and [`Refused::StoreUnavailable`].
    pub async fn job(&self, id: &str) -> Result<JobReport, Refused> {
        let shared = &self.shared;
        let read = async |table, from: &str, to: &str| {
            let place = shared.parts.of_job(table, id);
            let rows = shared.read_range(&place, from, to).await;
            rows.map(|(rows, _)| rows).map_err(|error| {
                spdlog::warn!("inquiry_failed", kv: { job = id, cause = error.to_string() });
                Refused::StoreUnavailable
            })
        };
        let cancel_key = cancel_key(id);
        let (_, end) = records_range(id);
        let jobs = read(JOBS, id, &end).await?;
        let progress = read(PROGRESS, id, &end).await?;
        let (from, to) = records_range(id);
        let runs = read(RUNS, &from, &to).await?;
        let job = jobs.iter().find(|row| row.key == id).and_then(decode::<Job>);
        let progress = progress.iter().find(|row| row.key == id).and_then(decode::<Progress>);
        let rows: Vec<RecordsRow> = runs.iter().filter_map(decode).collect();
        let owner = match (&progress, rows.first()) {
            (Some(progress), _) => (progress.organisation.clone(), progress.route.clone()),
            // The rows of a finished job are removed after some time; its records stay.
            (None, Some(row)) => (row.organisation.clone(), row.route.clone()),
            (None, None) => return Err(Refused::UnknownJob),
        };
        let records = JobReport::without_repetitions(rows.into_iter().flat_map(|row| row.runs).collect());
        let gaps = match (&job, &progress) {
            (Some(job), Some(progress)) if progress.state == JobState::Done => JobReport::gaps(job, &records),
            _ => Vec::new(),
        };
        let explainer = shared.explainer.borrow().clone();
        let schedule = match explainer {
            Some(explainer) => match explainer.send(Explain(id.into())).await {
                Ok(schedule) => schedule,
                Err(error) => {
                    spdlog::warn!("explanation_failed", kv: { job = id, cause = error.to_string() });
                    None
                }
            },
            None => None,
        };
        let view = shared.view.borrow();
        Ok(JobReport {
            job: id.into(),
            instance: shared.settings.instance.clone(),
            holder: view.holder.clone(),
            epoch: view.epoch,
            route: owner.1,
            organisation: owner.0,
            state: progress.map(|progress| progress.state),
            is_cancelled: jobs.iter().any(|row| row.key == cancel_key),
            accepted_unix_ms: job.as_ref().map(|job| job.accepted_unix_ms),
            accept_epoch: job.as_ref().map(|job| job.accept_epoch),
            records,
            gaps,
            schedule,
        })
    }
}
