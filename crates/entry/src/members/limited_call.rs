use std::time::Duration;

use actix_rt::task::yield_now;
use actix_rt::time::timeout;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use intake::{PeerConnection, PeerRequest, decoded_bytes};
use listen::BodyBuffer;
use tonic::Status;
use tonic::body::Body;
use tower::{Service, ServiceExt as _};

use super::reply_body::ReplyBody;

/// Limits on one call.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallLimits {
    /// Size of a message.
    pub(super) message_bytes: u64,
    /// Time for a whole message.
    pub(super) message_timeout: Duration,
}

/// Reads a call whole, within the limits of its connection, and only then passes it to the service: a call that is
/// refused here has not run.
///
/// # Errors
///
/// Returns the error of the service.
pub(super) async fn limited_call<S>(
    service: S,
    limits: CallLimits,
    request: Request<Body>,
) -> Result<Response<ReplyBody>, S::Error>
where
    S: Service<Request<Body>, Response = Response<Body>>,
{
    let (parts, body) = request.into_parts();
    let Some(connection) = parts.extensions.get::<PeerConnection>() else {
        return Ok(Status::internal("the connection is not known").into_http());
    };
    let mut call = connection.begin_request();
    let message = match timeout(
        limits.message_timeout,
        read_message(body, limits.message_bytes, &mut call),
    )
    .await
    {
        Ok(Ok(message)) => message,
        Ok(Err(status)) => return Ok(status.into_http()),
        Err(_) => return Ok(Status::deadline_exceeded("the message did not arrive in time; nothing ran").into_http()),
    };
    // A message carries a job or a configuration as JSON.
    let decoded_bytes = decoded_bytes(&message);
    if decoded_bytes > call.budget_bytes() {
        return Ok(
            Status::resource_exhausted("the message takes too much memory once decoded; nothing ran").into_http(),
        );
    }
    call.hold(decoded_bytes);
    // Connections closed for the budget release their bytes in their own tasks.
    while call.is_over_budget() && !call.is_closing() {
        yield_now().await;
    }
    if call.is_closing() {
        return Ok(Status::unavailable("the connection is closed; nothing ran").into_http());
    }
    let request = Request::from_parts(parts, Body::new(Full::new(Bytes::from(message))));
    let (parts, body) = service.oneshot(request).await?.into_parts();
    call.release();
    let body = match body.collect().await {
        Ok(reply) => {
            let trailers = reply.trailers().cloned();
            ReplyBody::new(reply.to_bytes(), trailers, call)
        }
        Err(status) => return Ok(status.into_http()),
    };
    Ok(Response::from_parts(parts, body))
}

/// Reads a message up to the limit. Frames are copied, as each would keep a whole read buffer of the HTTP/2 library.
async fn read_message(mut body: Body, limit_bytes: u64, call: &mut PeerRequest) -> Result<Vec<u8>, Status> {
    let too_large = || {
        let message = format!("the message is larger than {limit_bytes} bytes; nothing ran");
        Status::out_of_range(message)
    };
    let mut bytes = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        call.hold(data.len() as u64);
        bytes.push(&data);
        if bytes.size_bytes() as u64 > limit_bytes + PREFIX_BYTES as u64
            || announced_bytes(&bytes).is_some_and(|announced_bytes| announced_bytes > limit_bytes)
        {
            return Err(too_large());
        }
    }
    Ok(bytes.into_bytes())
}

/// Size of what precedes a gRPC message: whether it is compressed, and its length.
const PREFIX_BYTES: usize = 5;

/// Returns the length that a message announces, once its prefix has arrived.
fn announced_bytes(bytes: &BodyBuffer) -> Option<u64> {
    let prefix: [u8; PREFIX_BYTES] = bytes.first()?;
    let [_, length @ ..] = prefix;
    Some(u32::from_be_bytes(length).into())
}
