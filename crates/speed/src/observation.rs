/// Mean rate of one run of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation<S> {
    pub step: S,
    /// Natural logarithm of the rate in percent per millisecond.
    pub log_rate: f64,
    /// Inverse of the variance of `log_rate` on workers of the same speed.
    pub precision: f64,
}
