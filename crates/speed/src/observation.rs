/// Mean rate of one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation<W, S> {
    pub step: S,
    pub worker: W,
    /// Natural logarithm of the rate in percent per millisecond.
    pub log_rate: f64,
    /// Inverse of the variance of `log_rate` on workers of the same speed.
    pub precision: f64,
}
