use std::collections::{BTreeMap, HashMap, VecDeque};

use model::{DataCentreId, Epoch, Inventory, LeaseId, LeaseKind, RackId, Resources, TaskId, TaskReport, WorkerId};
use net::{UsageEntry, UsagePage};

use super::journal::Journal;
use super::lease::{Lease, Tombstone};
use super::task::Task;
use crate::{LogEntry, LogEvent, WorkerFaults};

/// One worker. All instants are milliseconds since the process started; the caller passes the present one.
#[derive(Debug)]
pub(super) struct WorkerState {
    pub id: WorkerId,
    pub data_centre: DataCentreId,
    pub rack: RackId,
    pub capacity: Resources,
    pub faults: WorkerFaults,
    /// Until when the worker is away after it was killed.
    pub down_until_ms: u64,
    pub(super) epoch: Epoch,
    pub(super) leases: BTreeMap<LeaseId, Lease>,
    pub(super) tombstones: HashMap<LeaseId, Tombstone>,
    pub(super) tasks: HashMap<TaskId, Task>,
    sequence: u64,
    usage: VecDeque<(u64, UsageEntry)>,
    base_unix_ms: u64,
    /// Before this instant nothing ends or lapses.
    next_due_ms: u64,
}

impl WorkerState {
    /// How long finished results and ids of leases that are not live any more are kept.
    pub const KEEP_MS: u64 = 600_000;
    /// Most usage entries that wait to be acknowledged.
    const MAX_USAGE: usize = 100_000;

    pub fn new(id: WorkerId, data_centre: DataCentreId, rack: RackId, capacity: Resources, base_unix_ms: u64) -> Self {
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
            // Sequence numbers rise over restarts as well, because each life starts at its time in microseconds.
            sequence: base_unix_ms * 1000,
            usage: VecDeque::new(),
            base_unix_ms,
            next_due_ms: 0,
        }
    }

    /// Forgets everything but the faults and stays away until `down_until_ms`.
    pub fn kill(&mut self, now_ms: u64, down_ms: u64, journal: &mut Journal) {
        self.advance(now_ms, journal);
        let running: Vec<TaskId> = self.running().map(|task| task.report.task.clone()).collect();
        for id in running {
            self.end_task(&id, now_ms, journal, |task, at| task.stop(at, "worker was killed"));
        }
        self.epoch = Epoch(0);
        self.leases.clear();
        self.tombstones.clear();
        self.tasks.clear();
        self.usage.clear();
        self.sequence = self.sequence.max((self.base_unix_ms + now_ms) * 1000);
        self.down_until_ms = now_ms + down_ms;
    }

    /// Ends tasks and leases whose time has come, in order of time. Returns whether a task ended.
    pub fn advance(&mut self, now_ms: u64, journal: &mut Journal) -> bool {
        if now_ms < self.next_due_ms {
            return false;
        }
        // A lease that lapses before the end of its task stops the task at that instant.
        let mut due: Vec<(u64, bool, TaskId)> = Vec::new();
        for task in self.running() {
            let lapse_ms = self.leases.get(&task.report.lease).map_or(0, |lease| lease.expires_ms);
            let (at_ms, is_lapse) = if lapse_ms <= task.ends_ms {
                (lapse_ms, true)
            } else {
                (task.ends_ms, false)
            };
            if at_ms <= now_ms {
                due.push((at_ms, is_lapse, task.report.task.clone()));
            }
        }
        due.sort();
        for (at_ms, is_lapse, id) in &due {
            let (worker, fails_tasks) = (self.id.clone(), self.faults.fail_tasks);
            self.end_task(id, *at_ms, journal, |task, at| {
                if *is_lapse {
                    task.stop(at, "slot lease lapsed");
                } else {
                    task.complete(&worker, at, fails_tasks);
                }
            });
        }
        let lapsed: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.bury(id, now_ms);
        }
        let is_kept = |at_ms: u64| at_ms + Self::KEEP_MS > now_ms;
        self.tombstones.retain(|_, tombstone| is_kept(tombstone.buried_ms));
        self.tasks.retain(|_, task| task.ended_ms.is_none_or(is_kept));
        let lease_due = self.leases.values().map(|lease| lease.expires_ms);
        let task_due = self.running().map(|task| task.ends_ms);
        // Without anything due, kept results are looked at once a second.
        self.next_due_ms = lease_due.chain(task_due).min().unwrap_or(u64::MAX).min(now_ms + 1000);
        !due.is_empty()
    }

    /// Has the next call of `advance` look at everything again.
    pub(super) const fn touch(&mut self) {
        self.next_due_ms = 0;
    }

    /// Ends a running task, notes the change, the usage and the log entry.
    pub(super) fn end_task(
        &mut self,
        id: &TaskId,
        at_ms: u64,
        journal: &mut Journal,
        end: impl FnOnce(&mut Task, u64),
    ) {
        let Some(task) = self.tasks.get_mut(id).filter(|task| task.is_running()) else {
            return;
        };
        end(task, at_ms);
        self.sequence += 1;
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
        self.log(&task, LogEvent::End, at_ms, journal);
    }

    /// Adds a task that starts now.
    pub(super) fn add_task(&mut self, mut task: Task, now_ms: u64, journal: &mut Journal) {
        self.sequence += 1;
        task.changed = self.sequence;
        self.log(&task, LogEvent::Start, now_ms, journal);
        self.tasks.insert(task.report.task.clone(), task);
        self.touch();
    }

    /// Removes a live lease and remembers its id.
    pub(super) fn bury(&mut self, id: LeaseId, now_ms: u64) {
        let kind = self.leases.remove(&id).map(|lease| lease.kind);
        let tombstone = self.tombstones.entry(id).or_insert(Tombstone {
            kind,
            buried_ms: now_ms,
        });
        tombstone.kind = tombstone.kind.or(kind);
    }

    /// Returns the kind of a lease that is or was live.
    pub(super) fn kind_of(&self, id: LeaseId) -> Option<LeaseKind> {
        let live = self.leases.get(&id).map(|lease| lease.kind);
        live.or_else(|| self.tombstones.get(&id).and_then(|tombstone| tombstone.kind))
    }

    pub(super) fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().filter(|task| task.is_running())
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
        Inventory {
            worker: self.id.clone(),
            epoch: self.epoch,
            leaving: self.faults.leaving,
            sequence: self.sequence,
            leases: self.leases.iter().map(|(id, lease)| lease.info(*id, now_ms)).collect(),
            tasks,
        }
    }

    /// Forgets usage up to `after` and returns what follows, once it is older than the lag.
    pub fn usage(&mut self, after: u64, now_ms: u64, lag_ms: u64) -> UsagePage {
        self.usage.retain(|(_, entry)| entry.sequence > after);
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

    fn log(&self, task: &Task, event: LogEvent, at_ms: u64, journal: &mut Journal) {
        journal.append(LogEntry {
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
