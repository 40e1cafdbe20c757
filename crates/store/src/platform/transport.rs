use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::{Client, ClientRequest, Connector, SendClientRequest};
use bytes::Bytes;

/// Complete HTTP reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Reason why no complete reply arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoReply {
    /// No connection was established; the request was not sent.
    NotSent,
    /// The request was sent and may have taken effect.
    Lost,
}

/// Sends requests over pooled connections and replaces unresponsive ones.
pub struct Transport {
    client: RefCell<Client>,
    connect_timeout: Duration,
    timeout: Duration,
    last_reply_at: Cell<Instant>,
    replaced: Cell<u64>,
}

impl std::fmt::Debug for Transport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Transport")
            .field("timeout", &self.timeout)
            .field("replaced", &self.replaced)
            .finish_non_exhaustive()
    }
}

impl Transport {
    /// Creates a transport without connections.
    pub fn new(connect_timeout: Duration, timeout: Duration) -> Self {
        Self {
            client: RefCell::new(build_client(connect_timeout)),
            connect_timeout,
            timeout,
            last_reply_at: Cell::new(Instant::now()),
            replaced: Cell::new(0),
        }
    }

    /// Returns how many times the connections were replaced because one was unresponsive.
    pub const fn replaced(&self) -> u64 {
        self.replaced.get()
    }

    /// Returns the time since the last complete reply.
    pub fn since_last_reply(&self) -> Duration {
        self.last_reply_at.get().elapsed()
    }

    /// Sends the request that `build` creates and reads the complete reply.
    ///
    /// # Errors
    ///
    /// Returns [`NoReply`]; only [`NoReply::Lost`] leaves open whether the request took effect.
    pub async fn send(
        &self,
        build: impl FnOnce(&Client) -> ClientRequest,
        send: impl FnOnce(ClientRequest) -> SendClientRequest,
    ) -> Result<Reply, NoReply> {
        self.send_within(self.timeout, build, send).await
    }

    /// Sends a request with its own reply timeout, such as a long poll.
    ///
    /// # Errors
    ///
    /// Returns [`NoReply`]; only [`NoReply::Lost`] leaves open whether the request took effect.
    pub async fn send_within(
        &self,
        reply_timeout: Duration,
        build: impl FnOnce(&Client) -> ClientRequest,
        send: impl FnOnce(ClientRequest) -> SendClientRequest,
    ) -> Result<Reply, NoReply> {
        let client = self.client.borrow().clone();
        let generation = self.replaced.get();
        let exchange = exchange(send(build(&client)));
        // Dropping the exchange on timeout closes its connection. The connector applies the connect timeout by itself.
        if let Ok(result) = timeout(self.connect_timeout + reply_timeout, exchange).await {
            if result.is_ok() {
                self.last_reply_at.set(Instant::now());
            }
            return result;
        }
        // If one connection is unresponsive, the idle ones may be too, so all are closed; once for concurrent timeouts.
        if self.replaced.get() == generation {
            *self.client.borrow_mut() = build_client(self.connect_timeout);
            self.replaced.set(generation + 1);
        }
        Err(NoReply::Lost)
    }
}

/// Time after which idle connections are closed. Servers commonly close them after 5 s, and a request that races with the
/// close counts as lost.
pub const IDLE_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Reads the complete reply to a request that is being sent.
///
/// # Errors
///
/// Returns [`NoReply`]; only [`NoReply::Lost`] leaves open whether the request took effect.
pub async fn exchange(request: SendClientRequest) -> Result<Reply, NoReply> {
    const MAX_BODY_BYTES: usize = 256 << 20;
    let mut reply = request.await.map_err(|error| match error {
        // `Disconnected` also means that the connection closed after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => NoReply::Lost,
        SendRequestError::Url(_) | SendRequestError::Connect(_) | SendRequestError::Http(_) => NoReply::NotSent,
        _ => NoReply::Lost,
    })?;
    let body = reply.body().limit(MAX_BODY_BYTES).await.map_err(|_| NoReply::Lost)?;
    Ok(Reply {
        status: reply.status(),
        body,
    })
}

fn build_client(connect_timeout: Duration) -> Client {
    let connector = Connector::new()
        .timeout(connect_timeout)
        .conn_keep_alive(IDLE_KEEP_ALIVE)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}
