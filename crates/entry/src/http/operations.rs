use actix_web::{HttpResponse, web};
use intake::Intake;
use serde::Deserialize;

use super::ApiState;
use crate::{ApiError, HandlerResult};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct AfterQuery {
    #[serde(default)]
    after: u64,
}

pub(super) async fn timeline(state: web::Data<ApiState>, query: web::Query<AfterQuery>) -> HandlerResult {
    let timeline = &state.context.timeline;
    Ok(HttpResponse::Ok().json(trace::Page {
        records: timeline.after(query.after),
        dropped: timeline.dropped(),
    }))
}

pub(super) async fn peers(state: web::Data<ApiState>) -> HandlerResult {
    Ok(HttpResponse::Ok().json(&state.context.published.members().peers))
}

pub(super) async fn metrics(state: web::Data<ApiState>, intake: web::Data<Intake>) -> HandlerResult {
    state.context.metrics.report_intake("callers", intake.figures());
    state.context.metrics.report_intake("peers", state.peers.figures());
    let text = state.context.metrics.render();
    Ok(HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4; charset=utf-8")
        .body(text))
}

pub(super) async fn health() -> HandlerResult {
    Ok(HttpResponse::Ok().content_type("text/plain").body("ok\n"))
}

/// An instance is ready when it can serve requests: it has a configuration and is not stopping.
pub(super) async fn ready(state: web::Data<ApiState>) -> HandlerResult {
    let published = &state.context.published;
    if published.is_stopping() {
        return Err(ApiError::NotReady {
            reason: "the instance is stopping",
        });
    }
    if published.config().recorded.is_none() {
        return Err(ApiError::NotReady {
            reason: "neither the store nor a peer has given a configuration yet",
        });
    }
    Ok(HttpResponse::Ok().content_type("text/plain").body("ready\n"))
}
