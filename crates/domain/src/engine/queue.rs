use compact_str::CompactString;
use smallvec::SmallVec;

use super::job_entry::JobEntry;
use super::keys::JobKey;
use super::waiting::has_turn;
use super::{Engine, RunState, RunTask};

/// Waiting tasks of a step, which are placed together.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementUnit {
    pub job: JobKey,
    pub occurrence: u32,
    pub step: u32,
    pub priority: u32,
    /// 0: can meet its objective; 1: will be late; 2: will miss even the late limit.
    pub lateness: u8,
    /// Latest start time that still meets the objective.
    pub latest_start_ms: u64,
    /// Latest start time for which completing it still has value.
    pub late_start_ms: u64,
    pub due_ms: u64,
    /// Time from its acceptance to its objective.
    pub objective_ms: u64,
    /// Expected time from its start to the end of the job.
    pub critical_path_ms: u64,
    /// One of its tasks may have crashed workers.
    pub has_suspects: bool,
    /// It runs until it is cancelled, so that no start meets an objective better than another.
    pub is_lasting: bool,
    /// It has had nothing running for so long that preferences of placement no longer hold it back.
    pub is_overdue: bool,
    /// Time for which it has had nothing running.
    pub idle_ms: u64,
    /// Number of its tasks that may start in this turn; `u32::MAX` if shares do not limit it.
    pub most_tasks: u32,
}

impl PlacementUnit {
    /// Time with nothing running after which a unit is overdue for long; callers miss it soon.
    const LONG_OVERDUE_AFTER_MS: u64 = 2_500;

    /// Returns whether it is overdue for so long that it even returns to an excluded worker on which it failed.
    pub const fn is_long_overdue(&self) -> bool {
        self.is_overdue && self.idle_ms >= Self::LONG_OVERDUE_AFTER_MS
    }

    /// Returns its class in the queue, which no order within a class changes.
    pub const fn class(&self) -> (u32, u32) {
        (self.rank(), self.priority)
    }

    /// Returns the rank of its priority in the queue. Work that lasts and is overdue precedes all but urgent work: it
    /// serves users, and newer work would keep it waiting for as long as there is a queue.
    const fn rank(&self) -> u32 {
        if self.is_lasting && self.is_overdue {
            0
        } else {
            self.priority
        }
    }
}

/// Identifies a step of an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PlacementUnitKey {
    job: JobKey,
    occurrence: u32,
    step: u32,
}

impl PlacementUnitKey {
    pub const fn new(job: JobKey, occurrence: u32, step: u32) -> Self {
        Self { job, occurrence, step }
    }

    pub const fn job(self) -> JobKey {
        self.job
    }

    /// Returns the occurrence and the step.
    pub const fn step(self) -> (u32, u32) {
        (self.occurrence, self.step)
    }
}

impl PlacementUnit {
    /// Returns one of its tasks.
    pub const fn task(&self, index: u32) -> RunTask {
        RunTask {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }

    pub const fn key(&self) -> PlacementUnitKey {
        PlacementUnitKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// Services of which less than half is in use, worked out once for each service in a pass.
#[derive(Debug, Default)]
struct IdleServices(SmallVec<[(CompactString, bool); 4]>);

impl IdleServices {
    fn contains(&mut self, engine: &Engine, service: &CompactString) -> bool {
        if let Some((_, is_idle)) = self.0.iter().find(|(known, _)| known == service) {
            return *is_idle;
        }
        let is_idle = engine.share_in_use(service) < Engine::BUSY_SHARE;
        self.0.push((service.clone(), is_idle));
        is_idle
    }
}

/// Queue order of waiting work.
impl Engine {
    /// Multiple of the objective up to which completing a late job still has value.
    pub(super) const LATE_FACTOR: u64 = 3;

    /// Time with nothing running after which a unit is overdue: half of the time after which callers miss a job.
    const OVERDUE_AFTER_MS: u64 = 1_500;

    /// Share of a service in use from which finite work waits for its turn however long that takes.
    const BUSY_SHARE: f64 = 0.5;

    /// Time within which workers normally reply to a start command.
    const START_REPLY_MS: u64 = 100;

    /// Returns whether a start of a job waits for its row or for the reply of its worker.
    fn is_starting(&self, job: &JobEntry, now_ms: u64) -> bool {
        let steps = job.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        let mut runs = steps
            .flat_map(|state| state.active.iter().flatten())
            .map(|key| &self.runs[*key]);
        runs.any(|run| {
            run.state == RunState::Starting && (run.is_unsent || now_ms < run.start_sent_ms + Self::START_REPLY_MS)
        })
    }

    /// Returns the steps that can start now, in queue order.
    pub(super) fn ready_units(&mut self, now_ms: u64) -> Vec<PlacementUnit> {
        let mut units = Vec::new();
        let has_unreported_workers = self.has_unreported_workers();
        let mut idle_services = IdleServices::default();
        for (key, job) in &self.jobs {
            if job.is_final()
                || job.has_unsaved_crash
                || !self.start_bound.allows(job)
                || (has_unreported_workers && self.may_have_started_before(job))
            {
                continue;
            }
            // Most open jobs have no task to place, so their forecasts are not needed.
            let mut forecast = None;
            for (number, occurrence) in &job.occurrences {
                for (step, state) in occurrence.steps.iter().enumerate() {
                    let shape = &job.spec.steps[step];
                    let is_startable = !shape.is_gang || (state.active_count == 0 && !state.is_gang_ending);
                    if state.idle_count() == 0
                        || !is_startable
                        || now_ms < state.not_before_ms
                        || (shape.is_gang && state.held_until_ms.keys().any(|index| state.is_held(*index, now_ms)))
                    {
                        continue;
                    }
                    if !has_turn(shape, &occurrence.steps) {
                        continue;
                    }
                    let (critical_paths, objective_ms) = forecast.get_or_insert_with(|| {
                        let critical_paths = self.critical_paths_ms(&job.spec);
                        let objective_ms = Self::objective_ms(&job.spec, &critical_paths);
                        (critical_paths, objective_ms)
                    });
                    let (critical_path_ms, objective_ms) = (critical_paths[step], *objective_ms);
                    let deadline_ms = occurrence.due_ms + objective_ms;
                    let idle_ms = state
                        .idle_since_ms
                        .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
                    let is_idle_for_long = idle_ms >= Self::OVERDUE_AFTER_MS;
                    let is_lasting = shape.is_long_running;
                    let is_overdue = is_idle_for_long
                        && (is_lasting
                            || (idle_services.contains(self, &job.spec.service) && !self.is_starting(job, now_ms)));
                    let lateness = if is_lasting || now_ms + critical_path_ms <= deadline_ms {
                        0
                    } else if now_ms + critical_path_ms <= occurrence.due_ms + objective_ms * Self::LATE_FACTOR {
                        1
                    } else {
                        2
                    };
                    units.push(PlacementUnit {
                        job: key,
                        occurrence: *number,
                        step: step as u32,
                        priority: job.spec.priority,
                        lateness,
                        latest_start_ms: if is_lasting {
                            state.idle_since_ms.unwrap_or(now_ms)
                        } else {
                            deadline_ms.saturating_sub(critical_path_ms)
                        },
                        late_start_ms: (occurrence.due_ms + objective_ms * Self::LATE_FACTOR)
                            .saturating_sub(critical_path_ms),
                        due_ms: occurrence.due_ms,
                        objective_ms,
                        critical_path_ms,
                        has_suspects: state.has_suspects(),
                        is_lasting,
                        is_overdue,
                        idle_ms,
                        most_tasks: u32::MAX,
                    });
                }
            }
        }
        units.sort_by_key(|unit| {
            (
                unit.class(),
                unit.lateness,
                unit.latest_start_ms,
                unit.due_ms,
                unit.step,
            )
        });
        self.order_under_load(&mut units, now_ms);
        self.order_fairly(&mut units);
        for unit in &units {
            if let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) {
                state.ready_since_ms.get_or_insert(now_ms);
            }
        }
        units
    }
}
