use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::{CONNECTION, HeaderValue};
use actix_web::middleware::Next;
use actix_web::{Error, web};

use super::ApiState;
use crate::ApiError;

/// Time after which a caller who was refused because of overload may retry.
const RETRY_AFTER_MS: u64 = 500;

/// Middleware that counts requests, refuses those over the limit, and closes connections while the instance stops, so
/// that callers reconnect to another one.
pub(super) async fn track(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let state = request.app_data::<web::Data<ApiState>>().cloned();
    let Some(state) = state else {
        return Err(ApiError::Internal.into());
    };
    if !state.open.try_acquire() {
        state.context.metrics.refusals.with_label_values(&["overloaded"]).inc();
        let error = ApiError::Overloaded {
            limit: state.open.limit(),
            retry_after_ms: RETRY_AFTER_MS,
        };
        return Err(error.into());
    }
    let open = OpenRequestGuard(&state);
    state.context.metrics.open_requests.set(state.open.count() as i64);
    let pattern = request.match_pattern().unwrap_or_else(|| "other".to_owned());
    let result = next.call(request).await;
    drop(open);
    let status = match &result {
        Ok(response) => response.status(),
        Err(error) => error.as_response_error().status_code(),
    };
    let labels = [pattern.as_str(), status.as_str()];
    state.context.metrics.http_requests.with_label_values(&labels).inc();
    state.context.metrics.open_requests.set(state.open.count() as i64);
    let mut response = result?;
    if state.context.published.is_stopping() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Releases an open request when dropped, also if the caller disconnects and the handler is dropped.
struct OpenRequestGuard<'a>(&'a ApiState);

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.open.release();
    }
}
