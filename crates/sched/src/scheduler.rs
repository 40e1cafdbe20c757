use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use model::{Config, DataCentreId, Epoch, InstanceId, JobId, JobRow, WorkerId};
use policy::{Decision, JobKey, Policy, Stats};
use slotmap::{SecondaryMap, SlotMap};
use trace::{Event, EventKind};

use crate::grants::Grants;
use crate::job::{Job, Key, Phase};
use crate::stranded::StrandedSearch;
use crate::worker_state::WorkerState;
use crate::writes::Writes;
use crate::{Action, Input, Settings};

/// Role of the scheduler, which decides whether it sends commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Another instance holds the lease, or none.
    Standby,
    /// Elected; reading inventories and rows.
    Recovering,
    /// Starts work.
    Active,
    /// Finishes transient phases and open writes, and starts nothing.
    Stopping,
    /// Only renews leases until it is deposed.
    HandedOver,
}

/// Purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// End of the wait for workers in recovery.
    Recovery,
    /// Next poll of the table.
    Scan,
    /// Next command to a worker.
    Worker(usize),
    /// Deadline of a job's phase.
    Job(Key),
    /// Next retry of failed writes.
    Writes,
    /// Next retry of supplying grants.
    Grants,
    /// Time limit of a planned stop.
    HandOver,
}

/// Scheduler of one data centre.
///
/// It is on standby until it is elected and again after it is deposed; on standby it sends no commands.
#[derive(Debug, Clone)]
pub struct Scheduler<P> {
    pub(crate) settings: Settings,
    pub(crate) policy: P,
    pub(crate) instance: InstanceId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) mode: Mode,
    pub(crate) epoch: Epoch,
    pub(crate) now_ms: u64,
    pub(crate) now_unix_ms: u64,
    pub(crate) workers: Vec<WorkerState>,
    pub(crate) worker_index: HashMap<WorkerId, usize>,
    pub(crate) jobs: SlotMap<Key, Job>,
    /// Memory of the large payloads of all jobs.
    pub(crate) payload_bytes: u64,
    pub(crate) by_id: HashMap<JobId, Key>,
    pub(crate) by_policy: SecondaryMap<JobKey, Key>,
    pub(crate) queued: BTreeSet<Key>,
    pub(crate) parked: BTreeSet<Key>,
    pub(crate) stranded: StrandedSearch,
    /// Jobs in a transient phase.
    pub(crate) transient: BTreeSet<Key>,
    pub(crate) timers: BTreeSet<(u64, Timer)>,
    pub(crate) writes: Writes,
    pub(crate) grants: Grants,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) is_in_service: bool,
    pub(crate) is_store_up: bool,
    /// Rows that arrived during recovery, with their versions.
    pub(crate) early_rows: BTreeMap<JobId, (JobRow, u64)>,
    pub(crate) early_cancels: BTreeSet<JobId>,
    /// Checkpoint of each part by job and attempt, as the inventories of a recovery list them.
    pub(crate) found_checkpoints: BTreeMap<(JobId, u32), BTreeMap<u16, String>>,
    pub(crate) is_scanned: bool,
    pub(crate) recovery_until_ms: u64,
    pub(crate) lease_sequence: u64,
    pub(crate) op: u64,
    decisions: Vec<Decision>,
}

impl<P: Policy> Scheduler<P> {
    /// Creates a scheduler that is on standby until it is elected.
    pub fn new(
        settings: Settings,
        policy: P,
        instance: InstanceId,
        data_centre: DataCentreId,
        workers: Vec<WorkerId>,
    ) -> Self {
        let workers: Vec<_> = workers
            .into_iter()
            .map(|id| WorkerState::new(id.clone(), policy.worker_key(&id)))
            .collect();
        let worker_index = workers.iter().enumerate().map(|(ix, w)| (w.id.clone(), ix)).collect();
        Self {
            settings,
            policy,
            instance,
            data_centre,
            mode: Mode::Standby,
            epoch: Epoch(0),
            now_ms: 0,
            now_unix_ms: 0,
            workers,
            worker_index,
            jobs: SlotMap::with_key(),
            payload_bytes: 0,
            by_id: HashMap::new(),
            by_policy: SecondaryMap::new(),
            queued: BTreeSet::new(),
            parked: BTreeSet::new(),
            stranded: StrandedSearch::default(),
            transient: BTreeSet::new(),
            timers: BTreeSet::new(),
            writes: Writes::default(),
            grants: Grants::default(),
            config: None,
            is_in_service: true,
            is_store_up: true,
            early_rows: BTreeMap::new(),
            early_cancels: BTreeSet::new(),
            found_checkpoints: BTreeMap::new(),
            is_scanned: false,
            recovery_until_ms: 0,
            lease_sequence: 0,
            op: 0,
            decisions: Vec::new(),
        }
    }

    /// Returns the epoch under which the scheduler sends commands; `None` on standby.
    ///
    /// A worker that reports a higher epoch also puts it on standby until the next election, even without
    /// [`Input::Deposed`].
    pub fn epoch(&self) -> Option<Epoch> {
        (self.mode != Mode::Standby).then_some(self.epoch)
    }

    /// Returns whether the job is in memory: queued, running, or not yet final in the table.
    pub fn knows(&self, job: &JobId) -> bool {
        self.by_id.contains_key(job) || self.early_rows.contains_key(job)
    }

    /// Returns the number of jobs in memory.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the current statistics of the policy.
    pub fn stats(&self) -> Stats {
        self.policy.stats()
    }

    /// Processes an input and appends the resulting actions to `actions`.
    ///
    /// `now_ms` is a monotonic clock; `now_unix_ms` is used only in records and for their age.
    pub fn handle(&mut self, now_ms: u64, now_unix_ms: u64, input: Input, actions: &mut Vec<Action>) {
        self.now_ms = self.now_ms.max(now_ms);
        self.now_unix_ms = now_unix_ms;
        match input {
            Input::Elected { epoch } => self.elected(epoch, actions),
            Input::Deposed => self.step_down("lease_lost", actions),
            Input::StoreReachable(is_up) => self.store_reachable(is_up, actions),
            Input::Configured { config } => self.configured(config, actions),
            Input::Instances { wanted_slots } => self.instances(wanted_slots, actions),
            Input::Stopping if self.mode == Mode::Standby => actions.push(Action::HandedOver),
            _ if self.mode == Mode::Standby => {}
            Input::JobRows { rows } => self.job_rows(rows, actions),
            Input::Submitted { row, version } => self.submitted(*row, version, actions),
            Input::CancelRequested { job } => self.cancel_requested(job, actions),
            Input::Worker { worker, reply } => self.worker_reply(&worker, reply, actions),
            Input::WorkerDraining { worker } => self.worker_draining(&worker, actions),
            Input::Written { write, outcome } => self.written(write, outcome, actions),
            Input::GrantReleased { worker, lease } => self.grant_released(&worker, lease, actions),
            Input::Stopping => self.stopping(actions),
            Input::Tick => self.tick(actions),
        }
        if self.mode == Mode::Active {
            self.decide(actions);
        }
        if self.mode != Mode::Standby {
            self.issue_queued_writes(actions);
        }
        if self.mode == Mode::Stopping {
            self.check_handed_over(actions);
        }
    }

    /// Appends an event with the data centre and the epoch filled in.
    pub(crate) fn event(&self, event: Event, actions: &mut Vec<Action>) {
        let event = event.data_centre(self.data_centre.clone()).epoch(self.epoch);
        actions.push(Action::Event(Box::new(event)));
    }

    /// Arms a timer.
    pub(crate) fn arm(&mut self, at_ms: u64, timer: Timer) {
        self.timers.insert((at_ms, timer));
    }

    /// Returns the number of the next command.
    pub(crate) fn next_op(&mut self) -> u64 {
        self.op += 1;
        self.op
    }

    /// Moves a job to a phase and updates the sets of jobs by phase.
    pub(crate) fn set_phase(&mut self, key: Key, phase: Phase) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        match job.phase {
            Phase::Queued => self.queued.remove(&key),
            Phase::Parked => self.parked.remove(&key),
            old if old.is_transient() => self.transient.remove(&key),
            _ => false,
        };
        job.phase = phase;
        match phase {
            Phase::Queued => self.queued.insert(key),
            Phase::Parked => self.parked.insert(key),
            new if new.is_transient() => self.transient.insert(key),
            _ => false,
        };
    }

    /// Goes on standby and drops all state, which the successor rebuilds.
    pub(crate) fn step_down(&mut self, cause: &'static str, actions: &mut Vec<Action>) {
        if self.mode == Mode::Standby {
            return;
        }
        self.event(Event::new(EventKind::SchedulerDeposed).cause(cause), actions);
        self.mode = Mode::Standby;
        let keys: Vec<Key> = self.jobs.keys().collect();
        for key in keys {
            self.remove_job(key);
        }
        self.release_all_grants();
        self.timers.clear();
        self.writes = Writes::default();
        self.early_rows.clear();
        self.early_cancels.clear();
        for worker in &mut self.workers {
            *worker = WorkerState::new(worker.id.clone(), worker.policy_key);
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        while let Some((at_ms, timer)) = self.timers.first().copied() {
            if at_ms > self.now_ms {
                break;
            }
            self.timers.pop_first();
            match timer {
                Timer::Recovery => self.check_recovered(actions),
                Timer::Scan => self.scan(actions),
                Timer::Worker(ix) => self.worker_due(ix, actions),
                Timer::Job(key) => self.job_due(key, actions),
                Timer::Writes => self.requeue_writes(),
                Timer::Grants => self.supply_grants(actions),
                Timer::HandOver => self.hand_over(actions),
            }
            if self.mode == Mode::Standby {
                return;
            }
        }
        if self.mode == Mode::Active {
            self.unpark(actions);
            self.move_waiting_jobs(actions);
            self.move_stranded(actions);
        }
    }

    fn decide(&mut self, actions: &mut Vec<Action>) {
        if self.writes.buffered.len() >= self.settings.max_buffered_jobs {
            return;
        }
        let mut decisions = std::mem::take(&mut self.decisions);
        self.policy.decide(self.now_ms, &mut decisions);
        for decision in decisions.drain(..) {
            self.apply_decision(decision, actions);
        }
        self.decisions = decisions;
    }

    fn scan(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::ScanJobs);
        self.arm(self.now_ms + self.settings.scan_interval_ms, Timer::Scan);
    }

    fn stopping(&mut self, actions: &mut Vec<Action>) {
        if self.mode == Mode::Recovering {
            self.hand_over(actions);
        }
        if self.mode != Mode::Active {
            return;
        }
        self.mode = Mode::Stopping;
        self.withdraw(actions);
        self.arm(self.now_ms + self.settings.hand_over_wait_ms, Timer::HandOver);
    }

    fn check_handed_over(&mut self, actions: &mut Vec<Action>) {
        if self.transient.is_empty() && self.writes.is_idle() {
            self.hand_over(actions);
        }
    }

    /// Reports that the scheduling lease can be released.
    ///
    /// Leases of running work are renewed until the driver reports [`Input::Deposed`], as the release may fail during a
    /// store outage.
    fn hand_over(&mut self, actions: &mut Vec<Action>) {
        if self.mode != Mode::HandedOver {
            self.mode = Mode::HandedOver;
            actions.push(Action::HandedOver);
        }
    }
}
