use model::WorkerId;
use smallvec::SmallVec;

use crate::JobKey;
use crate::amount::Amount;
use crate::health::Health;

/// Part of a worker's capacity that the plan assigns to one organisation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    pub organisation: u16,
    pub guaranteed: Amount,
    /// Used by the owner's work that is charged to the share.
    pub charged: Amount,
}

/// Whether a worker answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    /// Not heard of yet; counts for the plan, takes no work.
    Expected,
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
}

impl View {
    pub const ALL: [Self; 3] = [Self::Spare, Self::Open, Self::Free];
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
    pub shares: SmallVec<[Share; 2]>,
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
    pub indexed: [Option<(u16, u16)>; 3],
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
            View::Spare => free - self.unclaimed,
            View::Open => free.min(self.capacity - self.guaranteed - self.hard - self.reserved),
            View::Free => free,
        }
    }

    /// Returns what is left of the organisation's share.
    pub fn entitlement(&self, organisation: u16) -> Amount {
        self.shares
            .iter()
            .find(|share| share.organisation == organisation)
            .map_or_else(Amount::default, |share| share.guaranteed - share.charged)
    }

    pub fn charge(&mut self, organisation: u16, amount: Amount) {
        if let Some(share) = self.shares.iter_mut().find(|share| share.organisation == organisation) {
            share.charged += amount;
            self.unclaimed -= amount;
        }
    }
}
