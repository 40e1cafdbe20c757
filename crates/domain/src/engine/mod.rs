//! The scheduler's state machine.

mod adopt;
mod aged_work;
mod availability;
mod candidate;
mod commits;
mod crash_evidence;
mod crashes;
mod explain;
mod fair_order;
mod finished;
mod forecast;
mod former_runs;
mod freshness;
mod gangs;
mod handled_job;
mod health;
mod held_units;
mod hints;
mod job_entry;
mod job_state;
mod keys;
mod listed_starts;
mod load;
mod open_wave;
mod organisation_usage;
mod overload_order;
mod place;
mod preempt;
mod preempt_own;
mod queue;
mod records;
mod renew;
mod renewal_queue;
mod row_size;
mod run;
mod run_progress;
mod run_task;
mod slow;
mod speed_rows;
mod start_bound;
mod starts;
mod stats;
mod step_state;
mod stops;
mod throttle;
mod unresponsive;
mod victim_cost;
mod victims;
mod waiting;
mod waiting_starts;
mod waves;
mod waves_of_steps;
mod worker;
mod worker_loss;
mod worker_speeds;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use compact_str::CompactString;
use indexmap::IndexSet;
use slotmap::SlotMap;

use job_entry::{JobEntry, Occurrence};
pub use keys::WorkerKey;
use keys::{JobKey, RunKey};
use run::{Run, RunState};
use run_task::RunTask;
pub use starts::{Rejection, StartOutcome};
pub use stats::EngineStats;
use step_state::StepState;
use worker::Worker;

use crate::{Action, Config, Job, Limits, Step, TaskName, TaskRun};

/// Scheduler of one domain: the jobs and workers of a region.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the facts are independent of each other")]
pub struct Engine {
    epoch: u64,
    limits: Limits,
    config: Config,
    out_of_service: HashSet<CompactString>,
    workers: SlotMap<WorkerKey, Worker>,
    worker_ids: HashMap<CompactString, WorkerKey>,
    jobs: SlotMap<JobKey, JobEntry>,
    handled: handled_job::Handled,
    job_ids: HashMap<CompactString, JobKey>,
    /// Jobs that became final before the takeover or soon after it; workers may still list runs of them.
    ended_jobs: HashMap<CompactString, Rc<Job>>,
    runs: SlotMap<RunKey, Run>,
    run_keys: HashMap<TaskRun, RunKey>,
    /// Runs whose stop was not confirmed yet.
    unconfirmed_stops: IndexSet<RunKey>,
    renewals: renewal_queue::RenewalQueue,
    /// Workers with run ends that are processed but not durable.
    unacked: IndexSet<WorkerKey>,
    /// A worker rejected this epoch because it saw a newer one.
    is_epoch_rejected: bool,
    actions: Vec<Action>,
    dirty: IndexSet<JobKey>,
    commit: commits::CommitState,
    reservations: Vec<place::PreemptionReservation>,
    /// Racks that the last placement pass reserved for gangs.
    reserved_racks: HashMap<CompactString, queue::PlacementUnitKey>,
    hints: hints::HintState,
    waves: waves::WaveState,
    lost_processes: crashes::LostProcesses,
    start_bound: start_bound::StartBound,
    last_runs: unresponsive::LastRunRows,
    /// Starts whose runs are not listed yet.
    listed_starts: Vec<listed_starts::ListedStart>,
    /// Starts that wait until fewer commands are in flight to their workers.
    waiting_starts: waiting_starts::WaitingStarts,
    finished: finished::FinishedJobs,
    is_loaded: bool,
    took_over_ms: u64,
    /// Age of the list of workers: one may have shrunk since.
    worker_list_freshness: freshness::Freshness,
    /// Age of what is known of jobs: one may have been cancelled since.
    jobs_freshness: freshness::Freshness,
    /// Time by which all former schedulers have stopped acting.
    former_acts_until_ms: u64,
    /// Leases that former schedulers gave have certainly expired.
    have_former_leases_expired: bool,
    /// Time until which certainly no other scheduler has acquired the scheduling lease.
    lease_certain_until_ms: u64,
    next_schedule_ms: u64,
    is_schedule_due: bool,
    next_slow_check_ms: u64,
    next_wait_check_ms: u64,
    next_scan_ms: u64,
    /// Index of the unit at which the next pass continues in a long queue.
    next_unit: usize,
    forecasts: HashMap<(CompactString, u32), forecast::Forecast>,
    usages: organisation_usage::OrganisationUsages,
    service_quarters: waves_of_steps::ServiceQuarters,
    speeds: worker_speeds::WorkerSpeeds,
    overload: overload_order::OverloadState,
    stats: EngineStats,
    log_lines: Vec<String>,
}

impl Engine {
    /// Shortest interval between placement passes, so that a burst of events triggers only one.
    const MIN_SCHEDULE_INTERVAL_MS: u64 = 10;

    /// Longest interval between placement passes, for decisions that depend on time alone.
    const MAX_SCHEDULE_INTERVAL_MS: u64 = 100;

    /// Interval between checks of all workers and jobs for what time alone changes. The engine ticks after every input,
    /// so checking all of them in each tick would cost the square of the size of the deployment.
    const SCAN_INTERVAL_MS: u64 = 20;

    /// Time after a takeover in which workers may still report runs of jobs that ended before it: several leases.
    const ENDED_JOBS_RETENTION_MS: u64 = 60_000;

    /// Creates the scheduler of an epoch that starts at `now_ms`.
    pub fn new(epoch: u64, limits: Limits, now_ms: u64) -> Self {
        Self {
            epoch,
            limits,
            config: Config::default(),
            out_of_service: HashSet::new(),
            workers: SlotMap::with_key(),
            worker_ids: HashMap::new(),
            jobs: SlotMap::with_key(),
            handled: handled_job::Handled::default(),
            job_ids: HashMap::new(),
            ended_jobs: HashMap::new(),
            runs: SlotMap::with_key(),
            run_keys: HashMap::new(),
            unconfirmed_stops: IndexSet::new(),
            renewals: renewal_queue::RenewalQueue::default(),
            unacked: IndexSet::new(),
            is_epoch_rejected: false,
            actions: Vec::new(),
            dirty: IndexSet::new(),
            commit: commits::CommitState::default(),
            reservations: Vec::new(),
            reserved_racks: HashMap::new(),
            hints: hints::HintState::default(),
            waves: waves::WaveState::default(),
            lost_processes: crashes::LostProcesses::default(),
            start_bound: start_bound::StartBound::new(),
            last_runs: unresponsive::LastRunRows::default(),
            listed_starts: Vec::new(),
            waiting_starts: waiting_starts::WaitingStarts::default(),
            finished: finished::FinishedJobs::default(),
            is_loaded: false,
            took_over_ms: now_ms,
            worker_list_freshness: freshness::Freshness::new("worker_list", limits.worker_list_age_max_ms),
            jobs_freshness: freshness::Freshness::new("jobs", limits.jobs_age_max_ms),
            former_acts_until_ms: now_ms + limits.store_grace_ms,
            have_former_leases_expired: false,
            lease_certain_until_ms: 0,
            next_schedule_ms: now_ms,
            is_schedule_due: true,
            next_slow_check_ms: now_ms,
            next_wait_check_ms: now_ms,
            next_scan_ms: now_ms,
            next_unit: 0,
            forecasts: HashMap::new(),
            usages: organisation_usage::OrganisationUsages::default(),
            service_quarters: waves_of_steps::ServiceQuarters::default(),
            speeds: worker_speeds::WorkerSpeeds::default(),
            overload: overload_order::OverloadState::default(),
            stats: EngineStats::default(),
            log_lines: Vec::new(),
        }
    }

    /// Returns the epoch, which is the fencing token of all commands.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the address of a worker and the worker id for commands sent to it.
    pub fn worker_target(&self, key: WorkerKey) -> Option<(CompactString, CompactString)> {
        let worker = self.workers.get(key)?;
        Some((worker.entry.address.clone(), worker.entry.id.clone()))
    }

    /// Returns when the process of a worker started, as it last reported, in ms since 1970.
    pub fn process_started_unix_ms(&self, key: WorkerKey) -> Option<u64> {
        self.workers.get(key)?.process_started_unix_ms
    }

    /// Returns and clears the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns and clears the log lines about decisions.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Returns counters since the start of the epoch, and gauges.
    pub fn stats(&self) -> EngineStats {
        let mut stats = self.stats;
        stats.unsent_starts = self.unsent_starts() as u64;
        stats.running = (self.runs.len() as u64).saturating_sub(stats.unsent_starts);
        stats.workers = self.workers.len() as u64;
        stats.open_jobs = self.jobs.values().filter(|job| !job.is_final()).count() as u64;
        stats
    }

    /// Sets the time by which all former schedulers have stopped acting, if it is known to be earlier than the store grace
    /// period after the takeover. Call it before any worker is added.
    pub fn set_former_acts_until(&mut self, until_ms: u64) {
        self.former_acts_until_ms = self.former_acts_until_ms.min(until_ms.max(self.took_over_ms));
    }

    /// Sets the time until which certainly no other scheduler has acquired the scheduling lease, 0 at first.
    ///
    /// A successor may renew the leases of workers that this scheduler cannot reach, and take note of their run ends. After
    /// that time, this scheduler therefore takes no run for ended that its worker did not report as such.
    pub const fn set_lease_certain_until(&mut self, until_ms: u64) {
        self.lease_certain_until_ms = until_ms;
    }

    /// Returns whether no successor can exist yet. Only then does the silence of a worker show the end of its runs once their
    /// leases have expired.
    const fn is_lease_certain(&self, now_ms: u64) -> bool {
        now_ms < self.lease_certain_until_ms
    }

    /// Applies a configuration unless it is older than the current one.
    pub fn set_config(&mut self, config: Config) {
        if config.version >= self.config.version {
            self.usages.set_config(&config);
            self.config = config;
            self.update_urgent_need();
            self.is_schedule_due = true;
        }
    }

    /// Returns the data centres that are out of service.
    pub const fn out_of_service(&self) -> &HashSet<CompactString> {
        &self.out_of_service
    }

    /// Sets the data centres that are out of service.
    pub fn set_out_of_service(&mut self, data_centres: HashSet<CompactString>) {
        if self.out_of_service != data_centres {
            self.log_lines
                .push(format!("out_of_service data_centres={data_centres:?}"));
            self.out_of_service = data_centres;
            self.is_schedule_due = true;
        }
    }

    /// Runs the time-driven work: renews leases, expires unresponsive workers, places tasks and commits changes.
    pub fn tick(&mut self, now_ms: u64, now_unix_ms: u64, may_start: bool) {
        if may_start {
            self.send_listed_starts(now_ms);
        }
        self.renew_due(now_ms, may_start);
        if now_ms >= self.next_scan_ms {
            self.next_scan_ms = now_ms + Self::SCAN_INTERVAL_MS;
            self.scan(now_ms, now_unix_ms);
        }
        let is_due = self.is_schedule_due || now_ms >= self.next_schedule_ms + Self::MAX_SCHEDULE_INTERVAL_MS;
        if may_start && self.is_loaded && is_due && now_ms >= self.next_schedule_ms {
            self.is_schedule_due = false;
            self.next_schedule_ms = now_ms + Self::MIN_SCHEDULE_INTERVAL_MS;
            self.note_idle_steps(now_ms);
            self.check_health(now_ms);
            self.fit_speeds(now_ms);
            self.move_off_draining_workers(now_ms);
            if self.has_current_feeds(now_ms) {
                let unsent = self.listed_starts.len();
                self.move_slow_work(now_ms);
                self.place_all(now_ms);
                if self.listed_starts.len() > unsent {
                    self.send_listed_starts(now_ms);
                }
            }
            self.throttle_background_tasks(now_ms);
            self.advance_waves(now_ms);
            self.report_waiting(now_ms);
        }
        self.write_start_bound(now_ms);
        self.commit_due(now_ms);
    }

    /// Checks all workers and jobs for what time alone changes.
    fn scan(&mut self, now_ms: u64, now_unix_ms: u64) {
        if self.is_lease_certain(now_ms) {
            self.expire_unresponsive(now_ms);
            self.expire_former_leases(now_ms);
            self.expire_former_runs(now_ms);
            self.check_adopted(now_ms);
        } else {
            self.defer_losses(now_ms);
        }
        self.open_occurrences(now_ms, now_unix_ms);
        self.queue_worker_rows();
        self.recall_silent(now_ms);
        self.check_last_runs(now_ms);
        self.take_service_quarters();
        self.forget_lost_processes(now_ms);
        if now_ms > self.took_over_ms + Self::ENDED_JOBS_RETENTION_MS {
            self.ended_jobs.clear();
        }
    }

    /// Returns the job of a run; `None` if no open job needs the run.
    fn job_of(&self, run: &Run) -> Option<&JobEntry> {
        self.jobs.get(run.task?.job)
    }

    /// Returns the state of a run's step; `None` if no open job needs the run.
    fn step_of(&self, run: &Run) -> Option<&StepState> {
        let task = run.task?;
        let occurrence = self.jobs.get(task.job)?.occurrences.get(&task.occurrence)?;
        occurrence.steps.get(task.step as usize)
    }

    /// Returns the declaration of a run's step; `None` if no open job needs the run.
    fn shape_of(&self, run: &Run) -> Option<&Step> {
        let task = run.task?;
        self.jobs.get(task.job)?.spec.steps.get(task.step as usize)
    }

    /// Returns whether a run is a member of a gang.
    fn is_gang_member(&self, run: &Run) -> bool {
        self.shape_of(run).is_some_and(|shape| shape.is_gang)
    }

    fn step_of_task_mut(&mut self, task: RunTask) -> Option<&mut StepState> {
        self.step_mut(task.job, task.occurrence, task.step)
    }

    fn step_mut(&mut self, job: JobKey, occurrence: u32, step: u32) -> Option<&mut StepState> {
        self.jobs
            .get_mut(job)?
            .occurrences
            .get_mut(&occurrence)?
            .steps
            .get_mut(step as usize)
    }

    fn task_name(job: &Job, task: RunTask) -> CompactString {
        let name = TaskName {
            job: job.id.clone(),
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
        };
        compact_str::format_compact!("{name}")
    }
}
