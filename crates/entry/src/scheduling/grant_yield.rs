use policy::Stats;

/// Decides when the grants of a data centre yield to a waiting wide job.
///
/// Idle grants may occupy a part of every worker, so that a job that needs whole workers would wait permanently. Urgent
/// requests are forwarded to other data centres meanwhile.
#[derive(Debug)]
#[expect(clippy::struct_field_names, reason = "the common suffix is the unit")]
pub(super) struct GrantYield {
    /// Time for which a job must be blocked; reclaim and most waits for running work take less.
    min_blocked_ms: u64,
    blocked_since_ms: Option<u64>,
    yielding_since_ms: Option<u64>,
    cooldown_until_ms: u64,
}

impl GrantYield {
    /// Longest time without grants if the job does not start, as a multiple of `min_blocked_ms`.
    const MAX_YIELD_FACTOR: u64 = 2;
    /// Time before the grants may yield again, as a multiple of `min_blocked_ms`.
    const COOLDOWN_FACTOR: u64 = 4;

    /// Creates a state that yields once a job has been blocked for `min_blocked_ms`.
    pub(super) const fn new(min_blocked_ms: u64) -> Self {
        Self {
            min_blocked_ms,
            blocked_since_ms: None,
            yielding_since_ms: None,
            cooldown_until_ms: 0,
        }
    }

    /// Returns whether the data centre currently has to do without grants.
    pub(super) const fn is_yielding(&self) -> bool {
        self.yielding_since_ms.is_some()
    }

    /// Updates the decision from the scheduler's statistics.
    ///
    /// `has_remote_capacity` tells whether another data centre can serve urgent requests. `position` is the index of
    /// the data centre in the configuration; it staggers the start, since urgent requests could go nowhere if all
    /// yielded.
    pub(super) fn update(&mut self, now_ms: u64, stats: &Stats, has_remote_capacity: bool, position: u64) {
        let is_blocked = stats.queued_jobs > 0 && stats.fragmentation_ratio >= 1.0;
        if !is_blocked {
            self.blocked_since_ms = None;
        }
        if let Some(since_ms) = self.yielding_since_ms {
            if !is_blocked
                || !has_remote_capacity
                || now_ms.saturating_sub(since_ms) >= self.min_blocked_ms * Self::MAX_YIELD_FACTOR
            {
                self.yielding_since_ms = None;
                self.cooldown_until_ms = now_ms + self.min_blocked_ms * Self::COOLDOWN_FACTOR;
            }
        } else if is_blocked {
            let since_ms = *self.blocked_since_ms.get_or_insert(now_ms);
            let min_blocked_ms = self.min_blocked_ms + self.min_blocked_ms * position / 2;
            if has_remote_capacity
                && now_ms >= self.cooldown_until_ms
                && now_ms.saturating_sub(since_ms) >= min_blocked_ms
            {
                self.yielding_since_ms = Some(now_ms);
            }
        }
    }
}
