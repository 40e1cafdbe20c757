use actix_web::{HttpRequest, web};
use listen::{BodyError, read_body};
use serde::de::DeserializeOwned;

use super::ApiState;
use crate::ApiError;

/// Reads the JSON body of a request within the limits of the process.
///
/// # Errors
///
/// Returns [`ApiError::BodyTooLarge`] or [`ApiError::MalformedBody`].
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
    serde_json::from_slice(&bytes).map_err(|error| malformed(&error.to_string()))
}
