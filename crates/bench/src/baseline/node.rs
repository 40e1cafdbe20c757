use model::{Resources, WorkerId};

use super::health::Health;

/// Worker as a baseline sees it.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) id: WorkerId,
    pub(crate) capacity: Resources,
    pub(crate) free: Resources,
    pub(crate) up: bool,
    pub(crate) in_service: bool,
    pub(crate) health: Health,
    /// The quarantine has lapsed and one task may test the worker.
    pub(crate) probing: bool,
}

impl Node {
    /// Returns whether ordinary work may start here.
    pub(crate) fn is_usable(&self) -> bool {
        self.up && self.in_service && self.health.quarantined_until_ms.is_none()
    }

    /// Returns how many parts of `need` may start here.
    pub(crate) fn room(&self, need: Resources, idempotent: bool) -> u32 {
        if !self.up || !self.in_service || !self.free.fits(need) {
            return 0;
        }
        if self.health.quarantined_until_ms.is_some() {
            return u32::from(self.probing && idempotent && self.free == self.capacity);
        }
        u32::from(self.free.count_of(need))
    }
}
