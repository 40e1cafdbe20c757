use actix_web::{HttpRequest, web};
use intake::{Connection, decoded_bytes};
use listen::{BodyError, read_body};
use serde::de::DeserializeOwned;

use super::ApiState;
use crate::ApiError;

/// Decoded copies of a body while it is answered: the job, its row in the transaction, and the one of the scheduler.
const DECODED_COPIES: u64 = 3;

/// Time after which a caller may retry whose body found no room.
const RETRY_AFTER_MS: u64 = 1_000;

/// Reads the JSON body of a request within the limits of the process.
///
/// # Errors
///
/// Returns [`ApiError::BodyTooLarge`], [`ApiError::BodyTooComplex`], [`ApiError::NoRoomForBody`] or
/// [`ApiError::MalformedBody`].
pub(super) async fn read_json<T: DeserializeOwned>(
    state: &ApiState,
    request: &HttpRequest,
    body: web::Payload,
) -> Result<T, ApiError> {
    let limit_bytes = state.context.settings.max_body_bytes;
    let malformed = |reason: &str| ApiError::MalformedBody { reason: reason.into() };
    let bytes = read_body(request, body, limit_bytes)
        .await
        .map_err(|error| match error {
            BodyError::TooLarge => ApiError::BodyTooLarge { limit_bytes },
            BodyError::CutOff => malformed(&error.to_string()),
        })?;
    reserve(request, &bytes).await?;
    serde_json::from_slice(&bytes).map_err(|error| malformed(&error.to_string()))
}

/// Reserves the memory that a body takes once it is decoded, which is many times its size for some.
async fn reserve(request: &HttpRequest, body: &[u8]) -> Result<(), ApiError> {
    let Some(connection) = request.conn_data::<Connection>() else {
        return Ok(());
    };
    let decoded_bytes = decoded_bytes(body);
    let limit_bytes = connection.intake().limits().budget_bytes / DECODED_COPIES;
    if decoded_bytes >= limit_bytes {
        return Err(ApiError::BodyTooComplex {
            decoded_bytes,
            limit_bytes,
        });
    }
    // The request to the store is a further copy of the text.
    let needed_bytes = decoded_bytes * DECODED_COPIES + body.len() as u64;
    if !connection.reserve(needed_bytes).await {
        return Err(ApiError::NoRoomForBody {
            retry_after_ms: RETRY_AFTER_MS,
        });
    }
    Ok(())
}
