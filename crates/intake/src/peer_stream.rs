use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::{Limits, PeerConnection};

/// Socket of another instance. Reads and writes fail once its connection has to be closed, which ends the connection with
/// all its requests.
#[derive(Debug)]
pub struct PeerStream<T> {
    inner: T,
    connection: PeerConnection,
    /// Bytes read since other tasks could run.
    turn_bytes: u64,
    check: Pin<Box<Sleep>>,
}

impl<T> PeerStream<T> {
    /// Wraps a socket.
    pub fn new(inner: T, connection: PeerConnection) -> Self {
        let check = Box::pin(sleep_until(Instant::now() + Self::CHECK_INTERVAL));
        Self {
            inner,
            connection,
            turn_bytes: 0,
            check,
        }
    }

    /// Interval of checking a connection that has no deadline.
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);

    /// Returns the handle of the connection.
    pub const fn connection(&self) -> &PeerConnection {
        &self.connection
    }

    /// Closes the connection if its time has run out, and registers the task for closing by others. Returns whether it
    /// has to be closed.
    fn poll_closing(&mut self, cx: &mut Context<'_>) -> bool {
        let (intake, key) = (self.connection.intake(), self.connection.key());
        intake.with(|table, _| table.set_waker(key, cx.waker()));
        while self.check.as_mut().poll(cx).is_ready() {
            let deadline = intake.with(|table, now_ms| {
                let deadline = table.deadline(key);
                if let Some((at_ms, cause)) = deadline
                    && now_ms >= at_ms
                {
                    table.close(key, cause);
                }
                deadline
            });
            if self.connection.closing().is_some() {
                return true;
            }
            // A later state of the connection may have an earlier deadline.
            let next = Instant::now() + Self::CHECK_INTERVAL;
            let next = deadline.map_or(next, |(at_ms, _)| intake.instant(at_ms).min(next));
            self.check.as_mut().reset(next);
        }
        self.connection.closing().is_some()
    }
}

fn closed<T>() -> Poll<io::Result<T>> {
    Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
}

impl<T: AsyncRead + Unpin> AsyncRead for PeerStream<T> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.poll_closing(cx) {
            return closed();
        }
        // The library queues some hundred bytes for each frame, however small, until the task of its request runs.
        if this.turn_bytes >= Limits::TURN_BYTES {
            this.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let turn_bytes = (Limits::TURN_BYTES - this.turn_bytes) as usize;
        let mut turn = ReadBuf::new(buffer.initialize_unfilled_to(buffer.remaining().min(turn_bytes)));
        let result = Pin::new(&mut this.inner).poll_read(cx, &mut turn);
        let bytes = turn.filled().len();
        if result.is_pending() {
            this.turn_bytes = 0;
        }
        ready!(result)?;
        buffer.advance(bytes);
        this.turn_bytes += bytes as u64;
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for PeerStream<T> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.poll_closing(cx) {
            return closed();
        }
        Pin::new(&mut this.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.poll_closing(cx) {
            return closed();
        }
        Pin::new(&mut this.inner).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }
}
