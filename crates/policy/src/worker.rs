use model::WorkerId;
use smallvec::SmallVec;

use crate::JobKey;
use crate::amount::Amount;
use crate::health::Health;
use crate::share::{Charge, Portion};

/// Whether a worker answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    Up,
    Leaving,
    Down,
}

/// Kind of capacity that a placement may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum View {
    /// Free and not needed by any owner.
    Spare = 0,
    /// Free, and outside guarantees once the borrowers are gone: room for work that cannot be preempted.
    Open = 1,
    /// Free, guaranteed or not: room for work that can be preempted.
    Free = 2,
    /// Outside of guarantees and not held by work that cannot be preempted, free or not.
    Bare = 3,
}

impl View {
    pub const ALL: [Self; 4] = [Self::Spare, Self::Open, Self::Free, Self::Bare];
}

/// Worker with its accounts.
#[derive(Debug)]
pub(crate) struct Worker {
    pub id: WorkerId,
    pub dc: usize,
    pub rack: u32,
    pub capacity: Amount,
    /// Capacity minus everything held or claimed; overdrawn while claimants wait for preempted work to leave.
    pub free: Amount,
    /// Held by jobs that were told to stop.
    pub stopping: Amount,
    /// Held by grants.
    pub granted: Amount,
    /// Held by grants and by work that can be neither charged to a share nor preempted.
    pub hard: Amount,
    pub guaranteed: Amount,
    /// Guaranteed and not charged.
    pub unclaimed: Amount,
    /// Set aside for a waiting wide job.
    pub reserved: Amount,
    /// Parts of deferred work that can be preempted and stands outside of its owner's share.
    pub borrowers: u16,
    /// When the last such part was placed.
    pub borrowed_ms: u64,
    pub portions: SmallVec<[Portion; 2]>,
    /// One entry a part.
    pub jobs: SmallVec<[JobKey; 8]>,
    pub presence: Presence,
    pub quarantined: bool,
    pub in_service: bool,
    /// Refused starts are followed by a pause until this instant.
    pub paused_until_ms: u64,
    pub refusals: u8,
    pub health: Health,
    /// Slots and accelerators of each view as entered in the index; `None` while the worker takes no work.
    pub indexed: [Option<(u16, u16)>; 4],
}

impl Worker {
    pub fn is_usable(&self) -> bool {
        self.presence == Presence::Up && self.in_service && !self.quarantined && self.paused_until_ms == 0
    }

    pub fn is_counted(&self) -> bool {
        self.presence == Presence::Up && self.in_service
    }

    pub fn available(&self, view: View) -> Amount {
        let free = self.free - self.reserved;
        match view {
            // A new plan may leave a worker with more charged than guaranteed; that is no free capacity.
            View::Spare => free.min(free - self.unclaimed),
            View::Open => free.min(self.capacity - self.guaranteed - self.hard - self.reserved),
            View::Free => free,
            View::Bare => self.capacity - self.guaranteed - self.hard - self.reserved,
        }
    }

    /// Returns what is left of a share here.
    pub fn entitlement(&self, share: u16) -> Amount {
        let portion = self.portions.iter().find(|portion| portion.share == share);
        portion.map_or_else(Amount::default, |portion| portion.guaranteed - portion.charged)
    }

    pub fn charge(&mut self, charge: Charge) {
        if let Some(portion) = self.portions.iter_mut().find(|portion| portion.share == charge.share) {
            portion.charged += charge.amount;
            self.unclaimed -= charge.amount;
        }
    }
}
