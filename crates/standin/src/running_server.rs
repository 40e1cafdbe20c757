use std::io;
use std::net::SocketAddr;

use actix_rt::task::JoinHandle;
use actix_web::dev::{Server, ServerHandle};
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};

use crate::StandinError;

/// Stand-in server that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    handle: ServerHandle,
    server_task: JoinHandle<io::Result<()>>,
    background_tasks: Vec<JoinHandle<()>>,
}

impl RunningServer {
    fn new(address: SocketAddr, server: Server) -> Self {
        Self {
            address,
            handle: server.handle(),
            server_task: actix_rt::spawn(server),
            background_tasks: Vec::new(),
        }
    }

    /// Registers a background task that is aborted when the server is dropped.
    pub(crate) fn abort_on_drop(&mut self, task: JoinHandle<()>) {
        self.background_tasks.push(task);
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Waits until the server ends.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Serve`] if the server failed.
    pub async fn wait(&mut self) -> Result<(), StandinError> {
        match (&mut self.server_task).await {
            Ok(result) => result.map_err(StandinError::Serve),
            Err(error) => Err(StandinError::Serve(io::Error::other(error))),
        }
    }

    /// Stops the server. A graceful stop waits up to 1 s for requests in flight.
    pub async fn stop(&self, graceful: bool) {
        self.handle.stop(graceful).await;
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        // The call itself sends the stop command, so the returned future need not be awaited.
        drop(self.handle.stop(false));
        for task in &self.background_tasks {
            task.abort();
        }
    }
}

/// Starts a server on an address.
pub(crate) fn serve<A>(address: SocketAddr, threads: usize, app: A) -> Result<RunningServer, StandinError>
where
    A: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let server = HttpServer::new(move || App::new().configure(&app))
        .workers(threads)
        .disable_signals()
        .shutdown_timeout(1);
    // `bind` uses a listen backlog of 2,048, so that many clients can connect at once.
    let server = server
        .bind(address)
        .map_err(|source| StandinError::Listen { address, source })?;
    let address = server.addrs().first().copied().unwrap_or(address);
    Ok(RunningServer::new(address, server.run()))
}
