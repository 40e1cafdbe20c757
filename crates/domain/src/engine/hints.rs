use std::collections::HashMap;

use compact_str::{CompactString, format_compact};

use super::Engine;
use super::candidate::Candidate;
use super::keys::WorkerKey;
use super::place::{is_below_worker_limit, tasks_that_fit};
use super::queue::{PlacementUnit, PlacementUnitKey};
use crate::Action;

/// Permission for a worker to run a step.
#[derive(Debug, Clone)]
struct Ticket {
    text: CompactString,
    until_ms: u64,
}

/// Placement hints for a step.
#[derive(Debug, Clone, Default)]
struct StepHints {
    /// When the service was last asked about the step.
    asked_ms: Option<u64>,
    /// Ticket by worker id; `None` for a worker that must not run the step, which does not change.
    workers: HashMap<CompactString, Option<Ticket>>,
}

/// Call that a waiting step needs.
#[derive(Debug, Clone)]
pub(super) struct HintCall {
    unit: PlacementUnitKey,
    workers: Vec<CompactString>,
    /// Time from which the step counts as waiting for its turn.
    waits_from_ms: u64,
}

/// Hints of the placement service.
#[derive(Debug, Clone, Default)]
pub(super) struct HintState {
    steps: HashMap<PlacementUnitKey, StepHints>,
    /// Step and workers of the call in flight.
    queried: Option<(PlacementUnitKey, Vec<CompactString>)>,
    not_before_ms: u64,
}

/// Placement hints for work on queues whose policy restricts the workers.
impl Engine {
    /// Number of workers in a call for a step of which one task may start alone. The service takes time for each.
    const WORKERS_PER_CALL: usize = 12;

    /// Maximum number of workers in one call. The service takes time for each, and others wait meanwhile.
    const MAX_WORKERS_PER_CALL: usize = 30;

    /// Workers that a call for a gang names for each that it lacks, as not all are permitted.
    const WORKERS_ASKED_PER_LACKING: u64 = 2;

    /// Time by which a call for urgent work precedes calls of steps that have waited as long.
    const URGENT_HEAD_START_MS: u64 = 500;

    /// Pause after a call that was refused or not answered.
    const CALL_RETRY_PAUSE_MS: u64 = 200;

    /// Part of a ticket's validity that is reserved for the delivery of a start command.
    const TICKET_MARGIN_MS: u64 = 300;

    /// Returns whether a unit has to wait for placement hints. `next_call` is replaced if it needs a call and has waited
    /// for its turn longer than the unit of that call.
    pub(super) fn awaits_hints(
        &mut self,
        unit: &PlacementUnit,
        candidates: &[Candidate],
        next_call: &mut Option<HintCall>,
        now_ms: u64,
    ) -> bool {
        if self.hint_validity(unit).is_none() {
            return false;
        }
        let spec = std::rc::Rc::clone(&self.jobs[unit.job].spec);
        let shape = &spec.steps[unit.step as usize];
        let per_worker = self.tasks_per_worker(unit);
        let mut fitting: Vec<(&Candidate, u64)> = candidates
            .iter()
            .filter(|candidate| is_below_worker_limit(shape, per_worker.get(&candidate.worker)))
            .filter(|candidate| self.is_eligible(candidate, &spec, shape))
            .map(|candidate| (candidate, tasks_that_fit(shape, &candidate.free)))
            .filter(|(_, tasks)| *tasks > 0)
            .collect();
        let needed = if shape.is_gang { u64::from(shape.count) } else { 1 };
        let on_sound_workers = fitting.iter().filter(|(candidate, _)| !candidate.is_excluded);
        let is_sound_room_enough = on_sound_workers.map(|(_, tasks)| *tasks).sum::<u64>() >= needed;
        if is_sound_room_enough && !unit.is_overdue {
            fitting.retain(|(candidate, _)| !candidate.is_excluded);
        }
        let permitted: u64 = fitting
            .iter()
            .filter(|(candidate, _)| self.is_permitted(unit, candidate.worker, now_ms))
            .map(|(_, tasks)| *tasks)
            .sum();
        if permitted >= needed {
            return false;
        }
        if self.hints.queried.is_some() || now_ms < self.hints.not_before_ms {
            return true;
        }
        let state = &self.jobs[unit.job].occurrences[&unit.occurrence].steps[unit.step as usize];
        let known = self.hints.steps.get(&unit.key());
        let head_start_ms = if unit.priority == 0 {
            0
        } else {
            Self::URGENT_HEAD_START_MS
        };
        let waits_from_ms = known
            .and_then(|hints| hints.asked_ms)
            .or(state.ready_since_ms)
            .unwrap_or(now_ms)
            + head_start_ms;
        if next_call
            .as_ref()
            .is_some_and(|next| next.waits_from_ms <= waits_from_ms)
        {
            return true;
        }
        let is_open = |id: &CompactString| match known.and_then(|hints| hints.workers.get(id)) {
            None => true,
            Some(None) => false,
            Some(Some(ticket)) => now_ms >= ticket.until_ms,
        };
        let tasks_max = fitting.iter().map(|(_, tasks)| *tasks).max().unwrap_or(1);
        let lacking = (needed - permitted).div_ceil(tasks_max);
        let workers_max = if shape.is_gang {
            (lacking * Self::WORKERS_ASKED_PER_LACKING) as usize
        } else {
            0
        };
        let workers: Vec<_> = fitting
            .iter()
            .filter_map(|(candidate, _)| self.workers.get(candidate.worker))
            .map(|worker| worker.entry.id.clone())
            .filter(is_open)
            .take(workers_max.clamp(Self::WORKERS_PER_CALL, Self::MAX_WORKERS_PER_CALL))
            .collect();
        if !workers.is_empty() {
            *next_call = Some(HintCall {
                unit: unit.key(),
                workers,
                waits_from_ms,
            });
        }
        true
    }

    /// Sends a call for hints. The service handles one at a time, so steps take turns: a gang whose tickets expire before
    /// it has enough of them would otherwise keep the service to itself.
    pub(super) fn send_hint_call(&mut self, call: HintCall, now_ms: u64) {
        let Some(job) = self.jobs.get(call.unit.job()) else {
            return;
        };
        let (occurrence, step) = call.unit.step();
        let step = format_compact!("{}.{occurrence}.{step}", job.spec.id);
        self.hints.steps.entry(call.unit).or_default().asked_ms = Some(now_ms);
        self.hints.queried = Some((call.unit, call.workers.clone()));
        self.actions.push(Action::FetchPlacementHints {
            step,
            workers: call.workers,
        });
    }

    /// Handles the reply to a request for hints: the workers that may run the step, with their tickets.
    pub fn placement_hints_replied(
        &mut self,
        permitted_workers: Option<&[(CompactString, CompactString)]>,
        now_ms: u64,
    ) {
        let Some((unit, queried)) = self.hints.queried.take() else {
            return;
        };
        let Some(permitted_workers) = permitted_workers else {
            self.hints.not_before_ms = now_ms + Self::CALL_RETRY_PAUSE_MS;
            return;
        };
        let validity_ms = self.hint_validity_of_step(unit).unwrap_or(0);
        let hints = self.hints.steps.entry(unit).or_default();
        for id in queried {
            let ticket = permitted_workers
                .iter()
                .find(|(worker, _)| *worker == id)
                .map(|(_, text)| Ticket {
                    text: text.clone(),
                    until_ms: now_ms + validity_ms.saturating_sub(Self::TICKET_MARGIN_MS),
                });
            hints.workers.insert(id, ticket);
        }
        self.is_schedule_due = true;
    }

    /// Returns whether the queue of a unit restricts its workers.
    pub(super) fn requires_ticket(&self, unit: &PlacementUnit) -> bool {
        self.hint_validity(unit).is_some()
    }

    /// Returns whether the policy of a unit's queue permits a worker: it is unrestricted, or there is a valid ticket.
    pub(super) fn is_permitted(&self, unit: &PlacementUnit, worker: WorkerKey, now_ms: u64) -> bool {
        self.hint_validity(unit).is_none() || self.ticket_for(unit.key(), worker, now_ms).is_some()
    }

    /// Returns the ticket of a worker for a step.
    pub(super) fn ticket_for(&self, unit: PlacementUnitKey, worker: WorkerKey, now_ms: u64) -> Option<CompactString> {
        let id = &self.workers.get(worker)?.entry.id;
        let ticket = self.hints.steps.get(&unit)?.workers.get(id)?.as_ref()?;
        (now_ms < ticket.until_ms).then(|| ticket.text.clone())
    }

    /// Drops a ticket that a worker rejected.
    pub(super) fn drop_ticket(&mut self, unit: PlacementUnitKey, worker: WorkerKey) {
        let Some(worker) = self.workers.get(worker) else { return };
        if let Some(hints) = self.hints.steps.get_mut(&unit) {
            hints.workers.remove(&worker.entry.id);
        }
    }

    /// Drops the hints for steps whose jobs were dropped or whose queues no longer restrict the workers.
    pub(super) fn drop_unneeded_hints(&mut self) {
        let mut steps = std::mem::take(&mut self.hints.steps);
        steps.retain(|unit, _| self.hint_validity_of_step(*unit).is_some());
        self.hints.steps = steps;
    }

    fn hint_validity(&self, unit: &PlacementUnit) -> Option<u64> {
        self.hint_validity_of_step(unit.key())
    }

    fn hint_validity_of_step(&self, unit: PlacementUnitKey) -> Option<u64> {
        let job = self.jobs.get(unit.job())?;
        self.config.route_named(&job.spec.route)?.hint_validity_ms
    }
}
