use std::io;

use actix_web::http::StatusCode;
use actix_web::web::Bytes;
use actix_web::{HttpResponse, ResponseError};
use futures_util::stream;
use model::WorkerError;
use store::ConflictBody;
use thiserror::Error;

/// Error that a stand-in replies with.
#[derive(Debug, Error)]
pub(crate) enum RequestError {
    /// A worker rejected a command.
    #[error("worker rejected the command: {0}")]
    Worker(#[from] WorkerError),
    /// A condition of a transaction does not hold.
    #[error("condition on row {:?} does not hold", .0.key)]
    Conflict(ConflictBody),
    /// The task cannot be checkpointed.
    #[error("task cannot be checkpointed")]
    NotCheckpointable,
    /// The row or object does not exist.
    #[error("no row or object with this key")]
    NotFound,
    /// The transaction has too many puts.
    #[error("transaction has too many puts")]
    TooManyPuts,
    /// Refused because of an injected fault or the rate limit; the request had no effect.
    #[error("service unavailable")]
    Unavailable,
    /// The connection closes before the end of the reply.
    #[error("connection closes before the end of the reply")]
    CutOff,
}

impl ResponseError for RequestError {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::Worker(WorkerError::UnknownTask | WorkerError::UnknownWorker) | Self::NotFound => {
                StatusCode::NOT_FOUND
            }
            Self::Worker(_) | Self::Conflict(_) => StatusCode::CONFLICT,
            Self::NotCheckpointable => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TooManyPuts => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::CutOff => StatusCode::OK,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let mut reply = HttpResponse::build(self.status_code());
        match self {
            Self::Worker(error) => reply.json(error),
            Self::Conflict(body) => reply.json(body),
            Self::CutOff => reply.streaming(stream::iter([Err::<Bytes, io::Error>(
                io::ErrorKind::ConnectionReset.into(),
            )])),
            _ => reply.finish(),
        }
    }
}
