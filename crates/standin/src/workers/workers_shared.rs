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
use super::execution_log::ExecutionLog;
use super::worker_state::WorkerState;
use crate::request_error::RequestError;
use crate::{LogPage, WorkerFaultRequest};

/// State that the request handlers of all workers in the process share.
#[derive(Debug)]
pub(super) struct Shared {
    pub topology: Topology,
    pub usage_lag_ms: u64,
    started_at: Instant,
    index: HashMap<WorkerId, usize>,
    /// Wakes the requests that wait for the end of a task; one for each worker.
    ended: Vec<Notify>,
    state: Mutex<SharedState>,
}

#[derive(Debug)]
struct SharedState {
    workers: Vec<WorkerState>,
    log: ExecutionLog,
}

impl Shared {
    /// Longest time that a command is held at a frozen worker; far longer than the time-outs of senders.
    const MAX_HOLD: Duration = Duration::from_secs(30);

    pub fn new(options: &WorkersOptions) -> Self {
        let topology = options.topology();
        let started_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut workers = Vec::new();
        for dc in &topology.data_centres {
            for rack in &dc.racks {
                workers.extend(rack.workers.iter().map(|worker| {
                    let (id, dc, rack) = (worker.id.clone(), dc.id.clone(), rack.id.clone());
                    WorkerState::new(
                        id,
                        dc,
                        rack,
                        worker.capacity,
                        started_unix.as_millis() as u64,
                        options.keep_ms,
                    )
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
            state: Mutex::new(SharedState {
                workers,
                log: ExecutionLog::default(),
            }),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn state(&self) -> MutexGuard<'_, SharedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends tasks and leases of all workers that are due.
    pub fn tick(&self) {
        let mut guard = self.state();
        let SharedState { workers, log } = &mut *guard;
        let now_ms = self.now_ms();
        for (worker, ended) in workers.iter_mut().zip(&self.ended) {
            if worker.advance(now_ms, log) {
                ended.notify_waiters();
            }
        }
    }

    /// Applies a command to a worker after the faults that act before it takes effect.
    pub async fn command<T>(
        &self,
        id: &WorkerId,
        apply: impl FnOnce(&mut WorkerState, u64, &mut ExecutionLog) -> Result<T, WorkerError>,
    ) -> Result<T, RequestError> {
        let index = *self.index.get(id).ok_or(WorkerError::UnknownWorker)?;
        self.apply_faults(index).await?;
        let result = {
            let mut guard = self.state();
            let SharedState { workers, log } = &mut *guard;
            let (worker, now_ms) = (&mut workers[index], self.now_ms());
            worker.advance(now_ms, log);
            apply(worker, now_ms, log)
        };
        self.ended[index].notify_waiters();
        // A worker frozen in the meantime does not reply either.
        self.hold_while_frozen(index).await;
        result.map_err(RequestError::from)
    }

    /// Waits for the end of a task; `None` if the worker was killed meanwhile.
    pub async fn wait_for_end(&self, id: &WorkerId, task: &TaskId) -> Option<TaskReport> {
        let index = *self.index.get(id)?;
        loop {
            let ended = self.ended[index].notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            let report = {
                let mut guard = self.state();
                let SharedState { workers, log } = &mut *guard;
                let now_ms = self.now_ms();
                workers[index].advance(now_ms, log);
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

    async fn apply_faults(&self, index: usize) -> Result<(), RequestError> {
        self.hold_while_frozen(index).await;
        let (faults, is_down) = {
            let state = self.state();
            let worker = &state.workers[index];
            (worker.faults, self.now_ms() < worker.down_until_ms)
        };
        if faults.refuse || is_down {
            return Err(RequestError::Unavailable);
        }
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        Ok(())
    }

    async fn hold_while_frozen(&self, index: usize) {
        let until = Instant::now() + Self::MAX_HOLD;
        while self.state().workers[index].faults.freeze && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sets the faults of the selected workers; returns how many were selected.
    pub fn set_faults(&self, request: &WorkerFaultRequest) -> usize {
        let mut guard = self.state();
        let SharedState { workers, log } = &mut *guard;
        let now_ms = self.now_ms();
        let mut selected = 0;
        for (worker, ended) in workers.iter_mut().zip(&self.ended) {
            if !request.selects(&worker.id, &worker.rack, &worker.data_centre) {
                continue;
            }
            selected += 1;
            worker.advance(now_ms, log);
            worker.faults = request.faults;
            if request.kill {
                worker.kill(now_ms, request.down_ms, log);
                ended.notify_waiters();
            }
        }
        selected
    }

    pub fn log(&self, after: u64) -> LogPage {
        self.state().log.page(after)
    }

    /// Returns the entries that the workers register in the platform's list.
    pub fn listing(&self, base_url: &str) -> Listing {
        let state = self.state();
        let mut listing = Listing::default();
        for dc in &self.topology.data_centres {
            for rack in &dc.racks {
                for (position, worker) in rack.workers.iter().enumerate() {
                    let is_leaving = state.workers[self.index[&worker.id]].faults.leaving;
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
