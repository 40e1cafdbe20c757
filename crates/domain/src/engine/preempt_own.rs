use std::collections::HashMap;

use shares::{Amounts, Entry};

use super::keys::RunKey;
use super::organisation_usage::Claim;
use super::queue::{PlacementUnit, PlacementUnitKey};
use super::{Engine, RunState};

/// Runs of one organisation that are stopped together.
#[derive(Debug, Default)]
struct OwnVictim {
    cost: u64,
    runs: Vec<RunKey>,
    amounts: Amounts,
}

/// Preemption within an organisation that has its maximum running.
impl Engine {
    /// Stops work of lower priority of the same organisation, so that guaranteed work fits into its maximum. Room on the
    /// workers is found in later passes, once the maximum admits the unit.
    ///
    /// Only guaranteed work does so: other urgent work waits for its organisation's own runs to end.
    pub(super) fn preempt_own(&mut self, unit: &PlacementUnit, now_ms: u64) {
        let spec = std::rc::Rc::clone(&self.jobs[unit.job].spec);
        let shape = &spec.steps[unit.step as usize];
        let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) else {
            return;
        };
        if now_ms < state.preemption_attempt_ms + Self::PREEMPT_PAUSE_MS {
            return;
        }
        state.preemption_attempt_ms = now_ms;
        let idle = u64::from(state.idle_count());
        if !self.is_within_guarantee(&spec.organisation) {
            return;
        }
        let Some(entry) = self.usages.entry(&spec.organisation).copied() else {
            return;
        };
        let need = Amounts::from(shape.need);
        let unused = Entry {
            usage: Amounts::default(),
            ..entry
        };
        let target = idle.min(unused.room_for(&need));
        let together = if shape.is_gang { idle } else { 1 };
        let needed = need.times(target);
        let mut left = entry;
        let (stopping, mut victims) = self.own_runs(&spec.organisation, unit.priority, now_ms);
        left.usage = left.usage.minus(&stopping);
        victims.sort_by_key(|victim| victim.cost);
        let mut selected = Vec::new();
        for victim in victims {
            if left.room_for(&need) >= target {
                break;
            }
            // A victim that takes nothing of what is missing would be stopped in vain.
            if Self::frees_missing(&left, &needed, &victim.amounts) {
                left.usage = left.usage.minus(&victim.amounts);
                selected.push(victim);
            }
        }
        if left.room_for(&need) < together || selected.is_empty() {
            return;
        }
        self.log_lines.push(format!(
            "preempt_own job={} step={} organisation={} victims={}",
            spec.id,
            unit.step,
            spec.organisation,
            selected.iter().map(|victim| victim.runs.len()).sum::<usize>()
        ));
        for run in selected.into_iter().flat_map(|victim| victim.runs) {
            if let Some(task_run) = self.task_run_of(run) {
                self.log_lines.push(format!(
                    "run_preempted task={} run={} for={}",
                    task_run.task, task_run.run, spec.id
                ));
            }
            self.stats.preempted += 1;
            self.abort_run(run, now_ms);
        }
    }

    /// Returns whether runs that free `freed` take something of what `needed` lacks under the maximum.
    fn frees_missing(entry: &Entry, needed: &Amounts, freed: &Amounts) -> bool {
        let after = Entry {
            usage: entry.usage.minus(freed),
            ..*entry
        };
        let missing = |entry: &Entry| {
            let over = entry.usage.plus(needed);
            let beyond = |used: u64, limit: u64| if limit == 0 { 0 } else { used.saturating_sub(limit) };
            (
                beyond(over.cpu_milli, entry.maximum.cpu_milli),
                beyond(over.memory_mib, entry.maximum.memory_mib),
                beyond(over.accelerators, entry.maximum.accelerators),
            )
        };
        missing(&after) != missing(entry)
    }

    /// Returns what the runs of an organisation that are being stopped take, and those that may be stopped.
    fn own_runs(&self, organisation: &str, priority: u32, now_ms: u64) -> (Amounts, Vec<OwnVictim>) {
        let mut stopping = Amounts::default();
        let mut victims: Vec<OwnVictim> = Vec::new();
        let mut gangs: HashMap<PlacementUnitKey, usize> = HashMap::new();
        for (key, run) in &self.runs {
            let Claim::Of(_, amounts) = run.claim else { continue };
            let is_own = self
                .job_of(run)
                .is_some_and(|job| job.spec.organisation == organisation);
            let Some(unit) = run.unit().filter(|_| is_own) else {
                continue;
            };
            if run.state == RunState::Stopping {
                stopping = stopping.plus(&amounts);
                continue;
            }
            if !self.is_victim(run, priority) {
                continue;
            }
            let next_index = victims.len();
            let index = if self.is_gang_member(run) {
                *gangs.entry(unit).or_insert(next_index)
            } else {
                next_index
            };
            if index == next_index {
                victims.push(OwnVictim {
                    cost: self.stop_cost(key, now_ms),
                    ..OwnVictim::default()
                });
            }
            victims[index].runs.push(key);
            victims[index].amounts = victims[index].amounts.plus(&amounts);
        }
        (stopping, victims)
    }
}
