use policy::Stats;

/// Decides when the grants of a data centre give way to a wide job that waits.
///
/// Idle grants may lie on every worker, so that a job which needs whole workers would wait forever. Urgent requests go to
/// other data centres meanwhile.
#[derive(Debug)]
#[expect(clippy::struct_field_names, reason = "the common suffix is the unit")]
pub(super) struct GrantYield {
    /// How long a job must be blocked; reclaim and most waits for running work end before.
    patience_ms: u64,
    blocked_since_ms: Option<u64>,
    yielding_since_ms: Option<u64>,
    rested_ms: u64,
}

impl GrantYield {
    /// Longest time without grants, if the job does not start after all, in units of the patience.
    const LONGEST: u64 = 2;
    /// Pause before the grants give way again, in units of the patience.
    const REST: u64 = 4;

    /// Creates the state for jobs that may be blocked for `patience_ms`.
    pub(super) const fn new(patience_ms: u64) -> Self {
        Self {
            patience_ms,
            blocked_since_ms: None,
            yielding_since_ms: None,
            rested_ms: 0,
        }
    }

    /// Returns whether the data centre does without grants now.
    pub(super) const fn is_yielding(&self) -> bool {
        self.yielding_since_ms.is_some()
    }

    /// Takes note of the scheduler's figures.
    ///
    /// `has_refuge` is whether urgent requests can go to another data centre. `position` is that of the data centre among
    /// all: they begin one after another, since without any grants urgent requests would find no refuge.
    pub(super) fn update(&mut self, now_ms: u64, stats: &Stats, has_refuge: bool, position: u64) {
        let is_blocked = stats.queued_jobs > 0 && stats.fragmentation_ratio >= 1.0;
        if !is_blocked {
            self.blocked_since_ms = None;
        }
        if let Some(since_ms) = self.yielding_since_ms {
            if !is_blocked || !has_refuge || now_ms.saturating_sub(since_ms) >= self.patience_ms * Self::LONGEST {
                self.yielding_since_ms = None;
                self.rested_ms = now_ms + self.patience_ms * Self::REST;
            }
        } else if is_blocked {
            let since_ms = *self.blocked_since_ms.get_or_insert(now_ms);
            let patience_ms = self.patience_ms + self.patience_ms * position / 2;
            if has_refuge && now_ms >= self.rested_ms && now_ms.saturating_sub(since_ms) >= patience_ms {
                self.yielding_since_ms = Some(now_ms);
            }
        }
    }
}
