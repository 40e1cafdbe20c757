use model::{Resources, WorkerId};

use super::health::Health;

/// Worker in a baseline.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) id: WorkerId,
    pub(crate) capacity: Resources,
    pub(crate) free: Resources,
    pub(crate) up: bool,
    pub(crate) in_service: bool,
    pub(crate) health: Health,
    /// Whether the quarantine interval has passed, so that one task may probe the worker.
    pub(crate) probing: bool,
}

impl Node {
    /// Returns whether the worker takes work other than probes.
    pub(crate) fn is_usable(&self) -> bool {
        self.up && self.in_service && self.health.quarantined_until_ms.is_none()
    }

    /// Returns how many parts of `need` can start on the worker now.
    pub(crate) fn fitting_parts(&self, need: Resources, idempotent: bool) -> u32 {
        if !self.up || !self.in_service || !self.free.fits(need) {
            return 0;
        }
        if self.health.quarantined_until_ms.is_some() {
            return u32::from(self.probing && idempotent && self.free == self.capacity);
        }
        u32::from(self.free.count_of(need))
    }
}
