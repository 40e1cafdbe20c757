use std::io;
use std::net::SocketAddr;

use actix_rt::task::JoinHandle;
use actix_web::dev::{Server, ServerHandle};
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};

use crate::StandinError;

/// Running server of a stand-in; stops when dropped.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    handle: ServerHandle,
    done: JoinHandle<io::Result<()>>,
    helpers: Vec<JoinHandle<()>>,
}

impl Running {
    fn new(address: SocketAddr, server: Server) -> Self {
        Self {
            address,
            handle: server.handle(),
            done: actix_rt::spawn(server),
            helpers: Vec::new(),
        }
    }

    /// Ends a background task together with the server.
    pub(crate) fn keep(&mut self, helper: JoinHandle<()>) {
        self.helpers.push(helper);
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
        match (&mut self.done).await {
            Ok(result) => result.map_err(StandinError::Serve),
            Err(error) => Err(StandinError::Serve(io::Error::other(error))),
        }
    }

    /// Stops the server. A graceful stop waits 1 s for requests that are being served.
    pub async fn stop(&self, graceful: bool) {
        self.handle.stop(graceful).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // The command is sent when the future is made; nothing needs to wait for its completion.
        drop(self.handle.stop(false));
        for helper in &self.helpers {
            helper.abort();
        }
    }
}

/// Starts a server on an address.
pub(crate) fn serve<A>(address: SocketAddr, threads: usize, app: A) -> Result<Running, StandinError>
where
    A: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let server = HttpServer::new(move || App::new().configure(&app))
        .workers(threads)
        .disable_signals()
        .shutdown_timeout(1);
    // `bind` asks for a backlog of 2,048 connections, so that many clients can connect at once.
    let server = server
        .bind(address)
        .map_err(|source| StandinError::Listen { address, source })?;
    let address = server.addrs().first().copied().unwrap_or(address);
    Ok(Running::new(address, server.run()))
}
