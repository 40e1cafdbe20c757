use std::cmp::Reverse;
use std::task::Waker;

use slotmap::{SlotMap, new_key_type};

use crate::{Cause, PeerLimits};

new_key_type! {
    /// Key of an open connection of another instance.
    pub struct PeerKey;
}

/// State of one connection.
#[derive(Debug)]
struct Slot {
    /// Order of acceptance.
    number: u64,
    /// Requests that are open.
    requests: u64,
    /// Replies that wait for their reader.
    unread_replies: u64,
    /// Bytes of requests and of unread replies.
    held_bytes: u64,
    /// When a request last began or ended, or a part of a reply was read.
    active_ms: u64,
    closing: Option<Cause>,
    waker: Option<Waker>,
}

/// Open connections of other instances and what they hold. It has no clock and no I/O.
///
/// A connection is closed as a whole: an instance repeats calls on a new connection and does not assume that a call
/// without a reply has not run.
#[derive(Debug)]
pub struct PeerTable {
    limits: PeerLimits,
    slots: SlotMap<PeerKey, Slot>,
    held_bytes: u64,
    accepted: u64,
    closed: [u64; Cause::ALL.len()],
}

impl PeerTable {
    /// Creates a table without connections.
    pub fn new(limits: PeerLimits) -> Self {
        Self {
            limits,
            slots: SlotMap::with_key(),
            held_bytes: 0,
            accepted: 0,
            closed: [0; Cause::ALL.len()],
        }
    }

    /// Returns the limits in force.
    pub const fn limits(&self) -> &PeerLimits {
        &self.limits
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.slots.len()
    }

    /// Returns the bytes held for requests and unread replies.
    pub const fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns how many connections were closed for a cause.
    pub const fn closed(&self, cause: Cause) -> u64 {
        self.closed[cause as usize]
    }

    /// Returns how many connections were closed for any cause.
    pub fn closed_in_all(&self) -> u64 {
        self.closed.iter().sum()
    }

    /// Adds a connection. At the limit, the one that was inactive for longest is closed for it, those without a request
    /// first.
    pub fn accept(&mut self, now_ms: u64) -> PeerKey {
        // A connection that is closing still has its descriptor until its task has ended.
        let closing = self.slots.values().filter(|slot| slot.closing.is_some()).count();
        if self.slots.len() - closing >= self.limits.max_connections {
            let open = self.slots.iter().filter(|(_, slot)| slot.closing.is_none());
            let victim = open.min_by_key(|(_, slot)| (slot.requests > 0, slot.active_ms, slot.number));
            if let Some((victim, _)) = victim {
                self.close(victim, Cause::Evicted);
            }
        }
        self.accepted += 1;
        self.held_bytes += PeerLimits::CONNECTION_BYTES;
        let key = self.slots.insert(Slot {
            number: self.accepted,
            requests: 0,
            unread_replies: 0,
            held_bytes: 0,
            active_ms: now_ms,
            closing: None,
            waker: None,
        });
        self.enforce_budget();
        key
    }

    /// Returns whether a new connection has to wait until one that is closing has gone.
    pub fn is_full(&self) -> bool {
        self.slots.len() > self.limits.max_connections
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: PeerKey) {
        if let Some(slot) = self.slots.remove(key) {
            self.held_bytes -= slot.charged_bytes();
        }
    }

    /// Notes that a request began.
    pub fn begin_request(&mut self, key: PeerKey, now_ms: u64) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.requests += 1;
            slot.active_ms = now_ms;
            self.held_bytes += PeerLimits::REQUEST_BYTES;
            self.enforce_budget();
        }
    }

    /// Returns whether more is held than the budget, as connections that are closing have not gone yet.
    pub const fn is_over_budget(&self) -> bool {
        self.held_bytes > self.limits.budget_bytes
    }

    /// Notes that a request ended.
    pub fn end_request(&mut self, key: PeerKey, now_ms: u64) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.requests -= 1;
            slot.active_ms = now_ms;
            self.held_bytes -= PeerLimits::REQUEST_BYTES;
        }
    }

    /// Charges bytes of a request that arrived, or of a reply that waits for its reader.
    pub fn hold(&mut self, key: PeerKey, bytes: u64) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.held_bytes += bytes;
            self.held_bytes += bytes;
            self.enforce_budget();
        }
    }

    /// Returns charged bytes.
    pub fn release(&mut self, key: PeerKey, bytes: u64) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.held_bytes -= bytes;
            self.held_bytes -= bytes;
        }
    }

    /// Notes that a reply waits for its reader.
    pub fn begin_reply(&mut self, key: PeerKey, now_ms: u64) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.unread_replies += 1;
            slot.active_ms = now_ms;
        }
    }

    /// Notes that part of a reply was read.
    pub fn read_reply(&mut self, key: PeerKey, now_ms: u64) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.active_ms = now_ms;
        }
    }

    /// Notes that a reply was read or dropped.
    pub fn end_reply(&mut self, key: PeerKey) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.unread_replies -= 1;
        }
    }

    /// Returns why a connection has to be closed, if it has to be.
    pub fn closing(&self, key: PeerKey) -> Option<Cause> {
        self.slots.get(key).and_then(|slot| slot.closing)
    }

    /// Returns until when a connection may stay inactive, and the cause for which it is closed then.
    pub fn deadline(&self, key: PeerKey) -> Option<(u64, Cause)> {
        let slot = self.slots.get(key)?;
        if slot.unread_replies > 0 {
            Some((slot.active_ms + self.limits.write_timeout_ms, Cause::WriteTimeout))
        } else if slot.requests == 0 {
            Some((slot.active_ms + self.limits.idle_timeout_ms, Cause::IdleTimeout))
        } else {
            None
        }
    }

    /// Marks a connection for closing and wakes its task. Returns whether it was open.
    pub fn close(&mut self, key: PeerKey, cause: Cause) -> bool {
        let Some(slot) = self.slots.get_mut(key).filter(|slot| slot.closing.is_none()) else {
            return false;
        };
        slot.closing = Some(cause);
        self.closed[cause as usize] += 1;
        if let Some(waker) = slot.waker.take() {
            waker.wake();
        }
        true
    }

    /// Sets the waker of the task that serves a connection.
    pub(crate) fn set_waker(&mut self, key: PeerKey, waker: &Waker) {
        if let Some(slot) = self.slots.get_mut(key)
            && !slot.waker.as_ref().is_some_and(|set| set.will_wake(waker))
        {
            slot.waker = Some(waker.clone());
        }
    }

    /// Closes connections until the rest fits into the budget: those that hold most bytes first, the latest of similar
    /// size. The calls of an ordinary instance are small or soon over.
    fn enforce_budget(&mut self) {
        if self.held_bytes <= self.limits.budget_bytes {
            return;
        }
        let closing = self.slots.values().filter(|slot| slot.closing.is_some());
        let mut leaving_bytes: u64 = closing.map(Slot::charged_bytes).sum();
        while self.held_bytes - leaving_bytes > self.limits.budget_bytes {
            let open = self.slots.iter().filter(|(_, slot)| slot.closing.is_none());
            let Some((victim, slot)) = open.max_by_key(|(_, slot)| slot.budget_rank()) else {
                return;
            };
            leaving_bytes += slot.charged_bytes();
            self.close(victim, Cause::Budget);
        }
    }
}

impl Slot {
    const fn charged_bytes(&self) -> u64 {
        PeerLimits::CONNECTION_BYTES + self.requests * PeerLimits::REQUEST_BYTES + self.held_bytes
    }

    /// Returns the rank in which connections are closed for the budget, the largest first: size class of the held bytes,
    /// longest inactivity of those without a request, number of requests, latest acceptance.
    fn budget_rank(&self) -> (u32, Reverse<u64>, u64, u64) {
        let size_class = self.held_bytes.checked_ilog2().unwrap_or(0);
        let active_ms = if self.requests == 0 { self.active_ms } else { u64::MAX };
        (size_class, Reverse(active_ms), self.requests, self.number)
    }
}
