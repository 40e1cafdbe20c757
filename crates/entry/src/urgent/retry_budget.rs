use std::time::Duration;

use rand::Rng;

/// Budget of retries: 10% of the successful requests, and at least 3/s.
///
/// Without a budget retries multiply the load just when workers cannot keep up.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    refilled_ms: u64,
}

impl RetryBudget {
    const SHARE: f64 = 0.1;
    const MIN_PER_S: f64 = 3.0;
    const MAX_TOKENS: f64 = 30.0;
    const FIRST_PAUSE_MS: u64 = 20;
    const LONGEST_PAUSE_MS: u64 = 2_000;

    pub(super) const fn new(now_ms: u64) -> Self {
        Self {
            tokens: Self::MIN_PER_S,
            refilled_ms: now_ms,
        }
    }

    pub(super) fn succeed(&mut self) {
        self.tokens = (self.tokens + Self::SHARE).min(Self::MAX_TOKENS);
    }

    /// Takes the right to retry, if there is one.
    pub(super) fn take(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms;
        self.tokens = (self.tokens + Self::MIN_PER_S * elapsed_ms as f64 / 1_000.0).min(Self::MAX_TOKENS);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the pause before a retry: exponential with full jitter.
    pub(super) fn pause(tries: u32) -> Duration {
        let longest_ms = (Self::FIRST_PAUSE_MS << tries.min(10)).min(Self::LONGEST_PAUSE_MS);
        Duration::from_millis(rand::rng().random_range(0..=longest_ms))
    }
}
