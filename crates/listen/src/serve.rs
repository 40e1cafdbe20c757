use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Extensions, HttpService, KeepAlive};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::task::yield_now;
use actix_rt::time::sleep;
use actix_service::{Service, ServiceFactory, map_config};
use actix_web::body::{BodySize, MessageBody as _};
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::http::header;
use actix_web::{App, Error, HttpResponse};
use futures_util::future::{Either, ready, select};
use intake::{Connection, Intake, LimitedStream};

/// Serves connections on the current thread until `stop` completes; open connections go on after that.
///
/// `apply_limits` runs before each connection is accepted.
pub async fn serve<S>(
    listener: TcpListener,
    app: App<S>,
    intake: Intake,
    apply_limits: impl Fn(),
    stop: impl Future<Output = ()>,
) where
    S: ServiceFactory<ServiceRequest, Config = (), Response = ServiceResponse, Error = Error, InitError = ()> + 'static,
{
    // File descriptors may have run out; they become available as connections close.
    const ACCEPT_RETRY: Duration = Duration::from_millis(50);
    /// Bytes of replies above which a connection handles no further request until they are written.
    const WRITE_BUFFER_BYTES: usize = 8 * 1_024;
    let factory = HttpService::build()
        // Intake closes idle connections and heads that do not end.
        .keep_alive(KeepAlive::Os)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::from_millis(intake.settings().linger_timeout_ms))
        .on_connect_ext(|stream: &LimitedStream<TcpStream>, data: &mut Extensions| {
            data.insert(stream.connection().clone());
        })
        .h1(map_config(app.wrap_fn(track), |()| AppConfig::default()));
    let Ok(service) = factory.new_service(()).await else {
        spdlog::error!("listener_not_started");
        return;
    };
    let service = Rc::new(service);
    let mut stop = pin!(stop);
    loop {
        // Connections closed for others release their descriptors in their own tasks.
        while intake.is_full() {
            yield_now().await;
        }
        let accepted = match select(pin!(listener.accept()), stop.as_mut()).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(((), _)) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    spdlog::debug!("nodelay_refused", kv: { cause = error.to_string() });
                }
                apply_limits();
                let Some(connection) = intake.accept() else { continue };
                let serving = service.call((LimitedStream::new(stream, connection.clone()), Some(peer)));
                actix_rt::spawn(async move {
                    if let Some(Err(error)) = connection.serve(serving).await {
                        spdlog::debug!("connection_ended", kv: { cause = error.to_string() });
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("accept_failed", kv: { cause = error.to_string() });
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Notes begin and end of a request at its connection, and refuses a head over the limit.
fn track<S>(request: ServiceRequest, service: &S) -> impl Future<Output = Result<ServiceResponse, Error>> + use<S>
where
    S: Service<ServiceRequest, Response = ServiceResponse, Error = Error>,
{
    let connection = request.conn_data::<Connection>().cloned();
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let length = request.headers().get(header::CONTENT_LENGTH);
    let has_body = is_chunked || length.is_some_and(|length| length != "0");
    let is_too_large = connection.as_ref().is_some_and(|connection| {
        connection.begin_request(has_body);
        head_bytes(&request) > connection.intake().limits().header_bytes
    });
    let serving = if is_too_large {
        Either::Left(ready(Ok(
            request.into_response(HttpResponse::RequestHeaderFieldsTooLarge())
        )))
    } else {
        Either::Right(service.call(request))
    };
    async move {
        // Handlers run when they are first polled, and their replies may be large. A body has to be read meanwhile, as it
        // takes more room in the buffers of the HTTP library.
        if let Some(connection) = &connection
            && !has_body
        {
            connection.intake().cleared().await;
        }
        let reply = serving.await;
        if let Some(connection) = connection {
            connection.end_request();
            if let Ok(reply) = &reply
                && let BodySize::Sized(bytes) = reply.response().body().size()
            {
                connection.hold_reply(bytes * REPLY_COPIES);
            }
        }
        reply
    }
}

/// Copies of a reply while it is written: its body and the write buffer of the HTTP library.
const REPLY_COPIES: u64 = 2;

/// Returns the approximate size of a head on the wire.
fn head_bytes(request: &ServiceRequest) -> u64 {
    const SEPARATORS_BYTES: usize = 4;
    let path_bytes = request.uri().path_and_query().map_or(0, |path| path.as_str().len());
    let headers = request.headers().iter();
    let headers_bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS_BYTES)
        .sum();
    (path_bytes + headers_bytes) as u64
}
