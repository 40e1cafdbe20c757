/// Progress rate of a run, derived from the percentages that its worker reports.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RunProgress {
    pub percent: f64,
    /// Time and percentage of the first report.
    first: Option<(u64, f64)>,
    /// Start of the current window and the percentage at that time.
    window: Option<(u64, f64)>,
    /// Percent per millisecond over the last complete window.
    pub rate: Option<f64>,
    /// Highest rate sustained for two windows. A single window may contain the jump of a run that resumes.
    pub best_rate: f64,
}

impl RunProgress {
    /// Minimum length of a window; reports arrive somewhat more often.
    const WINDOW_MS: u64 = 600;

    /// Progress per window below which a run cannot be distinguished from a stalled one, as percentages are integers.
    const RESOLUTION: f64 = 2.0;

    /// Records a reported percentage.
    pub fn observe(&mut self, percent: f64, now_ms: u64) {
        self.percent = percent;
        self.first.get_or_insert((now_ms, percent));
        let Some((since_ms, from)) = self.window else {
            self.window = Some((now_ms, percent));
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(since_ms);
        if elapsed_ms < Self::WINDOW_MS {
            return;
        }
        let rate = (percent - from).max(0.0) / elapsed_ms as f64;
        let held = self.rate.replace(rate).map_or(0.0, |before| before.min(rate));
        self.best_rate = self.best_rate.max(held);
        self.window = Some((now_ms, percent));
    }

    /// Returns the progress since the first report and the time since then, if there was a later report.
    pub fn since_first(&self, now_ms: u64) -> Option<(f64, u64)> {
        let (first_ms, first) = self.first?;
        Some((self.percent - first, now_ms.saturating_sub(first_ms)))
    }

    /// Returns the rate as a share of `normal`; `None` if it is not known yet or `normal` is too low to compare with.
    pub fn share_of(&self, normal: f64) -> Option<f64> {
        let rate = self.rate?;
        if normal <= 0.0 || normal * (Self::WINDOW_MS as f64) < Self::RESOLUTION {
            return None;
        }
        Some(rate / normal)
    }

    /// Returns the remaining time until completion at a rate.
    pub fn remaining_ms(&self, rate: f64) -> f64 {
        (100.0 - self.percent).max(0.0) / rate.max(f64::MIN_POSITIVE)
    }
}
