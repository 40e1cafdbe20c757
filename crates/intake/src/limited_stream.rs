use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{Connection, HeadScanner, Limits, Stage};

/// Socket that charges what it reads to its connection and reads nothing while a request is being answered.
#[derive(Debug)]
pub struct LimitedStream<T> {
    inner: T,
    connection: Connection,
    /// Bytes read since other tasks could run.
    turn_bytes: u64,
    scanner: HeadScanner,
    /// Bytes read from the socket beyond the heads of a turn; those from `ahead_from` on are not delivered yet.
    ahead: Vec<u8>,
    ahead_from: usize,
    /// Whether part of the reply was written.
    has_written: bool,
    /// Task that waits until a reply has been written.
    reader: Option<Waker>,
}

impl<T> LimitedStream<T> {
    /// Wraps a socket.
    pub const fn new(inner: T, connection: Connection) -> Self {
        Self {
            inner,
            connection,
            turn_bytes: 0,
            scanner: HeadScanner::new(),
            ahead: Vec::new(),
            ahead_from: 0,
            has_written: false,
            reader: None,
        }
    }

    /// Returns the handle of the connection.
    pub const fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Delivers bytes that were read ahead; returns whether there were any.
    fn deliver_ahead(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let ahead = &self.ahead[self.ahead_from..];
        if ahead.is_empty() {
            return false;
        }
        let ahead = &ahead[..ahead.len().min(buffer.remaining())];
        let now = self.scanner.split(ahead, Limits::TURN_HEADS);
        buffer.put_slice(&ahead[..now]);
        self.ahead_from += now;
        self.turn_bytes = Limits::TURN_BYTES;
        if self.ahead_from == self.ahead.len() {
            self.ahead = Vec::new();
            self.ahead_from = 0;
        }
        true
    }
}

fn closed<T>() -> Poll<io::Result<T>> {
    Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
}

impl<T: AsyncRead + Unpin> AsyncRead for LimitedStream<T> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        match this.connection.open_stage() {
            None => return closed(),
            // Pipelined requests stay in the socket, which bounds them, until the reply has been written.
            Some(Stage::Handling | Stage::Reply) => {
                this.reader = Some(cx.waker().clone());
                return Poll::Pending;
            }
            Some(_) => {}
        }
        if this.turn_bytes >= Limits::TURN_BYTES {
            this.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if this.deliver_ahead(buffer) {
            return Poll::Ready(Ok(()));
        }
        let turn_bytes = (Limits::TURN_BYTES - this.turn_bytes) as usize;
        let mut turn = ReadBuf::new(buffer.initialize_unfilled_to(buffer.remaining().min(turn_bytes)));
        let result = Pin::new(&mut this.inner).poll_read(cx, &mut turn);
        let bytes = turn.filled().len();
        if result.is_pending() {
            this.turn_bytes = 0;
        }
        ready!(result)?;
        if bytes > 0 {
            let now = this.scanner.split(turn.filled(), Limits::TURN_HEADS);
            if now < bytes {
                this.ahead = turn.filled()[now..].to_vec();
                this.ahead_from = 0;
                this.turn_bytes = Limits::TURN_BYTES;
            } else {
                this.turn_bytes += bytes as u64;
            }
            buffer.advance(now);
            this.connection.read(bytes as u64);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for LimitedStream<T> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = ready!(Pin::new(&mut this.inner).poll_write(cx, bytes))?;
        this.has_written = true;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.inner).poll_flush(cx))?;
        // The HTTP library flushes the socket when all bytes of its buffer have been written.
        if std::mem::take(&mut this.has_written) {
            this.connection.flushed();
            if let Some(reader) = this.reader.take() {
                reader.wake();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }
}
