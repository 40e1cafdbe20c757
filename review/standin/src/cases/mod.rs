//! The cases, one module each.

mod pending;
mod schedule;
mod upkeep;

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::world::World;

/// Programs, folders and the kind of a play.
pub struct Case<'a> {
    pub program: &'a Path,
    pub folder: &'a Path,
    pub has_trouble: bool,
    pub record: Arc<Record>,
}

impl Case<'_> {
    pub fn play(&self, name: &str) -> Verdict {
        let verdict = match name {
            "upkeep" => upkeep::play(self),
            "schedule" => schedule::play(self),
            "pending" => pending::play(self),
            _ => None,
        };
        verdict.unwrap_or(Verdict::NotRun)
    }

    /// Starts a deployment; each machine is given by its kind and its rack.
    fn world(&self, machines: &[(&str, &str)], seed: u64) -> Option<World> {
        let zones = ["scot-forth", "scot-clyde", "scot-tay"];
        let machines: Vec<_> = machines
            .iter()
            .enumerate()
            .map(|(index, (kind, rack))| {
                let zone = zones[index % zones.len()];
                (format!("m-{index:02}"), (*kind).to_owned(), (*rack).to_owned(), zone.to_owned())
            })
            .collect();
        World::start(self.program, self.folder, &machines, seed, Arc::clone(&self.record))
    }

    fn now_ms(&self) -> u64 {
        self.record.now_ms()
    }

    fn sleep_ms(&self, time_ms: u64) {
        thread::sleep(Duration::from_millis(time_ms));
    }
}

/// Returns a job id.
fn job_id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + number)
}
