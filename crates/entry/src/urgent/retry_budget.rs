use std::time::Duration;

use rand::Rng;

/// Budget of retries: 10% of the successful requests, and at least 3/s.
///
/// Without a budget, retries would multiply the load when workers are overloaded.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    refilled_ms: u64,
}

impl RetryBudget {
    const TOKENS_PER_SUCCESS: f64 = 0.1;
    const MIN_TOKENS_PER_S: f64 = 3.0;
    const MAX_TOKENS: f64 = 30.0;
    const BASE_BACKOFF_MS: u64 = 20;
    const MAX_BACKOFF_MS: u64 = 2_000;

    pub(super) const fn new(now_ms: u64) -> Self {
        Self {
            tokens: Self::MIN_TOKENS_PER_S,
            refilled_ms: now_ms,
        }
    }

    pub(super) fn record_success(&mut self) {
        self.tokens = (self.tokens + Self::TOKENS_PER_SUCCESS).min(Self::MAX_TOKENS);
    }

    /// Takes a token for one retry, if there is one.
    pub(super) fn try_take(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms;
        self.tokens = (self.tokens + Self::MIN_TOKENS_PER_S * elapsed_ms as f64 / 1_000.0).min(Self::MAX_TOKENS);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the delay before a retry: exponential back-off with full jitter.
    pub(super) fn backoff(retries: u32) -> Duration {
        let max_backoff_ms = (Self::BASE_BACKOFF_MS << retries.min(10)).min(Self::MAX_BACKOFF_MS);
        Duration::from_millis(rand::rng().random_range(0..=max_backoff_ms))
    }
}
