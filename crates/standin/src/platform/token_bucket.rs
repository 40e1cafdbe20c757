use std::time::Instant;

/// Token bucket that limits the request rate.
#[derive(Debug)]
pub(super) struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub fn new(per_s: u32) -> Self {
        Self {
            per_s: per_s.into(),
            tokens: Self::burst(per_s.into()),
            refilled_at: Instant::now(),
        }
    }

    /// Takes a token; returns whether one was available.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.per_s).min(Self::burst(self.per_s));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the capacity: the tokens of a quarter of a second, at least one.
    fn burst(per_s: f64) -> f64 {
        (per_s / 4.0).max(1.0)
    }
}
