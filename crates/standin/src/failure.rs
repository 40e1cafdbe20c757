use std::io;

use actix_web::http::StatusCode;
use actix_web::web::Bytes;
use actix_web::{HttpResponse, ResponseError};
use futures_util::stream;
use model::WorkerError;
use store::ConflictBody;
use thiserror::Error;

/// Reply of a stand-in other than success.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// A worker refuses a command.
    #[error("worker refuses: {0}")]
    Worker(#[from] WorkerError),
    /// A condition of a transaction does not hold.
    #[error("condition on row {:?} does not hold", .0.key)]
    Conflict(ConflictBody),
    /// The task cannot be checkpointed.
    #[error("task cannot be checkpointed")]
    NotCheckpointable,
    /// The row or object does not exist.
    #[error("nothing is stored under this key")]
    Missing,
    /// The transaction has too many puts.
    #[error("transaction has too many puts")]
    TooLarge,
    /// Refused by a fault or because the limit was reached; nothing happened.
    #[error("not available")]
    Unavailable,
    /// The connection closes before the end of the reply.
    #[error("reply breaks off")]
    CutOff,
}

impl ResponseError for Failure {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::Worker(WorkerError::UnknownTask | WorkerError::UnknownWorker) | Self::Missing => {
                StatusCode::NOT_FOUND
            }
            Self::Worker(_) | Self::Conflict(_) => StatusCode::CONFLICT,
            Self::NotCheckpointable => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
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
