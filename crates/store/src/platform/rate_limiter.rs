use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use tokio::sync::oneshot;

use crate::Urgency;

/// Token bucket whose waiters are served in order of urgency, then of arrival.
#[derive(Clone)]
pub(super) struct Budget(Rc<Inner>);

struct Inner {
    per_s: f64,
    burst: f64,
    tokens: Cell<f64>,
    filled_at: Cell<Instant>,
    next_ticket: Cell<u64>,
    waiters: RefCell<BTreeMap<(Urgency, u64), oneshot::Sender<()>>>,
    is_serving: Cell<bool>,
}

impl Budget {
    /// Most requests that wait; more fail unsent at once, which bounds the memory.
    const MAX_WAITERS: usize = 20_000;

    /// Creates a bucket that holds the tokens of 100 ms, at least one, so that a burst stays small against the
    /// platform's limit of one second.
    pub fn new(per_s: f64) -> Self {
        let burst = (per_s / 10.0).max(1.0);
        Self(Rc::new(Inner {
            per_s,
            burst,
            tokens: Cell::new(burst),
            filled_at: Cell::new(Instant::now()),
            next_ticket: Cell::new(0),
            waiters: RefCell::default(),
            is_serving: Cell::new(false),
        }))
    }

    pub fn waiting(&self) -> usize {
        self.0.waiters.borrow().len()
    }

    /// Waits for a token; returns whether there was one within `wait`.
    pub async fn take(&self, urgency: Urgency, wait: Duration) -> bool {
        let inner = &self.0;
        inner.fill();
        if inner.waiters.borrow().is_empty() && inner.tokens.get() >= 1.0 {
            inner.tokens.set(inner.tokens.get() - 1.0);
            return true;
        }
        if self.waiting() >= Self::MAX_WAITERS {
            return false;
        }
        let (sender, receiver) = oneshot::channel();
        let ticket = (urgency, inner.next_ticket.get());
        inner.next_ticket.set(ticket.1 + 1);
        inner.waiters.borrow_mut().insert(ticket, sender);
        let _guard = Ticket { inner, ticket };
        if !inner.is_serving.replace(true) {
            actix_rt::spawn(Rc::clone(inner).serve());
        }
        matches!(timeout(wait, receiver).await, Ok(Ok(())))
    }
}

impl Inner {
    fn fill(&self) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.filled_at.replace(now)).as_secs_f64();
        self.tokens
            .set((self.tokens.get() + elapsed * self.per_s).min(self.burst));
    }

    /// Hands tokens to waiters until none is left.
    async fn serve(self: Rc<Self>) {
        loop {
            self.fill();
            while self.tokens.get() >= 1.0 {
                let Some((_, sender)) = self.waiters.borrow_mut().pop_first() else {
                    break;
                };
                if sender.send(()).is_ok() {
                    self.tokens.set(self.tokens.get() - 1.0);
                }
            }
            if self.waiters.borrow().is_empty() {
                self.is_serving.set(false);
                return;
            }
            let missing = (1.0 - self.tokens.get()).max(0.0);
            sleep(Duration::from_secs_f64(missing / self.per_s).max(Duration::from_millis(1))).await;
        }
    }
}

/// Place in the queue; left when the waiter is served or gives up.
struct Ticket<'a> {
    inner: &'a Inner,
    ticket: (Urgency, u64),
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.inner.waiters.borrow_mut().remove(&self.ticket);
    }
}
