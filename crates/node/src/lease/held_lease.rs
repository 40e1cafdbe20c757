use std::cell::Cell;
use std::rc::Rc;

use actix::Addr;

use super::lease_condition;
use crate::clock::boot_ms;
use crate::driver::SchedulerDriver;
use crate::ports::{Place, Store, Txn, Workers};
use crate::rows::{EPOCH_KEY, HEARTBEAT_KEY, HeartbeatRow, put};

/// Lease that this instance holds.
pub(super) struct HeldLease<S: Store, W: Workers> {
    pub epoch: u64,
    pub epoch_row_version: u64,
    pub confirmed_ms: Rc<Cell<u64>>,
    pub last_heartbeat: u64,
    /// Time by which all former holders have stopped acting.
    pub former_acts_until_ms: u64,
    pub renew_due_ms: u64,
    pub driver: Addr<SchedulerDriver<S, W>>,
}

impl<S: Store, W: Workers> HeldLease<S, W> {
    /// Builds the write of the next heartbeat.
    pub fn next_heartbeat(&mut self, place: &Place, is_released: bool) -> Txn {
        self.last_heartbeat += 1;
        let row = HeartbeatRow {
            epoch: self.epoch,
            beat: self.last_heartbeat,
            is_released,
            is_settled: boot_ms() >= self.former_acts_until_ms,
        };
        Txn {
            conditions: vec![lease_condition(place, EPOCH_KEY, self.epoch_row_version)],
            puts: vec![put(place.clone(), HEARTBEAT_KEY, &row)],
            ..Txn::default()
        }
    }
}
