use std::io;
use std::net::{SocketAddr, TcpListener};

use actix_rt::task::JoinHandle;
use actix_web::dev::{Server, ServerHandle};

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
    pub(crate) fn new(address: SocketAddr, server: Server) -> Self {
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

/// Listens on an address and returns the listener with the port that was chosen.
pub(crate) fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StandinError> {
    let wrap = |source| StandinError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(wrap)?;
    let address = listener.local_addr().map_err(wrap)?;
    Ok((listener, address))
}
