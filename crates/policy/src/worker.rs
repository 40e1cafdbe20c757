use model::WorkerId;
use smallvec::SmallVec;

use crate::JobKey;
use crate::amount::Amount;
use crate::health::Health;
use crate::share::{Charge, Portion};

/// Whether a worker answers and takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerStatus {
    Up,
    Draining,
    Down,
}

/// Capacity of a worker that a placement may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum View {
    /// Free, without the part of the guarantees that is not in use.
    Spare = 0,
    /// Free, and outside guarantees once borrowers are preempted: capacity for work that is not evictable.
    NonEvictable = 1,
    /// Free, guaranteed or not: capacity for evictable work.
    Free = 2,
    /// Outside of guarantees and not held by work that is not evictable, free or not.
    Unguaranteed = 3,
}

impl View {
    pub const ALL: [Self; 4] = [Self::Spare, Self::NonEvictable, Self::Free, Self::Unguaranteed];
}

/// Worker with its capacity and its use.
#[derive(Debug)]
pub(crate) struct Worker {
    pub id: WorkerId,
    pub dc: usize,
    pub rack: u32,
    pub capacity: Amount,
    /// Capacity minus all allocations; overdrawn while preemptors wait for preempted work to stop.
    pub free: Amount,
    /// Held by jobs that were told to stop.
    pub stopping: Amount,
    /// Held by grants.
    pub granted: Amount,
    /// Held by grants and by work that is neither charged to a share nor evictable.
    pub non_evictable: Amount,
    pub guaranteed: Amount,
    /// Guaranteed and not charged.
    pub uncharged: Amount,
    /// Reserved for a waiting wide job.
    pub reserved: Amount,
    /// Number of parts of preemptible deferred work outside of its owner's share.
    pub borrowers: u16,
    /// When the last such part was placed.
    pub borrowed_ms: u64,
    pub portions: SmallVec<[Portion; 2]>,
    /// One entry per part.
    pub jobs: SmallVec<[JobKey; 8]>,
    pub status: WorkerStatus,
    pub quarantined: bool,
    pub in_service: bool,
    /// Gets no new work until this instant, because it refused a start; 0 if not excluded.
    pub excluded_until_ms: u64,
    pub refusals: u8,
    pub health: Health,
    /// Slots and accelerators of each view as entered in its index; `None` while the worker takes no work.
    pub indexed: [Option<(u16, u16)>; 4],
}

impl Worker {
    pub fn is_usable(&self) -> bool {
        self.status == WorkerStatus::Up && self.in_service && !self.quarantined && self.excluded_until_ms == 0
    }

    pub fn is_serving(&self) -> bool {
        self.status == WorkerStatus::Up && self.in_service
    }

    pub fn available(&self, view: View) -> Amount {
        let free = self.free - self.reserved;
        match view {
            // After a new plan more may be charged than guaranteed; the excess does not count as free capacity.
            View::Spare => free.min(free - self.uncharged),
            View::NonEvictable => free.min(self.capacity - self.guaranteed - self.non_evictable - self.reserved),
            View::Free => free,
            View::Unguaranteed => self.capacity - self.guaranteed - self.non_evictable - self.reserved,
        }
    }

    /// Returns the amount of a share on this worker that is not charged.
    pub fn remaining_share(&self, share: u16) -> Amount {
        let portion = self.portions.iter().find(|portion| portion.share == share);
        portion.map_or_else(Amount::default, |portion| portion.guaranteed - portion.charged)
    }

    pub fn charge(&mut self, charge: Charge) {
        if let Some(portion) = self.portions.iter_mut().find(|portion| portion.share == charge.share) {
            portion.charged += charge.amount;
            self.uncharged -= charge.amount;
        }
    }
}
