/// Estimated speed of a worker, relative to the mean of the workers of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Natural logarithm of the factor by which the worker is faster than the mean.
    pub log_factor: f64,
    /// Standard deviation of `log_factor`.
    pub deviation: f64,
}

impl Speed {
    /// Standard deviation of the logarithms of speeds that is assumed until it is estimated: a factor of 1.5.
    pub const PRIOR_DEVIATION: f64 = 0.4;

    /// Deviation below which an estimate tells a worker apart from one that is a third faster or slower.
    const RELIABLE_DEVIATION: f64 = 0.2;

    /// Returns the factor by which the worker is faster than the mean.
    pub fn factor(self) -> f64 {
        self.log_factor.exp()
    }

    /// Returns whether enough was observed to tell the worker apart from others.
    pub fn is_reliable(self) -> bool {
        self.deviation <= Self::RELIABLE_DEVIATION
    }

    /// Returns the probability that the worker is at least as fast as a factor that is known up to a standard deviation of
    /// its logarithm.
    pub fn chance_of(self, factor: f64, deviation: f64) -> f64 {
        let margin = self.log_factor - factor.max(f64::MIN_POSITIVE).ln();
        normal_cdf(margin / self.deviation.hypot(deviation).max(f64::MIN_POSITIVE))
    }
}

/// Returns the distribution function of the standard normal distribution, by its logistic approximation, which is within
/// 0.01 of it.
fn normal_cdf(x: f64) -> f64 {
    /// Slope of the logistic function that is closest to the normal distribution.
    const SLOPE: f64 = 1.702;
    1.0 / (1.0 + (-SLOPE * x).exp())
}
