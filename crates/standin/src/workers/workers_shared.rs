use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_rt::time::sleep;
use actix_web::HttpResponse;
use model::{TaskId, TaskReport, Topology, WorkerError, WorkerId};
use serde::Serialize;
use store::{ListedState, ListedWorker, Listing};
use tokio::sync::Notify;

use super::WorkersOptions;
use super::journal::Journal;
use super::worker_state::WorkerState;
use crate::failure::Failure;
use crate::{LogPage, WorkerFaultRequest};

/// All workers of the process.
#[derive(Debug)]
pub(super) struct Shared {
    pub topology: Topology,
    pub usage_lag_ms: u64,
    started_at: Instant,
    index: HashMap<WorkerId, usize>,
    /// Wakes those who wait for the end of a task, one for each worker.
    ended: Vec<Notify>,
    world: Mutex<World>,
}

#[derive(Debug)]
struct World {
    workers: Vec<WorkerState>,
    journal: Journal,
}

impl Shared {
    /// Longest time that a command waits at a frozen worker; its sender gave up long before.
    const LONGEST_HOLD: Duration = Duration::from_secs(30);

    pub fn new(options: &WorkersOptions) -> Self {
        let topology = options.topology();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut workers = Vec::new();
        for dc in &topology.data_centres {
            for rack in &dc.racks {
                workers.extend(rack.workers.iter().map(|worker| {
                    let (id, dc, rack) = (worker.id.clone(), dc.id.clone(), rack.id.clone());
                    WorkerState::new(id, dc, rack, worker.capacity, unix.as_millis() as u64, options.keep_ms)
                }));
            }
        }
        Self {
            topology,
            usage_lag_ms: options.usage_lag_ms,
            started_at: Instant::now(),
            index: workers
                .iter()
                .enumerate()
                .map(|(index, worker)| (worker.id.clone(), index))
                .collect(),
            ended: workers.iter().map(|_| Notify::new()).collect(),
            world: Mutex::new(World {
                workers,
                journal: Journal::default(),
            }),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends tasks and leases of all workers whose time has come.
    pub fn tick(&self) {
        let mut guard = self.world();
        let World { workers, journal } = &mut *guard;
        let now_ms = self.now_ms();
        for (worker, ended) in workers.iter_mut().zip(&self.ended) {
            if worker.advance(now_ms, journal) {
                ended.notify_waiters();
            }
        }
    }

    /// Applies a command to a worker, with the faults that come before it takes effect.
    pub async fn command<T>(
        &self,
        id: &WorkerId,
        apply: impl FnOnce(&mut WorkerState, u64, &mut Journal) -> Result<T, WorkerError>,
    ) -> Result<T, Failure> {
        let index = *self.index.get(id).ok_or(WorkerError::UnknownWorker)?;
        self.admit(index).await?;
        let result = {
            let mut guard = self.world();
            let World { workers, journal } = &mut *guard;
            let (worker, now_ms) = (&mut workers[index], self.now_ms());
            worker.advance(now_ms, journal);
            apply(worker, now_ms, journal)
        };
        self.ended[index].notify_waiters();
        // A worker that froze meanwhile does not reply either.
        self.hold_while_frozen(index).await;
        result.map_err(Failure::from)
    }

    /// Waits for the end of a task; `None` if the worker died meanwhile.
    pub async fn wait_for_end(&self, id: &WorkerId, task: &TaskId) -> Option<TaskReport> {
        let index = *self.index.get(id)?;
        loop {
            let ended = self.ended[index].notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            let report = {
                let mut guard = self.world();
                let World { workers, journal } = &mut *guard;
                let now_ms = self.now_ms();
                workers[index].advance(now_ms, journal);
                workers[index].report(task, now_ms)
            };
            let report = report?;
            if report.state.is_ended() {
                self.hold_while_frozen(index).await;
                return Some(report);
            }
            ended.await;
        }
    }

    async fn admit(&self, index: usize) -> Result<(), Failure> {
        self.hold_while_frozen(index).await;
        let (faults, is_down) = {
            let world = self.world();
            let worker = &world.workers[index];
            (worker.faults, self.now_ms() < worker.down_until_ms)
        };
        if faults.refuse || is_down {
            return Err(Failure::Unavailable);
        }
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        Ok(())
    }

    async fn hold_while_frozen(&self, index: usize) {
        let until = Instant::now() + Self::LONGEST_HOLD;
        while self.world().workers[index].faults.freeze && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sets the faults of the selected workers; returns how many were selected.
    pub fn set_faults(&self, request: &WorkerFaultRequest) -> usize {
        let mut guard = self.world();
        let World { workers, journal } = &mut *guard;
        let now_ms = self.now_ms();
        let mut selected = 0;
        for (worker, ended) in workers.iter_mut().zip(&self.ended) {
            if !request.selects(&worker.id, &worker.rack, &worker.data_centre) {
                continue;
            }
            selected += 1;
            worker.advance(now_ms, journal);
            worker.faults = request.faults;
            if request.kill {
                worker.kill(now_ms, request.down_ms, journal);
                ended.notify_waiters();
            }
        }
        selected
    }

    pub fn log(&self, after: u64) -> LogPage {
        self.world().journal.page(after)
    }

    /// Returns the entries for the platform's list.
    pub fn listing(&self, base_url: &str) -> Listing {
        let world = self.world();
        let mut listing = Listing::default();
        for dc in &self.topology.data_centres {
            for rack in &dc.racks {
                for (position, worker) in rack.workers.iter().enumerate() {
                    let is_leaving = world.workers[self.index[&worker.id]].faults.leaving;
                    listing.workers.push(ListedWorker {
                        id: worker.id.clone(),
                        address: base_url.to_owned(),
                        data_centre: dc.id.clone(),
                        region: dc.region.to_string(),
                        rack: rack.id.clone(),
                        position: position as u16,
                        capacity: worker.capacity,
                        connections: worker.connections,
                        state: if is_leaving {
                            ListedState::Leaving
                        } else {
                            ListedState::Live
                        },
                    });
                }
            }
        }
        listing
    }
}

/// Returns the reply to a command that succeeded.
pub(super) fn ok<T: Serialize>(reply: T) -> HttpResponse {
    HttpResponse::Ok().json(reply)
}
