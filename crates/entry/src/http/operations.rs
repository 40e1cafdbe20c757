use actix_web::{HttpResponse, web};
use serde::Deserialize;

use super::ApiState;
use crate::{Answered, ApiError};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct After {
    #[serde(default)]
    after: u64,
}

pub(super) async fn timeline(state: web::Data<ApiState>, after: web::Query<After>) -> Answered {
    let journal = &state.context.journal;
    Ok(HttpResponse::Ok().json(trace::Page {
        records: journal.after(after.after),
        dropped: journal.dropped(),
    }))
}

pub(super) async fn peers(state: web::Data<ApiState>) -> Answered {
    Ok(HttpResponse::Ok().json(&state.context.board.members().peers))
}

pub(super) async fn metrics(state: web::Data<ApiState>) -> Answered {
    let text = state.context.metrics.render();
    Ok(HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4; charset=utf-8")
        .body(text))
}

pub(super) async fn health() -> Answered {
    Ok(HttpResponse::Ok().content_type("text/plain").body("ok\n"))
}

/// An instance is ready when it can serve requests: it has a configuration and does not stop.
pub(super) async fn ready(state: web::Data<ApiState>) -> Answered {
    let board = &state.context.board;
    if board.is_stopping() {
        return Err(ApiError::NotReady {
            reason: "the instance is stopping",
        });
    }
    if board.config().recorded.is_none() {
        return Err(ApiError::NotReady {
            reason: "neither the store nor a peer has given a configuration yet",
        });
    }
    Ok(HttpResponse::Ok().content_type("text/plain").body("ready\n"))
}
