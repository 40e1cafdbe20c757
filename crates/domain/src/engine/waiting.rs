use compact_str::CompactString;

use super::keys::JobKey;
use super::place::{Barrier, is_below_worker_limit, tasks_that_fit};
use super::queue::PlacementUnit;
use super::step_state::StepState;
use super::{Engine, Run, Worker, WorkerKey};
use crate::{Resources, Step, WorkerTally};

/// Step that waits with nothing running.
#[derive(Debug, Clone, Copy)]
struct WaitingStep {
    job: JobKey,
    occurrence: u32,
    step: u32,
    idle_since_ms: u64,
}

/// Steps whose turn has come and that have nothing running.
impl Engine {
    /// Interval between checks of what keeps waiting steps from workers with room.
    const WAIT_CHECK_MS: u64 = 1_000;

    /// Time with nothing running after which a step is checked; callers miss a job after three seconds.
    const WAIT_CHECK_AFTER_MS: u64 = 1_000;

    /// Steps that one check compares with all workers, those that wait longest first; bounds its processor time.
    const MAX_CHECKED_STEPS: usize = 50;

    /// Lines that one check logs.
    const MAX_WAIT_LINES: usize = 8;

    /// Notes since when each step has had nothing running although its turn has come.
    pub(super) fn note_idle_steps(&mut self, now_ms: u64) {
        let runs = &self.runs;
        for job in self.jobs.values_mut().filter(|job| !job.is_final()) {
            let steps = job.occurrences.values().flat_map(|occurrence| &occurrence.steps);
            let mut active = steps.flat_map(|state| state.active.iter().flatten());
            let has_run = active.any(|key| runs.get(*key).is_some_and(Run::is_at_work));
            for occurrence in job.occurrences.values_mut() {
                for (step, shape) in job.spec.steps.iter().enumerate() {
                    let has_turn = has_turn(shape, &occurrence.steps);
                    let Some(state) = occurrence.steps.get_mut(step) else {
                        continue;
                    };
                    // Callers count each task that lasts by itself, and all others by their job.
                    let is_waiting = state.idle_count() > 0 || !has_run;
                    let is_idle = has_turn && !state.is_done() && is_waiting && (shape.is_long_running || !has_run);
                    state.idle_since_ms = is_idle.then(|| state.idle_since_ms.unwrap_or(now_ms));
                }
            }
        }
    }

    /// Logs and counts the steps that have had nothing running for some time although there is room for them.
    pub(super) fn report_waiting(&mut self, now_ms: u64) {
        if now_ms < self.next_wait_check_ms {
            return;
        }
        self.next_wait_check_ms = now_ms + Self::WAIT_CHECK_MS;
        let mut waiting = self.waiting_steps(now_ms);
        waiting.sort_by_key(|waiting| waiting.idle_since_ms);
        self.stats.waiting_steps = waiting.len() as u64;
        self.stats.withheld_steps = 0;
        self.stats.longest_withheld_ms = 0;
        for waiting in waiting.into_iter().take(Self::MAX_CHECKED_STEPS) {
            let tally = self.tally_workers(waiting.job, waiting.occurrence, waiting.step, now_ms);
            let spec = std::rc::Rc::clone(&self.jobs[waiting.job].spec);
            let shape = &spec.steps[waiting.step as usize];
            let needed = if shape.is_gang { u64::from(shape.count) } else { 1 };
            if tally.room + tally.room_behind < needed {
                continue;
            }
            let idle_ms = now_ms.saturating_sub(waiting.idle_since_ms);
            self.stats.withheld_steps += 1;
            self.stats.longest_withheld_ms = self.stats.longest_withheld_ms.max(idle_ms);
            if self.stats.withheld_steps > Self::MAX_WAIT_LINES as u64 {
                continue;
            }
            let cause = self.wait_cause(waiting.job, waiting.occurrence, waiting.step, now_ms);
            self.log_lines.push(format!(
                "tasks_wait job={} occurrence={} step={} idle_ms={idle_ms} priority={} cause={} needed={needed} \
                 in_use_percent={:.0} {tally}",
                spec.id,
                waiting.occurrence,
                waiting.step,
                spec.priority,
                cause.code(),
                self.share_in_use(&spec.service) * 100.0
            ));
        }
    }

    fn waiting_steps(&self, now_ms: u64) -> Vec<WaitingStep> {
        let mut waiting = Vec::new();
        for (key, job) in self.jobs.iter().filter(|(_, job)| !job.is_final()) {
            for (occurrence, number) in job.occurrences.iter().map(|(number, open)| (open, *number)) {
                for (step, state) in occurrence.steps.iter().enumerate() {
                    if let Some(idle_since_ms) = state.idle_since_ms
                        && now_ms >= idle_since_ms + Self::WAIT_CHECK_AFTER_MS
                    {
                        waiting.push(WaitingStep {
                            job: key,
                            occurrence: number,
                            step: step as u32,
                            idle_since_ms,
                        });
                    }
                }
            }
        }
        waiting
    }

    /// Returns the share of a service's capacity that is in use, by the resource of which the most is.
    pub(super) fn share_in_use(&self, service: &CompactString) -> f64 {
        let workers = self.workers.values();
        let (used, capacity) = workers
            .filter(|worker| worker.is_listed && worker.entry.service == *service)
            .fold(
                (Resources::default(), Resources::default()),
                |(used, capacity), worker| (used.plus(&worker.used), capacity.plus(&worker.entry.capacity)),
            );
        let shares = [
            (used.cpu_milli, capacity.cpu_milli),
            (used.memory_mib, capacity.memory_mib),
            (used.accelerators, capacity.accelerators),
        ];
        shares
            .into_iter()
            .filter(|(_, capacity)| *capacity > 0)
            .map(|(used, capacity)| used as f64 / capacity as f64)
            .fold(0.0, f64::max)
    }

    /// Returns which rule keeps a waiting task of a step from which number of workers.
    pub(super) fn tally_workers(&self, job: JobKey, occurrence: u32, step: u32, now_ms: u64) -> WorkerTally {
        let unit = self.unit_of(job, occurrence, step, now_ms);
        let mut tally = WorkerTally::default();
        for (key, worker) in &self.workers {
            let count = self.rule_against(&unit, key, worker, now_ms, &mut tally);
            *count += 1;
        }
        tally
    }

    /// Returns a unit of the waiting tasks of a step, for questions that do not depend on the queue order.
    pub(super) fn unit_of(&self, job: JobKey, occurrence: u32, step: u32, now_ms: u64) -> PlacementUnit {
        let state = &self.jobs[job].occurrences[&occurrence].steps[step as usize];
        PlacementUnit {
            job,
            occurrence,
            step,
            priority: self.jobs[job].spec.priority,
            lateness: 0,
            latest_start_ms: now_ms,
            late_start_ms: now_ms,
            due_ms: now_ms,
            objective_ms: 0,
            critical_path_ms: 0,
            has_suspects: state.has_suspects(),
            is_lasting: self.jobs[job].spec.steps[step as usize].is_long_running,
            is_overdue: false,
            idle_ms: 0,
            most_tasks: u32::MAX,
        }
    }

    /// Returns the count of the first rule that keeps a unit from a worker.
    fn rule_against<'a>(
        &self,
        unit: &PlacementUnit,
        key: WorkerKey,
        worker: &Worker,
        now_ms: u64,
        tally: &'a mut WorkerTally,
    ) -> &'a mut u32 {
        let spec = &self.jobs[unit.job].spec;
        let shape = &spec.steps[unit.step as usize];
        let has_label = |label: &CompactString| worker.entry.labels.contains(label);
        if worker.entry.service != spec.service || !shape.required_label.as_ref().is_none_or(has_label) {
            return &mut tally.ineligible;
        }
        let free = worker.entry.capacity.left_beside(&worker.used);
        let fit = tasks_that_fit(shape, &free);
        let barrier = self.barrier(worker, now_ms);
        if barrier.is_some_and(|barrier| barrier != Barrier::Excluded) {
            tally.room_behind += fit;
        }
        match barrier {
            Some(Barrier::Unreported) => return &mut tally.unreported,
            Some(Barrier::Leaving) => return &mut tally.leaving,
            Some(Barrier::Silent) => return &mut tally.silent,
            Some(Barrier::Isolated) => return &mut tally.isolated,
            Some(Barrier::Refusing) => return &mut tally.refusing,
            Some(Barrier::Excluded) | None => {}
        }
        if fit == 0 {
            return &mut tally.full;
        }
        if shape.is_filler && self.is_near_latency_target(key) {
            return &mut tally.near_target;
        }
        if !is_below_worker_limit(shape, self.tasks_per_worker(unit).get(&key)) {
            return &mut tally.step_limit;
        }
        tally.room += fit;
        if barrier.is_some() {
            &mut tally.excluded
        } else if self.is_reserved_for_others(unit, key, &worker.entry.rack) {
            &mut tally.reserved
        } else if !self.is_permitted(unit, key, now_ms) {
            &mut tally.unpermitted
        } else if shape.data_rack.as_ref().is_some_and(|rack| *rack != worker.entry.rack)
            && !self.may_be_remote(unit, spec, shape, now_ms)
        {
            &mut tally.remote
        } else {
            &mut tally.open
        }
    }

    /// Returns whether a worker is reserved for another unit, after preemption or with its rack in the last pass.
    fn is_reserved_for_others(&self, unit: &PlacementUnit, key: WorkerKey, rack: &CompactString) -> bool {
        let after_preemption = self
            .reservations
            .iter()
            .find(|reservation| reservation.workers.contains(&key))
            .map(|reservation| reservation.unit);
        let with_rack = self.reserved_racks.get(rack).copied();
        after_preemption.or(with_rack).is_some_and(|owner| owner != unit.key())
    }
}

/// Returns whether the tasks of all earlier steps are done.
pub(super) fn has_turn(shape: &Step, steps: &[StepState]) -> bool {
    let mut earlier = shape.after.iter().map(|earlier| steps.get(*earlier as usize));
    earlier.all(|state| state.is_some_and(StepState::is_done))
}
