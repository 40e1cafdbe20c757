use std::cmp::Reverse;
use std::task::Waker;

use slotmap::{SlotMap, new_key_type};

use crate::{Cause, Limits, Stage};

new_key_type! {
    /// Key of an open connection.
    pub struct ConnectionKey;
}

/// State of one connection.
#[derive(Debug)]
struct Slot {
    stage: Stage,
    /// Start of the stage.
    since_ms: u64,
    /// Order of acceptance.
    number: u64,
    /// Bytes of the current request.
    request_bytes: u64,
    /// Bytes read in the current stage.
    stage_bytes: u64,
    closing: Option<Cause>,
    waker: Option<Waker>,
}

/// Open connections of a process and what they hold. It has no clock and no I/O.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: Limits,
    slots: SlotMap<ConnectionKey, Slot>,
    held_bytes: u64,
    accepted: u64,
    closed: [u64; Cause::ALL.len()],
}

impl ConnectionTable {
    /// Creates a table without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            slots: SlotMap::with_key(),
            held_bytes: 0,
            accepted: 0,
            closed: [0; Cause::ALL.len()],
        }
    }

    /// Returns the limits in force.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Replaces the limits; they apply from the next event of a connection on.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.slots.len()
    }

    /// Returns the bytes held for requests.
    pub const fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns how many connections were closed for a cause.
    pub const fn closed(&self, cause: Cause) -> u64 {
        self.closed[cause as usize]
    }

    /// Adds a connection. At the limit, another one without a complete request is closed for it.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Full`] if every other connection is answering a request or has just answered one.
    pub fn accept(&mut self, now_ms: u64) -> Result<ConnectionKey, Cause> {
        // A connection that is closing still has its descriptor until its task has ended.
        let closing = self.slots.values().filter(|slot| slot.closing.is_some()).count();
        if self.slots.len() - closing >= self.limits.max_connections {
            let victim = self.oldest_evictable().or_else(|| self.oldest_unread(now_ms));
            if victim.is_none_or(|victim| !self.close(victim, Cause::Evicted)) {
                self.closed[Cause::Full as usize] += 1;
                return Err(Cause::Full);
            }
        }
        self.accepted += 1;
        self.held_bytes += Limits::CONNECTION_BYTES;
        let key = self.slots.insert(Slot {
            stage: Stage::Idle,
            since_ms: now_ms,
            number: self.accepted,
            request_bytes: 0,
            stage_bytes: 0,
            closing: None,
            waker: None,
        });
        self.enforce_budget();
        Ok(key)
    }

    /// Returns whether a new connection has to wait until one that is closing has gone.
    pub fn is_full(&self) -> bool {
        self.slots.len() > self.limits.max_connections
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        if let Some(slot) = self.slots.remove(key) {
            self.held_bytes -= slot.request_bytes + Limits::CONNECTION_BYTES;
        }
    }

    /// Charges bytes that arrived.
    pub fn read(&mut self, key: ConnectionKey, bytes: u64, now_ms: u64) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        if slot.stage == Stage::Idle {
            slot.enter(Stage::Head, now_ms);
        }
        slot.stage_bytes += bytes;
        let (stage, stage_bytes) = (slot.stage, slot.stage_bytes);
        if stage == Stage::Linger {
            if stage_bytes > self.limits.linger_bytes {
                self.close(key, Cause::Linger);
            }
            return;
        }
        slot.request_bytes += bytes;
        self.held_bytes += bytes;
        if stage == Stage::Head && stage_bytes > self.limits.header_bytes + Limits::TURN_BYTES {
            // The library has parsed at least a whole head since the first turn.
            self.close(key, Cause::HeadSize);
        }
        self.enforce_budget();
    }

    /// Notes that the head of a request is complete.
    pub fn begin_request(&mut self, key: ConnectionKey, has_body: bool, now_ms: u64) {
        let stage = if has_body { Stage::Body } else { Stage::Handling };
        self.enter(key, stage, now_ms);
    }

    /// Notes that the body of the request is complete.
    pub fn end_body(&mut self, key: ConnectionKey, now_ms: u64) {
        self.enter(key, Stage::Handling, now_ms);
    }

    /// Charges memory that a complete request needs while it is answered. Large unfinished requests give way to it.
    ///
    /// Returns whether the request fits beside the others that are being answered; if not, nothing is charged.
    pub fn reserve(&mut self, key: ConnectionKey, bytes: u64) -> bool {
        let Some(slot) = self.slots.get_mut(key) else {
            return false;
        };
        slot.request_bytes += bytes;
        self.held_bytes += bytes;
        let fits = self.close_for_budget(|(size_class, ..)| *size_class > 0);
        if !fits && let Some(slot) = self.slots.get_mut(key) {
            slot.request_bytes -= bytes;
            self.held_bytes -= bytes;
        }
        fits
    }

    /// Notes that the request was answered. Its bytes no longer count.
    pub fn end_request(&mut self, key: ConnectionKey, now_ms: u64) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        self.held_bytes -= std::mem::take(&mut slot.request_bytes);
        let stage = if slot.stage == Stage::Body {
            Stage::Linger
        } else {
            Stage::Reply
        };
        slot.enter(stage, now_ms);
    }

    /// Charges a large reply until it was written to the socket. Over the budget, its connection may be closed.
    pub fn hold_reply(&mut self, key: ConnectionKey, bytes: u64) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.request_bytes += bytes;
            self.held_bytes += bytes;
            self.enforce_budget();
        }
    }

    /// Notes that the reply was written to the socket.
    pub fn flushed(&mut self, key: ConnectionKey, now_ms: u64) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        if matches!(slot.stage, Stage::Reply | Stage::Linger) {
            self.held_bytes -= std::mem::take(&mut slot.request_bytes);
        }
        if slot.stage == Stage::Reply {
            slot.enter(Stage::Idle, now_ms);
        }
    }

    /// Returns whether more is held than the budget because connections that are closing have not gone yet.
    pub fn is_clearing(&self) -> bool {
        self.held_bytes > self.limits.budget_bytes && self.slots.values().any(|slot| slot.closing.is_some())
    }

    /// Returns the bytes read since the current stage began.
    pub fn stage_bytes(&self, key: ConnectionKey) -> u64 {
        self.slots.get(key).map_or(0, |slot| slot.stage_bytes)
    }

    /// Returns the stage of a connection.
    pub fn stage(&self, key: ConnectionKey) -> Option<Stage> {
        self.slots.get(key).map(|slot| slot.stage)
    }

    /// Returns why a connection has to be closed, if it has to be.
    pub fn closing(&self, key: ConnectionKey) -> Option<Cause> {
        self.slots.get(key).and_then(|slot| slot.closing)
    }

    /// Returns until when a connection may stay in its stage, and the cause for which it is closed then.
    pub fn deadline(&self, key: ConnectionKey) -> Option<(u64, Cause)> {
        let slot = self.slots.get(key)?;
        let limits = &self.limits;
        let (limit_ms, cause) = match slot.stage {
            Stage::Idle => (limits.idle_timeout_ms, Cause::IdleTimeout),
            Stage::Head => (limits.header_timeout_ms, Cause::HeadTimeout),
            Stage::Body => {
                let at_rate_ms = Limits::BODY_GRACE_MS + slot.stage_bytes * 1_000 / limits.body_min_bytes_per_s.max(1);
                (at_rate_ms.min(limits.body_timeout_ms), Cause::BodyTimeout)
            }
            Stage::Handling => return None,
            Stage::Reply => (limits.write_timeout_ms, Cause::WriteTimeout),
            Stage::Linger => (limits.linger_timeout_ms, Cause::Linger),
        };
        Some((slot.since_ms + limit_ms, cause))
    }

    /// Marks a connection for closing and wakes its task. Returns whether it was open.
    pub fn close(&mut self, key: ConnectionKey, cause: Cause) -> bool {
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

    /// Closes all connections without a request.
    pub fn close_idle(&mut self) {
        let idle = self.slots.iter().filter(|(_, slot)| slot.stage == Stage::Idle);
        let idle: Vec<_> = idle.map(|(key, _)| key).collect();
        for key in idle {
            self.close(key, Cause::Stopping);
        }
    }

    /// Sets the waker of the task that serves a connection.
    pub(crate) fn set_waker(&mut self, key: ConnectionKey, waker: &Waker) {
        if let Some(slot) = self.slots.get_mut(key)
            && !slot.waker.as_ref().is_some_and(|set| set.will_wake(waker))
        {
            slot.waker = Some(waker.clone());
        }
    }

    fn enter(&mut self, key: ConnectionKey, stage: Stage, now_ms: u64) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.enter(stage, now_ms);
        }
    }

    /// Returns the connection whose reply has waited for its reader for longest, if that is no longer ordinary.
    fn oldest_unread(&self, now_ms: u64) -> Option<ConnectionKey> {
        let waiting = self.slots.iter().filter(|(_, slot)| {
            let is_late = slot.since_ms + Limits::UNREAD_REPLY_MS <= now_ms;
            slot.stage == Stage::Reply && slot.closing.is_none() && is_late
        });
        waiting
            .min_by_key(|(_, slot)| (slot.since_ms, slot.number))
            .map(|(key, _)| key)
    }

    fn oldest_evictable(&self) -> Option<ConnectionKey> {
        let open = self.slots.iter().filter(|(_, slot)| slot.closing.is_none());
        open.filter_map(|(key, slot)| Some(((slot.stage.eviction_rank()?, slot.since_ms, slot.number), key)))
            .min()
            .map(|(_, key)| key)
    }

    /// Closes connections until the rest fits into the budget: the largest unfinished requests first, the latest of
    /// similar size; then connections without a request; ordinary small requests last.
    fn enforce_budget(&mut self) {
        self.close_for_budget(|_| true);
    }

    /// Closes connections whose rank is accepted until the rest fits into the budget. Returns whether it fits.
    fn close_for_budget(&mut self, may_close: impl Fn(&BudgetRank) -> bool) -> bool {
        if self.held_bytes <= self.limits.budget_bytes {
            return true;
        }
        let closing = self.slots.values().filter(|slot| slot.closing.is_some());
        let mut leaving_bytes: u64 = closing.map(|slot| slot.request_bytes + Limits::CONNECTION_BYTES).sum();
        while self.held_bytes - leaving_bytes > self.limits.budget_bytes {
            let open = self.slots.iter().filter(|(_, slot)| slot.closing.is_none());
            let ranked = open.filter_map(|(key, slot)| Some((slot.budget_rank().filter(&may_close)?, key)));
            let Some((_, victim)) = ranked.max() else {
                return false;
            };
            leaving_bytes += self.slots[victim].request_bytes + Limits::CONNECTION_BYTES;
            self.close(victim, Cause::Budget);
        }
        true
    }
}

/// Rank in which connections are closed for the budget, the largest first: size class of a large request, connection
/// without a request, longest idle, latest acceptance.
type BudgetRank = (u32, bool, Reverse<u64>, u64);

impl Slot {
    const fn enter(&mut self, stage: Stage, now_ms: u64) {
        self.stage = stage;
        self.since_ms = now_ms;
        self.stage_bytes = 0;
    }

    /// Returns the rank of the connection, or `None` if it may not be closed for the budget.
    fn budget_rank(&self) -> Option<BudgetRank> {
        let is_idle = matches!(self.stage, Stage::Idle | Stage::Linger);
        let is_large_reply = self.stage == Stage::Reply && self.request_bytes > Limits::ORDINARY_BYTES;
        if self.stage.eviction_rank().is_none() && !is_large_reply {
            return None;
        }
        let size_class = if self.request_bytes > Limits::ORDINARY_BYTES {
            self.request_bytes.ilog2()
        } else {
            0
        };
        let idle_since_ms = if is_idle { self.since_ms } else { 0 };
        Some((size_class, is_idle, Reverse(idle_since_ms), self.number))
    }
}
