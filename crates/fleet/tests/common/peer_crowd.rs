use std::future::poll_fn;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use bytes::Bytes;
use futures_util::future::join_all;
use h2::{SendStream, client};
use http::Request;

/// What each client of the peers' port does in every stream before it stops and keeps its connection open.
#[derive(Debug, Clone, Copy)]
pub enum PeerCrowd {
    /// Sends part of a message in pieces of this size.
    HalfMessage {
        /// Number of streams of a connection.
        streams: usize,
        /// Length that the message announces.
        announced_bytes: u32,
        /// Bytes of the message that are sent.
        sent_bytes: usize,
        /// Size of a piece.
        piece_bytes: usize,
    },
    /// Asks for the timeline and reads nothing of the reply.
    UnreadReply {
        /// Number of streams of a connection.
        streams: usize,
    },
}

/// Connection of a client, which stays open until it is dropped.
pub struct PeerClient {
    _streams: Vec<(SendStream<Bytes>, client::ResponseFuture)>,
    connection: actix_rt::task::JoinHandle<()>,
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

impl PeerCrowd {
    const STEP_TIMEOUT: Duration = Duration::from_secs(3);

    /// Sends what a client of the crowd sends, and returns the connection so that it stays open.
    pub async fn attack(self, address: SocketAddr) -> Option<PeerClient> {
        let socket = timeout(Self::STEP_TIMEOUT, TcpStream::connect(address))
            .await
            .ok()?
            .ok()?;
        let mut builder = client::Builder::new();
        if matches!(self, Self::UnreadReply { .. }) {
            builder.initial_window_size(0);
        }
        let handshake = timeout(Self::STEP_TIMEOUT, builder.handshake::<_, Bytes>(socket));
        let (sender, connection) = handshake.await.ok()?.ok()?;
        // The connection answers pings, as without it the keep-alive of the server would end the crowd.
        let connection = actix_rt::spawn(async move {
            let _ = connection.await;
        });
        let (streams, method) = match self {
            Self::HalfMessage { streams, .. } => (streams, "SubmitJob"),
            Self::UnreadReply { streams } => (streams, "FetchTimeline"),
        };
        let message = self.message();
        let sending = (0..streams).map(|_| {
            let (mut sender, message) = (sender.clone(), message.clone());
            async move {
                // The server may refuse the stream, reset it or stop reading; all are allowed.
                timeout(Self::STEP_TIMEOUT, poll_fn(|cx| sender.poll_ready(cx)))
                    .await
                    .ok()?
                    .ok()?;
                let request = Request::post(format!("http://{address}/galenaspool.peer.v1.Peer/{method}"))
                    .header("content-type", "application/grpc")
                    .header("te", "trailers")
                    .body(())
                    .ok()?;
                let (reply, mut stream) = sender.send_request(request, false).ok()?;
                for piece in message {
                    if !matches!(
                        timeout(Self::STEP_TIMEOUT, send(&mut stream, piece)).await,
                        Ok(Some(()))
                    ) {
                        break;
                    }
                }
                if matches!(self, Self::UnreadReply { .. }) {
                    let _ = stream.send_data(Bytes::new(), true);
                }
                Some((stream, reply))
            }
        });
        let streams = join_all(sending).await.into_iter().flatten().collect();
        Some(PeerClient {
            _streams: streams,
            connection,
        })
    }

    /// Returns the pieces of the message: an uncompressed message starts with a zero byte and its length.
    fn message(self) -> Vec<Bytes> {
        let (announced_bytes, sent_bytes, piece_bytes) = match self {
            Self::HalfMessage {
                announced_bytes,
                sent_bytes,
                piece_bytes,
                ..
            } => (announced_bytes, sent_bytes, piece_bytes),
            Self::UnreadReply { .. } => (0, 0, 1),
        };
        let mut prefix = vec![0];
        prefix.extend(announced_bytes.to_be_bytes());
        let body = Bytes::from(vec![b' '; sent_bytes]);
        let pieces = (0..sent_bytes).step_by(piece_bytes);
        let pieces = pieces.map(|from| body.slice(from..(from + piece_bytes).min(sent_bytes)));
        std::iter::once(prefix.into()).chain(pieces).collect()
    }
}

/// Sends bytes as the server grants capacity; `None` if the stream has ended.
async fn send(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Option<()> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        while stream.capacity() == 0 {
            poll_fn(|cx| stream.poll_capacity(cx)).await?.ok()?;
        }
        let now = bytes.split_to(stream.capacity().min(bytes.len()));
        stream.send_data(now, false).ok()?;
    }
    Some(())
}
