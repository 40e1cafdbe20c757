use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::prelude::*;
use actix_rt::task::JoinHandle;
use actix_rt::time::{sleep, timeout};
use conf::Settings;
use net::peer::peer_server::PeerServer as PeerService;
use timer::Timer;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use trace::{Event, EventKind};

use crate::config::ConfigActor;
use crate::context::{Clients, Context};
use crate::http::{ApiState, HttpInterface, OpenRequests};
use crate::jobs::JobActor;
use crate::members::{Members, PeerLinks, PeerServer};
use crate::scheduling::{Drivers, Schedulers, StopScheduling};
use crate::urgent::{Flush, UrgentActor};
use crate::{EntryError, Listeners};

/// Time for which a planned stop waits for the connections of other instances to close after the shutdown signal.
const PEER_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Running gRPC interface.
#[derive(Debug)]
struct PeerInterface {
    stop: oneshot::Sender<()>,
    server_task: JoinHandle<()>,
}

/// Running entry instance, bound to the thread that started it, which must run an actix system.
#[derive(Debug)]
pub struct Entry {
    context: Context,
    http: HttpInterface,
    peer: PeerInterface,
    schedulers: Addr<Schedulers>,
    urgent: Addr<UrgentActor>,
}

impl Entry {
    /// Starts all actors and both servers. The store need not be reachable.
    ///
    /// # Errors
    ///
    /// Returns [`EntryError::Listen`] if a socket cannot be used.
    pub fn start(settings: Settings, listeners: Listeners) -> Result<Self, EntryError> {
        let context = Context::new(settings);
        let clients = Clients::new(&context.settings);
        let timer = Timer::default().start();
        let drivers = Drivers::default();
        let config = ConfigActor::new(context.clone(), clients.clone(), timer.clone()).start();
        let members = Members::new(context.clone(), clients.clone(), timer.clone(), config.clone()).start();
        let urgent = UrgentActor::new(context.clone(), clients.clone(), timer.clone()).start();
        let schedulers =
            Schedulers::new(context.clone(), clients.clone(), timer, urgent.clone(), drivers.clone()).start();
        let job_actor = JobActor::new(context.clone(), clients, drivers.clone(), urgent.clone()).start();
        let server = PeerServer {
            context: context.clone(),
            members,
            config: config.clone(),
            urgent: urgent.clone(),
            drivers,
        };
        let peer = serve_peers(server, &context.settings, listeners.peer)?;
        let state = ApiState {
            open: Arc::new(OpenRequests::new(context.settings.max_open_requests)),
            context: context.clone(),
            config,
            job_actor,
        };
        let http_address = context.settings.http_address;
        let http = HttpInterface::start(state, listeners.http).map_err(|source| EntryError::Listen {
            address: http_address,
            source,
        })?;
        let event = Event::new(EventKind::InstanceStarted).data_centre(context.settings.data_centre.clone());
        context.timeline.push(event.cause(context.settings.instance.as_str()));
        Ok(Self {
            context,
            http,
            peer,
            schedulers,
            urgent,
        })
    }

    /// Returns the address of the HTTP interface.
    pub const fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Performs a planned stop: no request is interrupted, and scheduling leases and grants are released.
    pub async fn stop(self) {
        let settings = self.context.settings.clone();
        let instance = settings.instance.as_str();
        let record_event = |kind| self.context.timeline.push(Event::new(kind).cause(instance));
        record_event(EventKind::InstanceStopping);
        // From here on the instance is not ready, so the load balancer sends callers elsewhere; requests that still
        // arrive are served.
        self.context.published.set_stopping();
        sleep(Duration::from_millis(settings.balancer_drain_ms)).await;
        // Another instance can schedule while the last requests are served here.
        let _ = self.schedulers.send(StopScheduling).await;
        self.http.stop().await;
        let _ = self.urgent.send(Flush).await;
        // Calls of other instances ended with the grants; only their connections remain open.
        let _ = self.peer.stop.send(());
        let abort_handle = self.peer.server_task.abort_handle();
        if timeout(PEER_STOP_TIMEOUT, self.peer.server_task).await.is_err() {
            abort_handle.abort();
        }
        record_event(EventKind::InstanceStopped);
        self.context.published.set_stopped();
    }
}

fn serve_peers(
    server: PeerServer,
    settings: &Settings,
    listener: std::net::TcpListener,
) -> Result<PeerInterface, EntryError> {
    let listen = |source| EntryError::Listen {
        address: settings.peer_address,
        source,
    };
    listener.set_nonblocking(true).map_err(listen)?;
    let incoming = TcpListenerStream::new(tokio::net::TcpListener::from_std(listener).map_err(listen)?);
    let (stop, stopped) = oneshot::channel();
    let service = PeerService::new(server).max_decoding_message_size(PeerLinks::MAX_MESSAGE_BYTES);
    let serving = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(PeerLinks::KEEP_ALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(PeerLinks::KEEP_ALIVE_TIMEOUT))
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, async {
            // If the sender is dropped, the server stops as well.
            let _ = stopped.await;
        });
    let server_task = actix_rt::spawn(async move {
        if let Err(error) = serving.await {
            spdlog::error!("peer interface ended", kv: { cause = error.to_string() });
        }
    });
    Ok(PeerInterface { stop, server_task })
}
