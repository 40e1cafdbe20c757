use std::time::Instant;

/// Token bucket that limits requests in one second.
#[derive(Debug)]
pub(super) struct Bucket {
    per_s: f64,
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    pub fn new(per_s: u32) -> Self {
        Self {
            per_s: per_s.into(),
            tokens: Self::burst(per_s.into()),
            filled_at: Instant::now(),
        }
    }

    /// Takes a token; returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.tokens = (self.tokens + elapsed * self.per_s).min(Self::burst(self.per_s));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// A quarter of a second's tokens may be taken at once.
    fn burst(per_s: f64) -> f64 {
        (per_s / 4.0).max(1.0)
    }
}
