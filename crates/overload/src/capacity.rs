/// Capacity for which waiting work competes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Current time.
    pub now_ms: u64,
    /// Capacity in cores, with an accelerator at its price in cores: the work in core-milliseconds that becomes free in a
    /// millisecond while all of it is in use.
    pub cores: f64,
    /// Work of higher priority that waits, in core-milliseconds.
    pub ahead_core_ms: f64,
    /// Capacity that work holds which was started because it had aged.
    pub aged_cores: f64,
}

impl Capacity {
    /// Share of the capacity that aged work may hold. In a lasting overload all postponed work ages, so that without a
    /// limit it would be served first and newer small work would no longer be in time. In simulations of twice the room,
    /// a quarter kept more jobs in time than a half or three quarters, and served the largest tenth as often.
    pub const AGED_SHARE: f64 = 0.25;

    /// Returns the capacity that aged work may still take.
    pub(crate) fn left_for_aged(&self) -> f64 {
        self.cores * Self::AGED_SHARE - self.aged_cores
    }
}
