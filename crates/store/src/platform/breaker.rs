use std::cell::RefCell;
use std::time::{Duration, Instant};

use rand::Rng;

/// Circuit breaker: opens after consecutive failures, then lets one request through after each jittered pause.
pub(super) struct Breaker {
    failures_to_open: u32,
    probe_after: (Duration, Duration),
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    failures: u32,
    /// When the next probe may go; `None` while closed.
    probe_at: Option<Instant>,
    opened: u64,
}

/// Right to send one request; counts as a failure unless it succeeded.
pub(super) struct Permit<'a> {
    breaker: &'a Breaker,
    is_settled: bool,
}

impl Breaker {
    pub fn new(failures_to_open: u32, probe_after: (Duration, Duration)) -> Self {
        Self {
            failures_to_open,
            probe_after,
            state: RefCell::default(),
        }
    }

    /// Returns whether requests are held back now.
    pub fn is_holding(&self) -> bool {
        self.state.borrow().probe_at.is_some_and(|at| Instant::now() < at)
    }

    pub fn is_open(&self) -> bool {
        self.state.borrow().probe_at.is_some()
    }

    pub fn opened(&self) -> u64 {
        self.state.borrow().opened
    }

    /// Returns the right to send a request, unless the breaker is open and no probe is due.
    pub fn enter(&self) -> Option<Permit<'_>> {
        if self.is_holding() {
            return None;
        }
        let mut state = self.state.borrow_mut();
        if state.probe_at.is_some() {
            // This request is the probe; others wait one further pause for its result.
            state.probe_at = Some(self.next_probe());
        }
        Some(Permit {
            breaker: self,
            is_settled: false,
        })
    }

    fn next_probe(&self) -> Instant {
        let (shortest, longest) = self.probe_after;
        Instant::now() + shortest + (longest.saturating_sub(shortest)).mul_f64(rand::rng().random_range(0.0..=1.0))
    }

    fn fail(&self) {
        let mut state = self.state.borrow_mut();
        state.failures = state.failures.saturating_add(1);
        if state.failures >= self.failures_to_open && state.probe_at.is_none() {
            state.probe_at = Some(self.next_probe());
            state.opened += 1;
        }
    }
}

impl Permit<'_> {
    /// Records that the platform replied, and closes the breaker.
    pub fn succeed(mut self) {
        self.is_settled = true;
        let mut state = self.breaker.state.borrow_mut();
        state.failures = 0;
        state.probe_at = None;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.breaker.fail();
        }
    }
}
