use std::io;
use std::net::TcpListener;
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_rt::task::{JoinHandle, yield_now};
use actix_rt::time::{sleep, timeout};
use conf::Settings;
use futures_util::Stream;
use futures_util::stream::unfold;
use intake::{PeerIntake, PeerStream};
use net::peer::peer_server::PeerServer as PeerService;
use supervise::Supervisor;
use tokio::sync::oneshot;
use tonic::service::Routes;
use tonic::transport::Server;
use tower::layer::layer_fn;
use tower::service_fn;

use super::limited_call::{CallLimits, limited_call};
use super::peer_socket::PeerSocket;
use super::{PeerLinks, PeerServer};

/// Running gRPC interface for other instances.
#[derive(Debug)]
pub(crate) struct PeerInterface {
    stop: oneshot::Sender<()>,
    server_task: JoinHandle<()>,
}

impl PeerInterface {
    /// Time for which a planned stop waits for the connections of other instances to close after the shutdown signal.
    const STOP_TIMEOUT: Duration = Duration::from_secs(2);

    /// Open calls of a connection; further ones wait at the caller.
    const CONCURRENT_CALLS: u32 = 200;

    /// Bytes of a call and of a connection that a caller may send before they are read.
    const CALL_WINDOW_BYTES: u32 = 65_535;
    const CONNECTION_WINDOW_BYTES: u32 = 256 * 1_024;

    /// Starts to serve.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the socket cannot be used.
    pub(crate) fn start(
        server: PeerServer,
        settings: &Settings,
        intake: PeerIntake,
        listener: TcpListener,
        supervisor: &Supervisor,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let incoming = incoming(actix_rt::net::TcpListener::from_std(listener)?, intake);
        let (stop, stopped) = oneshot::channel();
        let message_bytes = settings.intake.peer_message_bytes(settings.max_body_bytes);
        let limits = CallLimits {
            message_bytes,
            message_timeout: Duration::from_millis(settings.intake.body_timeout_ms),
        };
        let limit = move |calls: Routes| service_fn(move |request| limited_call(calls.clone(), limits, request));
        let service = PeerService::new(server).max_decoding_message_size(message_bytes as usize);
        let serving = Server::builder()
            .http2_keepalive_interval(Some(PeerLinks::KEEP_ALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(PeerLinks::KEEP_ALIVE_TIMEOUT))
            .max_concurrent_streams(Self::CONCURRENT_CALLS)
            .initial_stream_window_size(Self::CALL_WINDOW_BYTES)
            .initial_connection_window_size(Self::CONNECTION_WINDOW_BYTES)
            .layer(layer_fn(limit))
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, async {
                // If the sender is dropped, the server stops as well.
                let _ = stopped.await;
            });
        let server_task = actix_rt::spawn(supervisor.run("peer_listener", async move {
            if let Err(error) = serving.await {
                spdlog::error!("peer interface ended", kv: { cause = error.to_string() });
            }
        }));
        Ok(Self { stop, server_task })
    }

    /// Ends the interface; the connections of other instances have a short time to close.
    pub(crate) async fn stop(self) {
        let _ = self.stop.send(());
        let abort_handle = self.server_task.abort_handle();
        if timeout(Self::STOP_TIMEOUT, self.server_task).await.is_err() {
            abort_handle.abort();
        }
    }
}

/// Accepts connections within their limit.
fn incoming(
    listener: actix_rt::net::TcpListener,
    intake: PeerIntake,
) -> impl Stream<Item = io::Result<PeerSocket>> + Send {
    // File descriptors may have run out; they become available as connections close.
    const ACCEPT_RETRY: Duration = Duration::from_millis(50);
    unfold((listener, intake), |(listener, intake)| async move {
        let stream = loop {
            // Connections closed for others release their descriptors in their own tasks.
            while intake.is_full() {
                yield_now().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(error) => {
                    spdlog::warn!("accept_failed", kv: { cause = error.to_string() });
                    sleep(ACCEPT_RETRY).await;
                }
            }
        };
        let socket = limited(stream, &intake);
        Some((Ok(socket), (listener, intake)))
    })
}

fn limited(stream: TcpStream, intake: &PeerIntake) -> PeerSocket {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("nodelay_refused", kv: { cause = error.to_string() });
    }
    PeerSocket(PeerStream::new(stream, intake.accept()))
}
