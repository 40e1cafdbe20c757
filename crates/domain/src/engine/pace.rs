use super::Engine;

/// Throttling of fillers beside tasks that serve users.
impl Engine {
    /// Adjusts the share of fillers on workers with serving tasks.
    pub(super) fn pace_fillers(&mut self, _now_ms: u64) {}
}
