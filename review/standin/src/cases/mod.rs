//! The cases, one module each.

mod data;
mod gangs;
mod lasting;
mod pending;
mod poison;
mod schedule;
mod silence;
mod upkeep;

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::worker::Execution;
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
            "lasting" => lasting::play(self),
            "gangs" => gangs::play(self),
            "poison" => poison::play(self),
            "silence" => silence::play(self),
            "data" => data::play(self),
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
                (
                    format!("m-{index:02}"),
                    (*kind).to_owned(),
                    (*rack).to_owned(),
                    zone.to_owned(),
                )
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

/// Returns for how long a job that is not done has had no task running.
fn idle_ms(executions: &[Execution], job: &str, now_ms: u64, accepted_ms: u64) -> u64 {
    let mut last_by_task: HashMap<&str, &Execution> = HashMap::new();
    for execution in executions.iter().filter(|execution| execution.task.starts_with(job)) {
        last_by_task.insert(&execution.task, execution);
    }
    let mut idle_since_ms = accepted_ms;
    for execution in last_by_task.values() {
        match execution.ended_ms {
            None => return 0,
            Some(_) if execution.how == "done" => return 0,
            Some(ended_ms) => idle_since_ms = idle_since_ms.max(ended_ms),
        }
    }
    now_ms.saturating_sub(idle_since_ms)
}
