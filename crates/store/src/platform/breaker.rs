use std::cell::RefCell;
use std::time::{Duration, Instant};

use rand::Rng;

/// Circuit breaker that opens after consecutive failures and then admits one probe request after each jittered delay.
pub(super) struct Breaker {
    failure_threshold: u32,
    probe_delay: (Duration, Duration),
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    failures: u32,
    /// When the next probe may be sent; `None` while closed.
    next_probe_at: Option<Instant>,
    times_opened: u64,
}

/// Permit to send one request; dropping it without [`Permit::record_success`] counts as a failure.
pub(super) struct Permit<'a> {
    breaker: &'a Breaker,
    has_succeeded: bool,
}

impl Breaker {
    pub fn new(failure_threshold: u32, probe_delay: (Duration, Duration)) -> Self {
        Self {
            failure_threshold,
            probe_delay,
            state: RefCell::default(),
        }
    }

    /// Returns whether the breaker is open and no probe is due.
    pub fn is_blocking(&self) -> bool {
        self.state.borrow().next_probe_at.is_some_and(|at| Instant::now() < at)
    }

    pub fn is_open(&self) -> bool {
        self.state.borrow().next_probe_at.is_some()
    }

    pub fn times_opened(&self) -> u64 {
        self.state.borrow().times_opened
    }

    /// Returns a permit to send a request, or `None` if the breaker is open and no probe is due.
    pub fn try_acquire(&self) -> Option<Permit<'_>> {
        if self.is_blocking() {
            return None;
        }
        let mut state = self.state.borrow_mut();
        if state.next_probe_at.is_some() {
            // This request is the probe; all others are rejected for one more delay while its result is pending.
            state.next_probe_at = Some(self.next_probe_time());
        }
        Some(Permit {
            breaker: self,
            has_succeeded: false,
        })
    }

    fn next_probe_time(&self) -> Instant {
        let (shortest, longest) = self.probe_delay;
        Instant::now() + shortest + (longest.saturating_sub(shortest)).mul_f64(rand::rng().random_range(0.0..=1.0))
    }

    fn record_failure(&self) {
        let mut state = self.state.borrow_mut();
        state.failures = state.failures.saturating_add(1);
        if state.failures >= self.failure_threshold && state.next_probe_at.is_none() {
            state.next_probe_at = Some(self.next_probe_time());
            state.times_opened += 1;
        }
    }
}

impl Permit<'_> {
    /// Records that the platform replied and closes the breaker.
    pub fn record_success(mut self) {
        self.has_succeeded = true;
        let mut state = self.breaker.state.borrow_mut();
        state.failures = 0;
        state.next_probe_at = None;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if !self.has_succeeded {
            self.breaker.record_failure();
        }
    }
}
