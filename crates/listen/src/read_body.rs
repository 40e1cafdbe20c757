use actix_web::http::header;
use actix_web::{HttpRequest, web};
use futures_util::StreamExt as _;
use intake::{Connection, Limits};
use thiserror::Error;

use crate::BodyBuffer;

/// Error for a body that was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("the body is larger than allowed")]
    TooLarge,
    /// The connection ended before the body did, or its framing is wrong.
    #[error("the body was cut off")]
    CutOff,
}

/// Reads a body up to the limit. Chunks are copied, as each would keep a whole read buffer of the HTTP library.
///
/// # Errors
///
/// Returns [`BodyError`]; an announced length over the limit is refused before anything is read.
pub async fn read_body(request: &HttpRequest, mut body: web::Payload, limit_bytes: u64) -> Result<Vec<u8>, BodyError> {
    /// Framing of chunks and read-ahead beyond which framing counts towards the limit.
    const FRAMING_BYTES: u64 = 12 * Limits::TURN_BYTES;
    let announced = request.headers().get(header::CONTENT_LENGTH);
    let announced_bytes = announced
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
        .unwrap_or(0);
    if announced_bytes > limit_bytes {
        return Err(BodyError::TooLarge);
    }
    let connection = request.conn_data::<Connection>();
    let mut bytes = BodyBuffer::default();
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else {
            return Err(BodyError::CutOff);
        };
        let wire_bytes = connection.map_or(0, Connection::body_wire_bytes);
        if (bytes.size_bytes() + chunk.len()) as u64 > limit_bytes || wire_bytes > limit_bytes + FRAMING_BYTES {
            return Err(BodyError::TooLarge);
        }
        bytes.push(&chunk);
    }
    if let Some(connection) = connection {
        connection.end_body();
    }
    Ok(bytes.into_bytes())
}
