use crate::amount::Amount;

/// Capacity that urgent work uses, and the recent peak from which its headroom is computed.
#[derive(Debug, Default)]
pub(crate) struct UrgentLoad {
    in_use: Amount,
    peak_slots: f64,
    peak_accelerators: f64,
    updated_ms: u64,
}

impl UrgentLoad {
    /// Half-life of the peak, so that it still counts for the next burst of the same session.
    const HALF_LIFE_MS: f64 = 600_000.0;
    /// Bound on the headroom as a fraction of the data centre. Beyond it urgent work preempts.
    const MAX_SHARE: f64 = 0.02;
    /// Factor applied to the peak: bursts vary, so a quarter more is kept free.
    const MARGIN: f64 = 1.25;

    pub fn change(&mut self, amount: Amount) {
        self.in_use += amount;
    }

    /// Decays the peak and raises it to the current use.
    pub fn update(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-elapsed / Self::HALF_LIFE_MS).exp2();
        self.peak_slots = (self.peak_slots * decay).max(f64::from(self.in_use.slots));
        self.peak_accelerators = (self.peak_accelerators * decay).max(f64::from(self.in_use.accelerators));
        self.updated_ms = now_ms;
    }

    /// Returns the slots and accelerators that deferred work leaves free in a data centre of that size.
    pub fn headroom(&self, part: Amount, whole: Amount) -> (i32, i32) {
        let reserve = |peak: f64, used: i32, part: i32, whole: i32| {
            let share = f64::from(part) / f64::from(whole.max(1));
            let wanted = (peak * Self::MARGIN - f64::from(used)).max(0.0) * share;
            wanted.min(f64::from(part) * Self::MAX_SHARE).floor() as i32
        };
        (
            reserve(self.peak_slots, self.in_use.slots, part.slots, whole.slots),
            reserve(
                self.peak_accelerators,
                self.in_use.accelerators,
                part.accelerators,
                whole.accelerators,
            ),
        )
    }
}
