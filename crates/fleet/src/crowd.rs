use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::net::{TcpSocket, TcpStream};
use actix_rt::time::timeout;
use tokio::io::AsyncWriteExt;

/// Size of the bodies of a crowd, which is the largest body inside the limits of the tests.
pub const BODY_BYTES: usize = 262_144;

/// What each client of a crowd sends before it stops and keeps its connection open.
#[derive(Debug, Clone, Copy)]
pub enum Crowd {
    /// An announced body up to its last byte, in pieces of this size.
    Announced {
        /// Size of a piece.
        piece_bytes: usize,
    },
    /// Chunks of this size up to a total on the wire, without the last chunk.
    Chunked {
        /// Size of the data of a chunk.
        chunk_bytes: usize,
        /// Total on the wire.
        wire_bytes: usize,
    },
    /// An announced body over the limit.
    OverLimit,
    /// A head without an end.
    Head,
    /// Nothing.
    Idle,
    /// A whole body of a unit that is repeated within a frame, in the place of `FILLER`.
    Whole {
        /// Frame of the body.
        frame: &'static str,
        /// Unit that is repeated.
        unit: &'static str,
        /// Number of units.
        units: usize,
    },
    /// Requests whose replies are not read.
    UnreadReplies {
        /// Path of the requests.
        path: &'static str,
        /// Host of the requests.
        host: &'static str,
        /// Number of requests.
        requests: usize,
    },
}

impl Crowd {
    /// Returns the pieces that a client sends one by one. The head of a submission lacks the headers that frame the body.
    fn pieces(self, submission_head: &str) -> Vec<Vec<u8>> {
        const OVER_BYTES: usize = 2 << 20;
        let head = |framing: &str| format!("{submission_head}{framing}\r\n\r\n").into_bytes();
        let mut pieces = Vec::new();
        match self {
            Self::Announced { piece_bytes } => {
                pieces.push(head(&format!("content-length: {BODY_BYTES}")));
                let body = vec![b' '; BODY_BYTES - 1];
                pieces.extend(body.chunks(piece_bytes).map(<[u8]>::to_vec));
            }
            Self::Chunked {
                chunk_bytes,
                wire_bytes,
            } => {
                let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
                chunk.resize(chunk.len() + chunk_bytes, b' ');
                chunk.extend(b"\r\n");
                pieces.push(head("transfer-encoding: chunked"));
                let all = chunk.repeat(wire_bytes / chunk.len());
                pieces.extend(all.chunks(8_192.max(chunk_bytes)).map(<[u8]>::to_vec));
            }
            Self::OverLimit => {
                pieces.push(head(&format!("content-length: {}", 64 << 20)));
                pieces.extend(vec![b' '; OVER_BYTES].chunks(65_536).map(<[u8]>::to_vec));
            }
            Self::Head => {
                const HEAD_BYTES: usize = 120_000;
                let mut bytes = submission_head.as_bytes().to_vec();
                bytes.extend(b"x-filler: ");
                bytes.resize(HEAD_BYTES, b'a');
                pieces.extend(bytes.chunks(8_192).map(<[u8]>::to_vec));
            }
            Self::Idle => {}
            Self::Whole { frame, unit, units } => {
                let body = frame.replace("FILLER", &unit.repeat(units));
                pieces.push(head(&format!("content-length: {}", body.len())));
                pieces.push(body.into_bytes());
            }
            Self::UnreadReplies { path, host, requests } => {
                let request = format!("GET {path} HTTP/1.1\r\nhost: {host}\r\n\r\n");
                let all = request.repeat(requests).into_bytes();
                pieces.extend(all.chunks(8_192).map(<[u8]>::to_vec));
            }
        }
        pieces
    }

    /// Sends what a client of the crowd sends, and returns the connection so that it stays open.
    pub async fn attack(self, address: SocketAddr, submission_head: &str) -> Option<TcpStream> {
        const STEP_TIMEOUT: Duration = Duration::from_secs(3);
        // Replies that are not read stay with the process instead of in the buffer of the client.
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(4_096).ok()?;
        let connecting = timeout(STEP_TIMEOUT, socket.connect(address));
        let mut stream = connecting.await.ok()?.ok()?;
        for piece in self.pieces(submission_head) {
            // The process may close the connection or stop reading; both are allowed.
            if !matches!(timeout(STEP_TIMEOUT, stream.write_all(&piece)).await, Ok(Ok(()))) {
                break;
            }
        }
        Some(stream)
    }
}
