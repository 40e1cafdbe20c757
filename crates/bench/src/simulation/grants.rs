use std::collections::VecDeque;

use model::Resources;
use policy::Policy;

use super::{JobOutcome, Simulation, SimulationEvent, State};
use crate::Metrics;

/// Worker slot that an instance reserves for urgent requests.
#[derive(Debug, Clone, Copy)]
struct Slot {
    worker: u32,
    busy: bool,
    /// Whether it is released once the current task has ended.
    closing: bool,
    released: bool,
}

/// Grants of all instances together.
#[derive(Debug, Clone, Default)]
pub(crate) struct Grants {
    slots: Vec<Slot>,
    idle: Vec<usize>,
    live: u32,
    busy: u32,
    /// Peak of busy slots in each of the last ticks, the current one last.
    peaks: VecDeque<u32>,
}

impl Grants {
    /// Slots wanted beyond the recent peak.
    const SPARE_SLOTS: u32 = 4;
    /// Window of the peak in ticks of 100 ms: one minute.
    const PEAK_WINDOW_TICKS: usize = 600;
    /// Resources of one grant.
    pub(crate) const NEED: Resources = Resources::new(1, 1, 2_000, 4 * 1024);

    pub(crate) fn close(&mut self, slot: usize) {
        self.slots[slot].closing = true;
    }

    /// Returns how many slots the instances want: the peak of the last minute plus spare slots, at most `limit`.
    fn wanted(&self, limit: u32) -> u32 {
        let peak = self.peaks.iter().copied().max().unwrap_or(0);
        (peak + Self::SPARE_SLOTS).min(limit)
    }

    /// Returns the number of workers with at least one grant.
    pub(crate) fn workers(&self) -> u32 {
        let live = self.slots.iter().filter(|slot| !slot.released);
        let mut workers: Vec<u32> = live.map(|slot| slot.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        workers.len() as u32
    }

    pub(crate) const fn live(&self) -> u32 {
        self.live
    }
}

impl<P: Policy> Simulation<'_, P> {
    /// Maximum number of new grants per tick.
    const MAX_GRANTS_PER_TICK: u32 = 8;
    /// Time from the choice of a grant to the start of the task on the worker.
    const RUN_LATENCY_MS: u64 = 2;
    const MAX_URGENT_ATTEMPTS: u32 = 10;

    /// Requests grants until the instances have as many as they want, or releases the surplus, longest idle first.
    pub(super) fn adjust_grants(&mut self) {
        let wanted = self.grants.wanted(self.scenario.workload.grant_slots);
        let surplus = self.grants.live.saturating_sub(wanted) as usize;
        for slot in self
            .grants
            .idle
            .drain(..surplus.min(self.grants.idle.len()))
            .collect::<Vec<_>>()
        {
            self.release_grant(slot);
        }
        for _ in 0..Self::MAX_GRANTS_PER_TICK {
            if self.grants.live >= wanted {
                break;
            }
            let Some(slot) = self.new_grant() else { break };
            self.grants.idle.push(slot);
        }
        if self.grants.peaks.len() == Grants::PEAK_WINDOW_TICKS {
            self.grants.peaks.pop_front();
        }
        self.grants.peaks.push_back(self.grants.busy);
    }

    fn new_grant(&mut self) -> Option<usize> {
        let now_ms = self.now_ms;
        let key = self.timed_call(|policy| policy.grant(now_ms, Grants::NEED));
        let Some(key) = key else {
            self.metrics.grant_misses += 1;
            return None;
        };
        let worker = self.worker_index[key];
        let out = !self.fleet.in_service[self.fleet.data_centre_of[worker as usize]];
        self.metrics.violations.started_while_out += u64::from(out);
        if !self.fleet.allocate(&[worker], Grants::NEED) {
            self.metrics.violations.overcommitted += 1;
            self.timed_call(|policy| policy.release_grant(key, Grants::NEED));
            return None;
        }
        self.grants.live += 1;
        self.grants.slots.push(Slot {
            worker,
            busy: false,
            closing: false,
            released: false,
        });
        Some(self.grants.slots.len() - 1)
    }

    fn release_grant(&mut self, slot: usize) {
        let entry = &mut self.grants.slots[slot];
        if entry.released {
            return;
        }
        entry.released = true;
        self.grants.live -= 1;
        let worker = entry.worker;
        self.fleet.release(&[worker], Grants::NEED);
        let key = self.worker_keys[worker as usize];
        self.timed_call(|policy| policy.release_grant(key, Grants::NEED));
    }

    /// Returns the slot of an ended request to the idle slots, or releases it if it is closing or surplus.
    pub(super) fn return_grant(&mut self, slot: usize) {
        self.grants.busy -= 1;
        let entry = &mut self.grants.slots[slot];
        entry.busy = false;
        if entry.closing || self.grants.live > self.scenario.workload.grant_slots {
            self.release_grant(slot);
        } else {
            self.grants.idle.push(slot);
        }
    }

    fn release_matching_grants(&mut self, matches: impl Fn(&Self, u32) -> bool) {
        for slot in 0..self.grants.slots.len() {
            let entry = self.grants.slots[slot];
            if entry.released || !matches(self, entry.worker) {
                continue;
            }
            if entry.busy {
                self.grants.close(slot);
            } else {
                self.grants.idle.retain(|idle| *idle != slot);
                self.release_grant(slot);
            }
        }
    }

    pub(super) fn release_grants_on(&mut self, worker: u32) {
        self.release_matching_grants(|_, of| of == worker);
    }

    pub(super) fn release_grants_out_of_service(&mut self) {
        self.release_matching_grants(|driver, worker| {
            !driver.fleet.in_service[driver.fleet.data_centre_of[worker as usize]]
        });
    }

    /// Runs an urgent request on a grant, or submits it to the queue if none is available.
    pub(super) fn run_urgent(&mut self, job: u32) {
        let slot = match self.grants.idle.pop() {
            Some(slot) => Some(slot),
            None => self.new_grant(),
        };
        let Some(slot) = slot else {
            self.submit(job);
            return;
        };
        self.grants.slots[slot].busy = true;
        self.grants.busy += 1;
        if let Some(peak) = self.grants.peaks.back_mut() {
            *peak = (*peak).max(self.grants.busy);
        }
        let worker = self.grants.slots[slot].worker;
        let arrival = self.arrival(job);
        let record = &mut self.records[job as usize];
        record.state = State::Running;
        record.attempt += 1;
        record.grant = Some(slot);
        record.workers = [worker].into_iter().collect();
        record.running_parts = 1;
        record.started_ms = self.now_ms + Self::RUN_LATENCY_MS;
        record.will_fail = self.fleet.broken[worker as usize];
        let (attempt, started_ms, will_fail) = (record.attempt, record.started_ms, record.will_fail);
        if record.first_start_ms.is_none() {
            record.first_start_ms = Some(started_ms);
            Metrics::record(&mut self.metrics.urgent_start_ms, started_ms - arrival.at_ms);
        }
        self.update_useful(job, true);
        if !self.fleet.alive[worker as usize] {
            self.grants.close(slot);
            self.push(
                self.now_ms + Self::DETECTION_MS,
                SimulationEvent::Fail(job, attempt, worker),
            );
        } else if will_fail {
            let after_ms = 50 + self.random_for(job, 6) % 250;
            self.push(started_ms + after_ms, SimulationEvent::Fail(job, attempt, worker));
        } else {
            self.push(started_ms + arrival.run_ms, SimulationEvent::Finish(job, attempt));
        }
    }

    /// Retries an idempotent urgent request after a delay, up to the attempt limit; else ends it with `otherwise`.
    pub(super) fn retry_urgent(&mut self, job: u32, after_ms: u64, otherwise: JobOutcome) {
        let record = &mut self.records[job as usize];
        if self.scenario.arrivals[job as usize].spec.idempotent && record.attempt < 2 * Self::MAX_URGENT_ATTEMPTS {
            record.state = State::Retrying;
            self.push(self.now_ms + after_ms, SimulationEvent::Retry(job));
        } else {
            self.end_job(job, otherwise);
        }
    }
}
