/// Rate of progress of a run, from the percents that its worker reports.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RunProgress {
    pub percent: f64,
    /// Start of the present window and percent then.
    window: Option<(u64, f64)>,
    /// Percent per millisecond over the last whole window.
    pub rate: Option<f64>,
    /// Highest rate that held for two windows. A single window may hold the jump of a run that resumes.
    pub best_rate: f64,
}

impl RunProgress {
    /// Length of a window; reports come somewhat more often.
    const WINDOW_MS: u64 = 600;

    /// Percent within which a rate cannot be told from standing still, as percents are whole numbers.
    const RESOLUTION: f64 = 2.0;

    /// Takes a reported percent.
    pub fn observe(&mut self, percent: f64, now_ms: u64) {
        self.percent = percent;
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

    /// Returns the share of `normal` at which the run works; `None` if the rate is too low to be told.
    pub fn share_of(&self, normal: f64) -> Option<f64> {
        let rate = self.rate?;
        if normal <= 0.0 || normal * (Self::WINDOW_MS as f64) < Self::RESOLUTION {
            return None;
        }
        Some(rate / normal)
    }

    /// Returns the time until the end at a rate.
    pub fn left_ms(&self, rate: f64) -> f64 {
        (100.0 - self.percent).max(0.0) / rate.max(f64::MIN_POSITIVE)
    }
}
