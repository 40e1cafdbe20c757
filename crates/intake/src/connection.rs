use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use tokio::time::sleep_until;

use crate::{ConnectionKey, Intake, Limits, Stage};

/// Handle of an open connection; the connection counts as open until the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Connection {
    open: Rc<Open>,
}

#[derive(Debug)]
struct Open {
    intake: Intake,
    key: ConnectionKey,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.intake.with(|table, _| table.remove(self.key));
    }
}

impl Connection {
    pub(crate) fn new(intake: Intake, key: ConnectionKey) -> Self {
        Self {
            open: Rc::new(Open { intake, key }),
        }
    }

    /// Returns the limits of the process.
    pub fn intake(&self) -> &Intake {
        &self.open.intake
    }

    /// Notes that the head of a request is complete.
    pub fn begin_request(&self, has_body: bool) {
        let key = self.open.key;
        self.open
            .intake
            .with(|table, now_ms| table.begin_request(key, has_body, now_ms));
    }

    /// Returns the bytes of the body that have arrived, with the framing of chunks.
    pub fn body_wire_bytes(&self) -> u64 {
        self.open.intake.with(|table, _| table.stage_bytes(self.open.key))
    }

    /// Notes that the body of the request is complete.
    pub fn end_body(&self) {
        self.open
            .intake
            .with(|table, now_ms| table.end_body(self.open.key, now_ms));
    }

    /// Charges memory that the complete request needs while it is answered; returns whether there is room for it. Waits
    /// until connections that are closed for it have released theirs.
    pub async fn reserve(&self, bytes: u64) -> bool {
        let intake = self.intake();
        let is_reserved = intake.with(|table, _| table.reserve(self.open.key, bytes));
        intake.log_closed();
        if is_reserved {
            intake.cleared().await;
        }
        is_reserved
    }

    /// Notes that the request was answered.
    pub fn end_request(&self) {
        self.open
            .intake
            .with(|table, now_ms| table.end_request(self.open.key, now_ms));
    }

    /// Charges a reply until it was written, if it is large.
    pub fn hold_reply(&self, bytes: u64) {
        if bytes > Limits::ORDINARY_BYTES {
            self.open.intake.with(|table, _| table.hold_reply(self.open.key, bytes));
            self.open.intake.log_closed();
        }
    }

    /// Runs the future that serves the connection until it ends or the connection has to be closed; then the future is
    /// dropped with all that it holds.
    pub async fn serve<F: Future>(&self, serving: F) -> Option<F::Output> {
        let (intake, key) = (&self.open.intake, self.open.key);
        let mut serving = pin!(serving);
        let mut sleep = pin!(sleep_until(intake.instant(0)));
        poll_fn(|cx| {
            intake.with(|table, _| table.set_waker(key, cx.waker()));
            if intake.with(|table, _| table.closing(key)).is_some() {
                return Poll::Ready(None);
            }
            if let Poll::Ready(output) = serving.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            loop {
                let (deadline, is_closing) = intake.with(|table, now_ms| {
                    let deadline = table.deadline(key);
                    if let Some((at_ms, cause)) = deadline
                        && now_ms >= at_ms
                    {
                        table.close(key, cause);
                    }
                    (deadline, table.closing(key).is_some())
                });
                if is_closing {
                    intake.log_closed();
                    return Poll::Ready(None);
                }
                let Some((at_ms, _)) = deadline else {
                    return Poll::Pending;
                };
                let at = intake.instant(at_ms);
                // A timer that fires early is set again then, which is cheaper than setting it on each event.
                if sleep.is_elapsed() || sleep.deadline() > at {
                    sleep.as_mut().reset(at);
                }
                if sleep.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
            }
        })
        .await
    }

    pub(crate) fn read(&self, bytes: u64) {
        self.open
            .intake
            .with(|table, now_ms| table.read(self.open.key, bytes, now_ms));
        self.open.intake.log_closed();
    }

    pub(crate) fn flushed(&self) {
        self.open
            .intake
            .with(|table, now_ms| table.flushed(self.open.key, now_ms));
    }

    /// Returns the stage, unless the connection has to be closed.
    pub(crate) fn open_stage(&self) -> Option<Stage> {
        self.open.intake.with(|table, _| match table.closing(self.open.key) {
            Some(_) => None,
            None => table.stage(self.open.key),
        })
    }
}
