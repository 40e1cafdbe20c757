use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use model::{JobId, JobSpec, OrganisationId, Outcome, RequestId};
use serde::Deserialize;
use trace::{Event, EventKind};

use super::ApiState;
use super::read_json::read_json;
use crate::jobs::{AuditJob, CancelRequest, JobReply, ListJobs, ReadAnswer, ReadStatus, SubmitJob};
use crate::{ApiError, HandlerResult, JobPage};

/// Number of jobs in a page of the listing, by default and at most.
const DEFAULT_PAGE_JOBS: u32 = 100;
const MAX_PAGE_JOBS: u32 = 1_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WaitQuery {
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PageQuery {
    organisation: Option<String>,
    #[serde(default)]
    after: String,
    limit: Option<u32>,
}

pub(super) async fn submit(
    state: web::Data<ApiState>,
    wait: web::Query<WaitQuery>,
    request: HttpRequest,
    body: web::Payload,
) -> Result<HttpResponse, ApiError> {
    let context = &state.context;
    let spec: JobSpec = read_json(&state, &request, body).await?;
    let job = spec.id();
    let wait = Duration::from_millis(wait.wait_ms.min(context.settings.max_wait_ms));
    let submit = SubmitJob { spec, wait };
    let reply = state.job_actor.send(submit).await?;
    match &reply {
        Ok(reply) => record_outcome(&state, &job, &reply.outcome),
        Err(error) => {
            context.metrics.refusals.with_label_values(&[error.code()]).inc();
            let event = Event::new(EventKind::RequestRefused).job(job);
            context.timeline.push(event.cause(error.code()));
        }
    }
    Ok(respond(&reply?))
}

fn record_outcome(state: &ApiState, job: &JobId, outcome: &Outcome) {
    let kind = match outcome {
        Outcome::Indeterminate => EventKind::RequestIndeterminate,
        Outcome::InProgress => return,
        _ => EventKind::RequestAnswered,
    };
    state.context.timeline.push(Event::new(kind).job(job.clone()));
}

/// Replies with status 200 to a final outcome and with 202 to one that is not final.
fn respond(reply: &JobReply) -> HttpResponse {
    match reply.outcome {
        Outcome::InProgress | Outcome::Indeterminate => HttpResponse::Accepted().json(reply),
        _ => HttpResponse::Ok().json(reply),
    }
}

pub(super) async fn status(state: web::Data<ApiState>, path: web::Path<(String, String)>) -> HandlerResult {
    let status = state.job_actor.send(ReadStatus(job_id(&path)?)).await??;
    Ok(HttpResponse::Ok().json(status))
}

pub(super) async fn answer(state: web::Data<ApiState>, path: web::Path<(String, String)>) -> HandlerResult {
    let answer = state.job_actor.send(ReadAnswer(job_id(&path)?)).await??;
    Ok(HttpResponse::Ok().json(answer))
}

pub(super) async fn cancel(state: web::Data<ApiState>, path: web::Path<(String, String)>) -> HandlerResult {
    let reply = state.job_actor.send(CancelRequest(job_id(&path)?)).await??;
    Ok(respond(&reply))
}

pub(super) async fn audit(state: web::Data<ApiState>, path: web::Path<(String, String)>) -> HandlerResult {
    let audit = state.job_actor.send(AuditJob(job_id(&path)?)).await??;
    Ok(HttpResponse::Ok().json(audit))
}

pub(super) async fn list(state: web::Data<ApiState>, page: web::Query<PageQuery>) -> HandlerResult {
    let page = page.into_inner();
    let limit = page.limit.unwrap_or(DEFAULT_PAGE_JOBS);
    if limit == 0 || limit > MAX_PAGE_JOBS {
        let reason = format!("limit is {limit}; allowed are 1 to {MAX_PAGE_JOBS}").into();
        return Err(ApiError::InvalidParameter { reason });
    }
    if !page.after.is_empty() {
        page.after.parse::<JobId>()?;
    }
    let list = ListJobs {
        organisation: page.organisation.map(OrganisationId::new).transpose()?,
        after: page.after,
        limit,
    };
    let page: JobPage = state.job_actor.send(list).await??;
    Ok(HttpResponse::Ok().json(page))
}

fn job_id(path: &(String, String)) -> Result<JobId, ApiError> {
    Ok(JobId::new(OrganisationId::new(&path.0)?, RequestId::new(&path.1)?))
}
