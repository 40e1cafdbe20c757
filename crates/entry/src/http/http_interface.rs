use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_rt::Arbiter;
use actix_rt::time::{Instant, sleep, timeout};
use actix_web::{App, web};
use intake::Intake;
use listen::serve;
use supervise::Supervisor;
use tokio::sync::oneshot;

use super::{ApiState, routes};
use crate::intake_limits;

/// Running HTTP interface. It has a thread of its own, so that callers do not delay the actors.
#[derive(Debug)]
pub(crate) struct HttpInterface {
    address: SocketAddr,
    stop_timeout: Duration,
    stop: oneshot::Sender<()>,
    stopped: oneshot::Receiver<()>,
}

impl HttpInterface {
    /// Interval of checking for open connections during a stop.
    const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

    /// Time for which connections without a request stay open during a stop.
    const IDLE_AT_STOP: Duration = Duration::from_secs(5);

    /// Starts to serve.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the socket cannot be used.
    pub(crate) fn start(state: ApiState, listener: TcpListener, supervisor: &Supervisor) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let stop_timeout = Duration::from_millis(state.context.settings.stop_timeout_ms);
        let (stop, stopping) = oneshot::channel();
        let (ended, stopped) = oneshot::channel();
        let arbiter = Arbiter::new();
        let handle = arbiter.handle();
        let supervisor = supervisor.clone();
        arbiter.spawn_fn(move || {
            let serving = supervisor.run("http_listener", run(state, listener, stopping));
            actix_rt::spawn(async move {
                serving.await;
                // The receiver is gone if the instance was dropped without a planned stop.
                let _ = ended.send(());
                handle.stop();
            });
        });
        Ok(Self {
            address,
            stop_timeout,
            stop,
            stopped,
        })
    }

    /// Returns the address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections and waits until the open ones have ended, at most for the time of the settings.
    pub(crate) async fn stop(self) {
        let _ = self.stop.send(());
        if timeout(self.stop_timeout, self.stopped).await.is_err() {
            spdlog::warn!("connections_open_at_stop");
        }
    }
}

async fn run(state: ApiState, listener: TcpListener, stopping: oneshot::Receiver<()>) {
    let listener = match actix_rt::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            spdlog::error!("listener_not_started", kv: { cause = error.to_string() });
            return;
        }
    };
    let intake = Intake::new(intake_limits(&state.context.settings));
    let app = App::new()
        .app_data(web::Data::new(intake.clone()))
        .configure(|app| routes(&state, app));
    // If the sender is dropped, the interface stops as well.
    let stop = async {
        let _ = stopping.await;
    };
    serve(listener, app, intake.clone(), || (), stop).await;
    // Replies close their connections during a stop; callers that sent no request until now have none open.
    let stopping = Instant::now();
    while intake.connections() > 0 {
        if stopping.elapsed() > HttpInterface::IDLE_AT_STOP {
            intake.close_idle();
        }
        sleep(HttpInterface::STOP_POLL_INTERVAL).await;
    }
}
