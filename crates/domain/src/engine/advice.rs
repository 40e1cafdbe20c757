use std::collections::HashMap;

use compact_str::{CompactString, format_compact};

use super::Engine;
use super::keys::WorkerKey;
use super::order::{Unit, UnitKey};
use super::place::{Spot, share_of};
use crate::Action;

/// Permission for a worker to run a step.
#[derive(Debug, Clone)]
struct Ticket {
    text: CompactString,
    until_ms: u64,
}

/// What the placement service said of a step.
#[derive(Debug, Clone, Default)]
struct StepAdvice {
    /// Answer by worker id; `None` for a worker that must not run the step, which does not change.
    workers: HashMap<CompactString, Option<Ticket>>,
}

/// Advice of the placement service.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceState {
    steps: HashMap<UnitKey, StepAdvice>,
    /// Step and workers of the call under way.
    asked: Option<(UnitKey, Vec<CompactString>)>,
    not_before_ms: u64,
}

/// Work on queues whose policy restricts the workers.
impl Engine {
    /// Workers in one call. The service takes time for each, and one call at a time.
    const ASKED_AT_ONCE: usize = 12;

    /// Pause after a call that was refused or got no reply.
    const ADVICE_PAUSE_MS: u64 = 200;

    /// Part of a ticket's validity that is kept for the way of a start order.
    const TICKET_MARGIN_MS: u64 = 300;

    /// Asks for advice if a unit needs it before it can be placed; returns whether it has to wait.
    pub(super) fn needs_advice(&mut self, unit: &Unit, spots: &[Spot], now_ms: u64) -> bool {
        if self.advice_validity(unit).is_none() {
            return false;
        }
        let spec = std::rc::Rc::clone(&self.jobs[unit.job].spec);
        let shape = &spec.steps[unit.step as usize];
        let fitting: Vec<&Spot> = spots
            .iter()
            .filter(|spot| self.takes(spot, &spec, shape) && share_of(shape, &spot.free) > 0)
            .collect();
        let permitted: u64 = fitting
            .iter()
            .filter(|spot| self.is_permitted(unit, spot.worker, now_ms))
            .map(|spot| share_of(shape, &spot.free))
            .sum();
        let needed = if shape.is_gang { u64::from(shape.count) } else { 1 };
        if permitted >= needed {
            return false;
        }
        if self.advice.asked.is_none() && now_ms >= self.advice.not_before_ms {
            let known = self.advice.steps.get(&unit.key());
            let is_open = |id: &CompactString| match known.and_then(|advice| advice.workers.get(id)) {
                None => true,
                Some(None) => false,
                Some(Some(ticket)) => now_ms >= ticket.until_ms,
            };
            let ids: Vec<_> = fitting
                .iter()
                .filter_map(|spot| self.workers.get(spot.worker))
                .map(|worker| worker.entry.id.clone())
                .filter(is_open)
                .take(Self::ASKED_AT_ONCE)
                .collect();
            if !ids.is_empty() {
                let step = format_compact!("{}.{}.{}", spec.id, unit.occurrence, unit.step);
                self.advice.asked = Some((unit.key(), ids.clone()));
                self.actions.push(Action::FetchPlacementHints { step, workers: ids });
            }
        }
        true
    }

    /// Takes the reply to a call for advice: the workers that may run the step, with their tickets.
    pub fn advised(&mut self, good: Option<&[(CompactString, CompactString)]>, now_ms: u64) {
        let Some((unit, asked)) = self.advice.asked.take() else {
            return;
        };
        let Some(good) = good else {
            self.advice.not_before_ms = now_ms + Self::ADVICE_PAUSE_MS;
            return;
        };
        let validity_ms = self.validity_of(unit).unwrap_or(0);
        let advice = self.advice.steps.entry(unit).or_default();
        for id in asked {
            let ticket = good.iter().find(|(worker, _)| *worker == id).map(|(_, text)| Ticket {
                text: text.clone(),
                until_ms: now_ms + validity_ms.saturating_sub(Self::TICKET_MARGIN_MS),
            });
            advice.workers.insert(id, ticket);
        }
        self.is_schedule_due = true;
    }

    /// Returns whether the queue of a unit restricts its workers.
    pub(super) fn is_advised(&self, unit: &Unit) -> bool {
        self.advice_validity(unit).is_some()
    }

    /// Returns whether a worker may run a unit as far as advice goes.
    pub(super) fn is_permitted(&self, unit: &Unit, worker: WorkerKey, now_ms: u64) -> bool {
        self.advice_validity(unit).is_none() || self.ticket_for(unit.key(), worker, now_ms).is_some()
    }

    /// Returns the ticket of a worker for a step.
    pub(super) fn ticket_for(&self, unit: UnitKey, worker: WorkerKey, now_ms: u64) -> Option<CompactString> {
        let id = &self.workers.get(worker)?.entry.id;
        let ticket = self.advice.steps.get(&unit)?.workers.get(id)?.as_ref()?;
        (now_ms < ticket.until_ms).then(|| ticket.text.clone())
    }

    /// Forgets a ticket that a worker rejected.
    pub(super) fn drop_ticket(&mut self, unit: UnitKey, worker: WorkerKey) {
        let Some(worker) = self.workers.get(worker) else { return };
        if let Some(advice) = self.advice.steps.get_mut(&unit) {
            advice.workers.remove(&worker.entry.id);
        }
    }

    /// Forgets the advice on steps without tasks that wait or start.
    pub(super) fn forget_advice(&mut self) {
        let mut steps = std::mem::take(&mut self.advice.steps);
        steps.retain(|unit, _| self.validity_of(*unit).is_some());
        self.advice.steps = steps;
    }

    fn advice_validity(&self, unit: &Unit) -> Option<u64> {
        self.validity_of(unit.key())
    }

    fn validity_of(&self, unit: UnitKey) -> Option<u64> {
        let job = self.jobs.get(unit.job())?;
        self.config.route_named(&job.spec.route)?.hint_validity_ms
    }
}
