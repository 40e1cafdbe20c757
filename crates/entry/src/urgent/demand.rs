use std::collections::VecDeque;

/// Recent demand for granted slots, from which follows how many the instance asks for.
///
/// Idle grants keep whole workers from large jobs, so an instance asks for the number in its settings while it is idle, and
/// under load for twice its recent peak, up to four times that number.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Demand with the time when it was seen, as a queue of falling peaks.
    peaks: VecDeque<(u64, u32)>,
}

impl Demand {
    /// How long a peak counts. Shorter than this, bursts that follow each other would find no grants.
    const WINDOW_MS: u64 = 30_000;

    /// Growth under load over what an idle instance asks for.
    const GROWTH: u32 = 4;

    /// Takes note of the present demand and returns how many slots are wanted.
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
