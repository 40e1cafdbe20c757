//! Stand-in for the platform's management of machines.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::fleet::SERVICE;
use crate::http::{Reply, Request};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::worker::Worker;

/// Upkeep that began: when, and on which machine.
#[derive(Debug, Clone)]
pub struct Upkeep {
    pub at_ms: u64,
    pub machine: String,
}

pub struct Cloud {
    workers: Vec<Arc<Worker>>,
    record: Arc<Record>,
    /// Upkeeps that began, in order.
    pub upkeeps: Mutex<Vec<Upkeep>>,
    done: Mutex<HashSet<(String, u64)>>,
    down: Arc<Mutex<HashMap<String, u64>>>,
}

impl Cloud {
    const MAINTENANCE: Duration = Duration::from_secs(2);

    pub fn new(workers: Vec<Arc<Worker>>, record: Arc<Record>) -> Self {
        Self {
            workers,
            record,
            upkeeps: Mutex::default(),
            done: Mutex::default(),
            down: Arc::default(),
        }
    }

    pub fn handle(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/api/machines" => self.list(),
            "/api/machine-upkeep" => self.upkeep(request),
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn list(&self) -> Reply {
        let down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        let machines: Vec<_> = self
            .workers
            .iter()
            .map(|worker| {
                let place = &worker.place;
                let state = if down.contains_key(&place.machine) {
                    "upkeep"
                } else {
                    "up"
                };
                format!(
                    "{{\"machine\":{},\"pool\":\"{SERVICE}\",\"state\":\"{state}\",\"zone\":{},\"labels\":[\"a\",{}],\
                     \"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":{}}},\"id\":{}}}",
                    quote(&place.machine),
                    quote(&place.zone),
                    quote(&place.rack),
                    Worker::CPU,
                    Worker::MEMORY_MB,
                    Worker::GPU,
                    quote(&place.id)
                )
            })
            .collect();
        Reply::Answer(
            200,
            format!("{{\"machines\":[{}],\"next_token\":null}}", machines.join(",")),
        )
    }

    /// Takes a machine down at once; its worker starts again after the upkeep.
    fn upkeep(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        let (machine, wave) = (body.text("machine"), body.number("maintenance_wave").unwrap_or(0));
        let Some(worker) = self.workers.iter().find(|worker| worker.place.machine == machine) else {
            return Reply::Answer(400, "{}".into());
        };
        let by = (
            request.header("Galenaspool-Lease-Holder"),
            request.header("Galenaspool-Fencing-Token"),
        );
        let at_ms = self
            .record
            .line(&format!("upkeep of {machine} for wave {wave} by {} {}", by.0, by.1));
        if !self
            .done
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert((machine.to_owned(), wave))
        {
            return Reply::Answer(200, "{}".into());
        }
        let mut down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        if down.contains_key(machine) {
            return Reply::Answer(409, "{\"reason\":\"busy\"}".into());
        }
        down.insert(machine.to_owned(), at_ms);
        let upkeep = Upkeep {
            at_ms,
            machine: machine.to_owned(),
        };
        self.upkeeps.lock().unwrap_or_else(PoisonError::into_inner).push(upkeep);
        worker.crash();
        let (worker, down, machine) = (Arc::clone(worker), Arc::clone(&self.down), machine.to_owned());
        thread::spawn(move || {
            thread::sleep(Self::MAINTENANCE);
            worker.restart(Worker::KIND, |_| ());
            down.lock().unwrap_or_else(PoisonError::into_inner).remove(&machine);
        });
        Reply::Answer(200, "{}".into())
    }
}
