/// Decaying histogram of the ratio of actual to declared run time of one organisation's jobs.
#[derive(Debug, Clone)]
pub(crate) struct RunTimeCorrection {
    /// Bucket `i` holds ratios around `2^((i - ZERO) / 4)`.
    counts: [u16; Self::BUCKETS],
    total: u32,
}

impl RunTimeCorrection {
    const BUCKETS: usize = 64;
    /// Bucket of the ratio 1. The histogram spans 1/16 to 2^12, as declared run times are more often far too short.
    const ZERO: f64 = 16.0;
    /// Counts are halved at this total, so that the last few hundred jobs dominate.
    const HALVE_AT: u32 = 512;
    /// Quantile of the ratio used for estimates; one job in ten may still run longer.
    const QUANTILE: f64 = 0.9;

    pub const fn new() -> Self {
        Self {
            counts: [0; Self::BUCKETS],
            total: 0,
        }
    }

    pub fn record(&mut self, declared_ms: u64, actual_ms: u64) {
        if declared_ms == 0 {
            return;
        }
        let ratio = actual_ms.max(1) as f64 / declared_ms as f64;
        let bucket = (ratio.log2() * 4.0 + Self::ZERO)
            .round()
            .clamp(0.0, Self::BUCKETS as f64 - 1.0);
        self.counts[bucket as usize] += 1;
        self.total += 1;
        if self.total >= Self::HALVE_AT {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().map(|&count| u32::from(count)).sum();
        }
    }

    /// Returns the run time to plan with; 1.5 times the declared one until a run was recorded.
    pub fn expected_run_ms(&self, declared_ms: u64) -> u64 {
        let factor = self.factor(Self::QUANTILE).unwrap_or(1.5);
        (declared_ms as f64 * factor) as u64
    }

    fn factor(&self, quantile: f64) -> Option<f64> {
        let wanted = (f64::from(self.total) * quantile).ceil() as u32;
        let mut seen = 0;
        for (bucket, &count) in self.counts.iter().enumerate() {
            seen += u32::from(count);
            if self.total > 0 && seen >= wanted {
                return Some(((bucket as f64 - Self::ZERO + 0.5) / 4.0).exp2());
            }
        }
        None
    }
}
