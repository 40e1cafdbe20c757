use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use tokio::sync::oneshot;

use crate::Urgency;

/// Token-bucket rate limiter that serves waiting requests by urgency, then first come, first served.
#[derive(Clone)]
pub(super) struct RateLimiter(Rc<Inner>);

struct Inner {
    per_s: f64,
    burst: f64,
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
    next_sequence: Cell<u64>,
    waiters: RefCell<BTreeMap<(Urgency, u64), oneshot::Sender<()>>>,
    is_serving: Cell<bool>,
}

impl RateLimiter {
    /// Maximum number of waiting requests; further ones fail unsent at once, which bounds memory use.
    const MAX_WAITERS: usize = 20_000;

    /// Creates a limiter whose bucket holds the tokens of 100 ms, at least one, so that a burst stays small compared
    /// with the platform's limit per second.
    pub fn new(per_s: f64) -> Self {
        let burst = (per_s / 10.0).max(1.0);
        Self(Rc::new(Inner {
            per_s,
            burst,
            tokens: Cell::new(burst),
            refilled_at: Cell::new(Instant::now()),
            next_sequence: Cell::new(0),
            waiters: RefCell::default(),
            is_serving: Cell::new(false),
        }))
    }

    pub fn waiting(&self) -> usize {
        self.0.waiters.borrow().len()
    }

    /// Waits for a token and returns whether one was granted within `max_wait`.
    pub async fn acquire(&self, urgency: Urgency, max_wait: Duration) -> bool {
        let inner = &self.0;
        inner.refill();
        if inner.waiters.borrow().is_empty() && inner.tokens.get() >= 1.0 {
            inner.tokens.set(inner.tokens.get() - 1.0);
            return true;
        }
        if self.waiting() >= Self::MAX_WAITERS {
            return false;
        }
        let (sender, receiver) = oneshot::channel();
        let queue_key = (urgency, inner.next_sequence.get());
        inner.next_sequence.set(queue_key.1 + 1);
        inner.waiters.borrow_mut().insert(queue_key, sender);
        let _guard = QueueEntry { inner, queue_key };
        if !inner.is_serving.replace(true) {
            actix_rt::spawn(Rc::clone(inner).serve());
        }
        matches!(timeout(max_wait, receiver).await, Ok(Ok(())))
    }

    /// Gives back the token of a request that was not sent.
    pub fn release(&self) {
        let inner = &self.0;
        inner.tokens.set((inner.tokens.get() + 1.0).min(inner.burst));
    }
}

impl Inner {
    fn refill(&self) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled_at.replace(now)).as_secs_f64();
        self.tokens
            .set((self.tokens.get() + elapsed * self.per_s).min(self.burst));
    }

    /// Grants tokens to waiters until no waiter is left.
    async fn serve(self: Rc<Self>) {
        loop {
            self.refill();
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

/// Entry in the wait queue; dropping it removes the waiter when it is served or gives up.
struct QueueEntry<'a> {
    inner: &'a Inner,
    queue_key: (Urgency, u64),
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.inner.waiters.borrow_mut().remove(&self.queue_key);
    }
}
