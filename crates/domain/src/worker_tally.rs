use std::fmt;

use serde::{Deserialize, Serialize};

/// Numbers of workers by the rule that keeps a waiting task from them; each worker counts under the first that applies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerTally {
    /// They serve another service or lack the label.
    pub ineligible: u32,
    /// They are not listed, not recorded yet, or have not reported in this epoch or incarnation.
    pub unreported: u32,
    /// They drain, await maintenance, or their data centre is out of service.
    pub leaving: u32,
    /// Their last reply is too old.
    pub silent: u32,
    /// They hold a run of a suspect task on probation, or runs of unknown size.
    pub isolated: u32,
    /// They have too little free capacity for one task.
    pub full: u32,
    /// They refused a command a moment ago.
    pub refusing: u32,
    /// They failed or delayed runs and get no new work for some time.
    pub excluded: u32,
    /// They serve near their latency target, so that no background task starts there.
    pub near_target: u32,
    /// They hold as many tasks of the step as may run on one worker.
    pub step_limit: u32,
    /// They are reserved for other work.
    pub reserved: u32,
    /// The queue's policy does not permit them, or the placement service has not answered yet.
    pub unpermitted: u32,
    /// They are away from the rack of the data.
    pub remote: u32,
    /// Nothing keeps the task from them.
    pub open: u32,
    /// Number of tasks for which there is room on the workers that are excluded, reserved, unpermitted, remote or open.
    pub room: u64,
    /// Number of tasks for which there is room on the workers that are unreported, leaving, silent, isolated or refusing.
    pub room_behind: u64,
}

impl fmt::Display for WorkerTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = [
            ("open", self.open),
            ("reserved", self.reserved),
            ("excluded", self.excluded),
            ("refusing", self.refusing),
            ("unpermitted", self.unpermitted),
            ("remote", self.remote),
            ("step_limit", self.step_limit),
            ("near_target", self.near_target),
            ("full", self.full),
            ("isolated", self.isolated),
            ("silent", self.silent),
            ("leaving", self.leaving),
            ("unreported", self.unreported),
            ("ineligible", self.ineligible),
        ];
        write!(f, "room={}", self.room)?;
        if self.room_behind > 0 {
            write!(f, " room_behind={}", self.room_behind)?;
        }
        let mut counts = counts.into_iter().filter(|(_, count)| *count > 0);
        counts.try_for_each(|(rule, count)| write!(f, " {rule}={count}"))
    }
}
