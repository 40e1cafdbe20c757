use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use conf::{PeerAddress, Settings};
use model::InstanceId;
use net::peer::peer_client::PeerClient;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

/// gRPC connections to the other instances, opened on first use and checked by HTTP/2 keep-alive.
#[derive(Clone)]
pub(crate) struct PeerLinks {
    channels: Arc<HashMap<InstanceId, (PeerAddress, Channel)>>,
}

impl PeerLinks {
    /// Keep-alive of connections between instances: an unresponsive one is closed after 4 s.
    pub(crate) const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
    pub(crate) const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

    /// Creates links to the peers in the settings without connecting.
    ///
    /// # Panics
    ///
    /// Never panics in practice: a socket address always forms a valid URL.
    pub(crate) fn new(settings: &Settings) -> Self {
        let link = |peer: &PeerAddress| {
            let endpoint = Endpoint::from_shared(format!("http://{}", peer.peer_address))
                .expect("a socket address forms a valid URL")
                .connect_timeout(Self::CONNECT_TIMEOUT)
                .http2_keep_alive_interval(Self::KEEP_ALIVE_INTERVAL)
                .keep_alive_timeout(Self::KEEP_ALIVE_TIMEOUT)
                .keep_alive_while_idle(true)
                .tcp_nodelay(true);
            (peer.instance.clone(), (peer.clone(), endpoint.connect_lazy()))
        };
        Self {
            channels: Arc::new(settings.peers.iter().map(link).collect()),
        }
    }

    /// Calls a peer and waits at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the status of the call; `deadline_exceeded` after `timeout`, `not_found` for an unknown peer.
    pub(crate) async fn call<T, F>(
        &self,
        instance: &InstanceId,
        timeout: Duration,
        call: impl FnOnce(PeerClient<Channel>) -> F,
    ) -> Result<T, Status>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let (_, channel) = self
            .channels
            .get(instance)
            .ok_or_else(|| Status::not_found("peer is not in the settings"))?;
        let client = PeerClient::new(channel.clone()).max_decoding_message_size(Self::MAX_MESSAGE_BYTES);
        match tokio::time::timeout(timeout, call(client)).await {
            Ok(reply) => reply.map(Response::into_inner),
            Err(_) => Err(Status::deadline_exceeded("no reply from the peer in time")),
        }
    }

    /// Maximum size of a message; a job row with the largest body fits.
    pub(crate) const MAX_MESSAGE_BYTES: usize = 128 << 20;

    /// Returns the peers of the settings.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = &PeerAddress> {
        self.channels.values().map(|(address, _)| address)
    }

    /// Wraps a message with its timeout, so that the receiver can stop once the caller no longer waits.
    pub(crate) fn request<T>(message: T, timeout: Duration) -> Request<T> {
        let mut request = Request::new(message);
        request.set_timeout(timeout);
        request
    }
}

impl fmt::Debug for PeerLinks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerLinks")
            .field("peers", &self.channels.keys())
            .finish_non_exhaustive()
    }
}
