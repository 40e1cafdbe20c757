use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use model::{Answer, Class, JobId, JobSpec, OrganisationId, Outcome, Refusal};

use super::homes_cache::HomesCache;
use super::{Audit, JobPage, JobReply, JobStatus};
use crate::ApiError;
use crate::context::{Clients, Context as Shared};
use crate::scheduling::{Drivers, fits_empty};
use crate::urgent::{RunUrgent, UrgentActor, grant_resources};

/// Actor that accepts jobs and serves queries about them.
#[derive(Debug)]
pub(crate) struct JobActor {
    core: Rc<Core>,
}

#[derive(Debug)]
pub(super) struct Core {
    pub(super) shared: Shared,
    pub(super) clients: Clients,
    pub(super) drivers: Drivers,
    urgent: Addr<UrgentActor>,
    pub(super) homes: HomesCache,
}

/// Submits a job and waits for its outcome.
#[derive(Debug, Message)]
#[rtype(result = "Result<JobReply, ApiError>")]
pub(crate) struct SubmitJob {
    pub(crate) spec: JobSpec,
    pub(crate) wait: Duration,
}

/// Reads the state of a job.
#[derive(Debug, Message)]
#[rtype(result = "Result<JobStatus, ApiError>")]
pub(crate) struct ReadStatus(pub(crate) JobId);

/// Reads the stored answer of a job.
#[derive(Debug, Message)]
#[rtype(result = "Result<Answer, ApiError>")]
pub(crate) struct ReadAnswer(pub(crate) JobId);

/// Cancels a job and waits briefly for the outcome.
#[derive(Debug, Message)]
#[rtype(result = "Result<JobReply, ApiError>")]
pub(crate) struct CancelRequest(pub(crate) JobId);

/// Reads a page of jobs.
#[derive(Debug, Message)]
#[rtype(result = "Result<JobPage, ApiError>")]
pub(crate) struct ListJobs {
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) after: String,
    pub(crate) limit: u32,
}

/// Reads the row, charges and events of a job.
#[derive(Debug, Message)]
#[rtype(result = "Result<Audit, ApiError>")]
pub(crate) struct AuditJob(pub(crate) JobId);

impl JobActor {
    pub(crate) fn new(shared: Shared, clients: Clients, drivers: Drivers, urgent: Addr<UrgentActor>) -> Self {
        Self {
            core: Rc::new(Core {
                shared,
                clients,
                drivers,
                urgent,
                homes: HomesCache::default(),
            }),
        }
    }
}

impl Core {
    /// Time after which a caller who was refused because there is no configuration may retry.
    const RETRY_AFTER_MS: u64 = 1_000;

    async fn submit(&self, spec: JobSpec, wait: Duration) -> Result<JobReply, ApiError> {
        let job = spec.id();
        let class = spec.class;
        self.check_runnable(&spec)?;
        let outcome = if self.runs_on_grant(&spec) {
            self.run_urgent(spec).await?
        } else {
            // An urgent caller waits for the answer also if the job goes through the scheduler.
            let wait = match class {
                Class::Urgent => wait.max(Duration::from_millis(self.deadline_ms(&spec))),
                Class::Deferred => wait,
            };
            self.submit_deferred(spec, wait).await?
        };
        self.count_outcome(class, &outcome);
        match outcome {
            Outcome::DidNotRun { refusal } => Err(refusal.into()),
            outcome => Ok(JobReply::new(job, outcome)),
        }
    }

    /// Refuses a job that can never run, before anything is written.
    fn check_runnable(&self, spec: &JobSpec) -> Result<(), Refusal> {
        let no_configuration = Refusal::NoConfiguration {
            retry_after_ms: Self::RETRY_AFTER_MS,
        };
        let config = self
            .shared
            .published
            .config()
            .effective
            .clone()
            .ok_or(no_configuration)?;
        if config.organisation(&spec.organisation).is_none() {
            return Err(Refusal::UnknownOrganisation {
                organisation: spec.organisation.clone(),
            });
        }
        spec.shape.validate()?;
        let topology = self.homes.topology(&config, &self.shared.published.listing());
        let is_listed = !topology.data_centres.is_empty();
        if is_listed && !topology.data_centres.iter().any(|dc| fits_empty(dc, spec)) {
            return Err(Refusal::NeverFits { shape: spec.shape });
        }
        Ok(())
    }

    /// Returns whether the job runs on a granted slot; urgent jobs that need more go through the scheduler.
    fn runs_on_grant(&self, spec: &JobSpec) -> bool {
        let listing = self.shared.published.listing();
        spec.class == Class::Urgent
            && spec.shape.parts == 1
            && grant_resources(&listing, &self.shared.settings.data_centre)
                .is_none_or(|resources| resources.fits(spec.need_per_part()))
    }

    async fn run_urgent(&self, spec: JobSpec) -> Result<Outcome, ApiError> {
        let deadline_ms = self.deadline_ms(&spec);
        let request = RunUrgent {
            spec,
            deadline_ms,
            hops: 0,
        };
        Ok(self.urgent.send(request).await?)
    }

    fn deadline_ms(&self, spec: &JobSpec) -> u64 {
        let settings = &self.shared.settings;
        let deadline_ms = spec.deadline_ms.unwrap_or(settings.urgent_deadline_ms);
        deadline_ms.min(settings.max_wait_ms)
    }

    fn count_outcome(&self, class: Class, outcome: &Outcome) {
        let class = match class {
            Class::Urgent => "urgent",
            Class::Deferred => "deferred",
        };
        let outcome = match outcome {
            Outcome::Ran { .. } => "ran",
            Outcome::Failed { .. } => "failed",
            Outcome::DidNotRun { .. } => "did_not_run",
            Outcome::Cancelled { .. } => "cancelled",
            Outcome::InProgress => "in_progress",
            Outcome::Indeterminate => "indeterminate",
        };
        self.shared
            .metrics
            .job_outcomes
            .with_label_values(&[class, outcome])
            .inc();
    }
}

impl Actor for JobActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        // The HTTP interface limits the open requests; the mailbox must not reject requests that it admitted.
        ctx.set_mailbox_capacity(4_096);
    }
}

macro_rules! impl_async_handlers {
    ($($message:ty => $result:ty: |$core:ident, $value:pat_param| $body:expr;)+) => {$(
        impl Handler<$message> for JobActor {
            type Result = ResponseFuture<Result<$result, ApiError>>;

            fn handle(&mut self, $value: $message, _: &mut Self::Context) -> Self::Result {
                let $core = self.core.clone();
                Box::pin(async move { $body.await })
            }
        }
    )+};
}

impl_async_handlers! {
    SubmitJob => JobReply: |core, SubmitJob { spec, wait }| core.submit(spec, wait);
    ReadStatus => JobStatus: |core, ReadStatus(job)| core.status(job);
    ReadAnswer => Answer: |core, ReadAnswer(job)| core.answer(job);
    CancelRequest => JobReply: |core, CancelRequest(job)| core.cancel(job);
    ListJobs => JobPage: |core, list| core.list(list);
    AuditJob => Audit: |core, AuditJob(job)| core.audit(job);
}
