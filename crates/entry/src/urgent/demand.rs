use std::collections::VecDeque;

/// Recent demand for granted slots, which determines how many the instance asks for.
///
/// Idle grants keep large jobs from getting whole workers. An idle instance therefore asks for the number in its
/// settings, and a loaded one for twice its recent peak, up to four times that number.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Time and demand of the window's peaks, as a monotonic queue of falling demand.
    peaks: VecDeque<(u64, u32)>,
}

impl Demand {
    /// Time for which a peak counts; with a shorter window, successive bursts would find no grants.
    const WINDOW_MS: u64 = 30_000;

    /// Maximum ratio of the slots wanted under load to those wanted when idle.
    const GROWTH: u32 = 4;

    /// Records the current demand and returns how many slots are wanted.
    pub(super) fn wanted(&mut self, now_ms: u64, demand: u32, idle: u32) -> u32 {
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= demand) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now_ms, demand));
        while self
            .peaks
            .front()
            .is_some_and(|(at_ms, _)| at_ms + Self::WINDOW_MS < now_ms)
        {
            self.peaks.pop_front();
        }
        let peak = self.peaks.front().map_or(0, |(_, peak)| *peak);
        (peak * 2).clamp(idle, idle * Self::GROWTH)
    }
}
