use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Bound;

use model::{DataCentreId, Epoch, Inventory, LeaseId, LeaseKind, RackId, Resources, TaskId, TaskReport, WorkerId};
use net::{UsageEntry, UsagePage};

use super::execution_log::ExecutionLog;
use super::lease::{Lease, Tombstone};
use super::task::Task;
use crate::{LogEntry, LogEvent, WorkerFaults};

/// State of one worker. Times are in milliseconds since the process started; the caller passes the current one.
#[derive(Debug)]
pub(super) struct WorkerState {
    pub id: WorkerId,
    pub data_centre: DataCentreId,
    pub rack: RackId,
    pub capacity: Resources,
    pub faults: WorkerFaults,
    /// End of the downtime after the worker was killed.
    pub down_until_ms: u64,
    pub(super) epoch: Epoch,
    pub(super) leases: BTreeMap<LeaseId, Lease>,
    pub(super) tombstones: HashMap<LeaseId, Tombstone>,
    pub(super) tasks: HashMap<TaskId, Task>,
    running: BTreeSet<TaskId>,
    /// Ended tasks in order of their ends, with the time at which each ended.
    ended_tasks: VecDeque<(u64, TaskId)>,
    /// Tasks by the sequence number of their last change.
    changes: BTreeMap<u64, TaskId>,
    ended_leases: VecDeque<(u64, LeaseId)>,
    sequence: u64,
    keep_ms: u64,
    usage: VecDeque<(u64, UsageEntry)>,
    base_unix_ms: u64,
    /// No task ends, no lease expires and no record is evicted before this time.
    next_due_ms: u64,
}

impl WorkerState {
    /// Maximum number of unacknowledged usage entries.
    const MAX_USAGE: usize = 100_000;

    pub fn new(
        id: WorkerId,
        data_centre: DataCentreId,
        rack: RackId,
        capacity: Resources,
        base_unix_ms: u64,
        keep_ms: u64,
    ) -> Self {
        Self {
            id,
            data_centre,
            rack,
            capacity,
            faults: WorkerFaults::default(),
            down_until_ms: 0,
            epoch: Epoch(0),
            leases: BTreeMap::new(),
            tombstones: HashMap::new(),
            tasks: HashMap::new(),
            running: BTreeSet::new(),
            ended_tasks: VecDeque::new(),
            changes: BTreeMap::new(),
            ended_leases: VecDeque::new(),
            keep_ms,
            // Each incarnation starts at its start time in microseconds, so that sequence numbers rise over restarts.
            sequence: base_unix_ms * 1000,
            usage: VecDeque::new(),
            base_unix_ms,
            next_due_ms: 0,
        }
    }

    /// Clears all state but the faults and the sequence number; the worker stays down for `down_ms`.
    pub fn kill(&mut self, now_ms: u64, down_ms: u64, log: &mut ExecutionLog) {
        self.advance(now_ms, log);
        let running: Vec<TaskId> = self.running.iter().cloned().collect();
        for id in running {
            self.end_task(&id, now_ms, log, |task, at| task.stop(at, "worker was killed"));
        }
        self.epoch = Epoch(0);
        self.leases.clear();
        self.tombstones.clear();
        self.tasks.clear();
        self.ended_tasks.clear();
        self.changes.clear();
        self.ended_leases.clear();
        self.usage.clear();
        self.sequence = self.sequence.max((self.base_unix_ms + now_ms) * 1000);
        self.down_until_ms = now_ms + down_ms;
    }

    /// Ends tasks and leases that are due, tasks in order of time. Returns whether a task ended.
    pub fn advance(&mut self, now_ms: u64, log: &mut ExecutionLog) -> bool {
        if now_ms < self.next_due_ms {
            return false;
        }
        // A lease that expires before its task completes stops the task at that time.
        let mut due: Vec<(u64, bool, TaskId)> = Vec::new();
        for task in self.running() {
            let lease_expiry_ms = self.leases.get(&task.report.lease).map_or(0, |lease| lease.expires_ms);
            let (at_ms, is_expiry) = if lease_expiry_ms <= task.ends_ms {
                (lease_expiry_ms, true)
            } else {
                (task.ends_ms, false)
            };
            if at_ms <= now_ms {
                due.push((at_ms, is_expiry, task.report.task.clone()));
            }
        }
        due.sort();
        for (at_ms, is_expiry, id) in &due {
            let (worker, fails_tasks) = (self.id.clone(), self.faults.fail_tasks);
            self.end_task(id, *at_ms, log, |task, at| {
                if *is_expiry {
                    task.stop(at, "slot lease lapsed");
                } else {
                    task.complete(&worker, at, fails_tasks);
                }
            });
        }
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id, now_ms);
        }
        self.evict(now_ms);
        let lease_due = self.leases.values().map(|lease| lease.expires_ms);
        let task_due = self.running().map(|task| task.ends_ms);
        let ended_task_due = self.ended_tasks.front().map(|(at_ms, _)| at_ms + self.keep_ms);
        let ended_lease_due = self.ended_leases.front().map(|(at_ms, _)| at_ms + self.keep_ms);
        let eviction_due = ended_task_due.into_iter().chain(ended_lease_due);
        self.next_due_ms = lease_due.chain(task_due).chain(eviction_due).min().unwrap_or(u64::MAX);
        !due.is_empty()
    }

    /// Evicts ended tasks and ids of ended leases after their retention time.
    fn evict(&mut self, now_ms: u64) {
        let keep_ms = self.keep_ms;
        while let Some((_, id)) = self.ended_tasks.pop_front_if(|(at_ms, _)| *at_ms + keep_ms <= now_ms) {
            if let Some(task) = self.tasks.remove(&id) {
                self.changes.remove(&task.changed);
            }
        }
        while let Some((_, id)) = self.ended_leases.pop_front_if(|(at_ms, _)| *at_ms + keep_ms <= now_ms) {
            self.tombstones.remove(&id);
        }
    }

    /// Makes the next call of `advance` check all tasks and leases.
    pub(super) const fn reset_next_due(&mut self) {
        self.next_due_ms = 0;
    }

    /// Ends a running task and records the change, the usage and the log entry.
    pub(super) fn end_task(
        &mut self,
        id: &TaskId,
        at_ms: u64,
        log: &mut ExecutionLog,
        end: impl FnOnce(&mut Task, u64),
    ) {
        let Some(task) = self.tasks.get_mut(id).filter(|task| task.is_running()) else {
            return;
        };
        end(task, at_ms);
        self.sequence += 1;
        self.changes.remove(&task.changed);
        self.changes.insert(self.sequence, id.clone());
        self.running.remove(id);
        self.ended_tasks.push_back((at_ms, id.clone()));
        task.changed = self.sequence;
        self.usage.push_back((
            at_ms,
            UsageEntry {
                sequence: self.sequence,
                task: id.clone(),
                lease: task.report.lease,
                state: task.report.state,
                started_unix_ms: self.base_unix_ms + task.started_ms,
                ended_unix_ms: self.base_unix_ms + at_ms,
                accelerator_ms: task.report.accelerator_ms,
            },
        ));
        if self.usage.len() > Self::MAX_USAGE {
            self.usage.pop_front();
        }
        let task = task.clone();
        self.log(&task, LogEvent::End, at_ms, log);
        self.reset_next_due();
    }

    /// Adds a task that starts now.
    pub(super) fn add_task(&mut self, mut task: Task, now_ms: u64, log: &mut ExecutionLog) {
        self.sequence += 1;
        task.changed = self.sequence;
        let id = task.report.task.clone();
        self.changes.insert(self.sequence, id.clone());
        self.running.insert(id.clone());
        self.log(&task, LogEvent::Start, now_ms, log);
        self.tasks.insert(id, task);
        self.reset_next_due();
    }

    /// Removes a lease and leaves a tombstone under its id.
    pub(super) fn end_lease(&mut self, id: LeaseId, now_ms: u64) {
        let kind = self.leases.remove(&id).map(|lease| lease.kind);
        let tombstone = self.tombstones.entry(id).or_insert_with(|| {
            self.ended_leases.push_back((now_ms, id));
            Tombstone { kind }
        });
        tombstone.kind = tombstone.kind.or(kind);
        self.reset_next_due();
    }

    /// Returns the kind of a lease that is live or has a tombstone.
    pub(super) fn lease_kind(&self, id: LeaseId) -> Option<LeaseKind> {
        let live = self.leases.get(&id).map(|lease| lease.kind);
        live.or_else(|| self.tombstones.get(&id).and_then(|tombstone| tombstone.kind))
    }

    pub(super) fn running(&self) -> impl Iterator<Item = &Task> {
        self.running.iter().filter_map(|id| self.tasks.get(id))
    }

    /// Returns the tasks that changed after a sequence number, in order of their changes.
    pub(super) fn changed_after(&self, sequence: u64) -> impl Iterator<Item = &Task> {
        let newer = self.changes.range((Bound::Excluded(sequence), Bound::Unbounded));
        newer.filter_map(|(_, id)| self.tasks.get(id))
    }

    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub fn inventory(&self, now_ms: u64) -> Inventory {
        let mut tasks: Vec<_> = self.tasks.values().map(|task| task.report_at(now_ms)).collect();
        tasks.sort_by(|a, b| a.task.cmp(&b.task));
        let granted = self.tombstones.iter().filter(|(_, tombstone)| tombstone.kind.is_some());
        let mut ended_leases: Vec<_> = granted.map(|(id, _)| *id).collect();
        ended_leases.sort_unstable();
        Inventory {
            worker: self.id.clone(),
            epoch: self.epoch,
            leaving: self.faults.leaving,
            sequence: self.sequence,
            leases: self.leases.iter().map(|(id, lease)| lease.info(*id, now_ms)).collect(),
            tasks,
            ended_leases,
        }
    }

    /// Drops the usage acknowledged by `after` and returns later entries that are older than the lag.
    pub fn usage(&mut self, after: u64, now_ms: u64, lag_ms: u64) -> UsagePage {
        while self.usage.pop_front_if(|(_, entry)| entry.sequence <= after).is_some() {}
        let visible = self.usage.iter().take_while(|(at_ms, _)| at_ms + lag_ms <= now_ms);
        UsagePage {
            worker: self.id.clone(),
            entries: visible
                .take(UsagePage::MAX_ENTRIES)
                .map(|(_, entry)| entry.clone())
                .collect(),
        }
    }

    /// Returns the report of a task, if it is known.
    pub fn report(&self, id: &TaskId, now_ms: u64) -> Option<TaskReport> {
        self.tasks.get(id).map(|task| task.report_at(now_ms))
    }

    fn log(&self, task: &Task, event: LogEvent, at_ms: u64, log: &mut ExecutionLog) {
        log.append(LogEntry {
            sequence: 0,
            unix_ms: self.base_unix_ms + at_ms,
            event,
            data_centre: self.data_centre.clone(),
            worker: self.id.clone(),
            task: task.report.task.clone(),
            lease: task.report.lease,
            epoch: task.epoch,
            state: task.report.state,
            starts: task.starts,
        });
    }
}
