use super::keys::JobKey;
use super::place::tasks_that_fit;
use super::{Engine, RunState};
use crate::{Explanation, RunExplanation, StepExplanation, WaitCause};

/// Explanations for operators.
impl Engine {
    /// Returns the state of a job and why its tasks wait; `None` if it is not open in this epoch.
    pub fn explain(&mut self, id: &str, now_ms: u64) -> Option<Explanation> {
        let key = *self.job_ids.get(id)?;
        let job = &self.jobs[key];
        let open: Vec<(u32, u32)> = job
            .occurrences
            .iter()
            .flat_map(|(number, occurrence)| {
                let steps = occurrence.steps.iter().enumerate();
                steps
                    .filter(|(_, state)| !state.is_done())
                    .map(|(step, _)| (*number, step as u32))
            })
            .collect();
        let spec = std::rc::Rc::clone(&job.spec);
        Some(Explanation {
            state: job.state,
            priority: spec.priority,
            age_ms: now_ms.saturating_sub(job.accepted_ms),
            objective_ms: Self::objective_ms(&spec, &self.critical_paths_ms(&spec)),
            organisation: self.organisation_share(&spec.organisation),
            speeds: Some(self.speeds.state()),
            steps: open
                .into_iter()
                .map(|(occurrence, step)| self.explain_step(key, occurrence, step, now_ms))
                .collect(),
        })
    }

    fn explain_step(&mut self, key: JobKey, occurrence: u32, step: u32, now_ms: u64) -> StepExplanation {
        let state = &self.jobs[key].occurrences[&occurrence].steps[step as usize];
        let (tasks, done, idle) = (state.done.len() as u32, state.done_count, state.idle_count());
        let idle_ms = state.idle_since_ms.map(|since_ms| now_ms.saturating_sub(since_ms));
        let runs = state
            .active
            .iter()
            .flatten()
            .filter_map(|run| self.runs.get(*run))
            .filter_map(|run| Some((run, run.task?.index, self.workers.get(run.worker)?)))
            .map(|(run, index, worker)| RunExplanation {
                index,
                run: run.id.run,
                worker: worker.entry.id.clone(),
                state: match run.state {
                    RunState::Starting => "starting",
                    RunState::Running => "running",
                    RunState::Stopping => "stopping",
                }
                .into(),
                since_ms: now_ms.saturating_sub(run.start_sent_ms),
                heard_ms_ago: now_ms.saturating_sub(worker.last_reply_ms),
                speed_percent: self.speeds.percent(run.worker),
            })
            .collect();
        StepExplanation {
            occurrence,
            step,
            tasks,
            done,
            runs,
            waits_for: (idle > 0).then(|| self.wait_cause(key, occurrence, step, now_ms)),
            idle_ms,
            standing: self
                .standing_of(key, occurrence, step)
                .filter(|_| idle > 0)
                .map(|standing| standing.code().into()),
            workers: (idle > 0).then(|| self.tally_workers(key, occurrence, step, now_ms)),
        }
    }

    pub(super) fn wait_cause(&mut self, key: JobKey, occurrence: u32, step: u32, now_ms: u64) -> WaitCause {
        let job = &self.jobs[key];
        let spec = std::rc::Rc::clone(&job.spec);
        let shape = &spec.steps[step as usize];
        let steps = &job.occurrences[&occurrence].steps;
        let state = &steps[step as usize];
        let unfinished = shape.after.iter().copied().filter(|earlier| {
            let state = steps.get(*earlier as usize);
            !state.is_some_and(super::StepState::is_done)
        });
        let unfinished: Vec<u32> = unfinished.collect();
        if !self.start_bound.allows(job) {
            return WaitCause::StartBound;
        }
        if self.may_have_started_before(job) && self.has_unreported_workers() {
            let unresponsive = self.workers.values().filter(|worker| worker.may_hold_unreported_runs());
            return WaitCause::SilentWorkers {
                workers: unresponsive.map(|worker| worker.entry.id.clone()).collect(),
            };
        }
        if state.held_until_ms.keys().any(|index| state.is_held(*index, now_ms)) {
            return WaitCause::Isolation;
        }
        if job.has_unsaved_crash {
            return WaitCause::UnsavedCrash;
        }
        if !unfinished.is_empty() {
            return WaitCause::EarlierSteps { steps: unfinished };
        }
        if shape.is_gang && (state.active_count > 0 || state.is_gang_ending) {
            return WaitCause::FormerRun;
        }
        if now_ms < state.not_before_ms {
            return WaitCause::Pause {
                left_ms: state.not_before_ms - now_ms,
            };
        }
        if let Some(age_ms) = self.stale_worker_list_ms(now_ms) {
            return WaitCause::StaleWorkerList { age_ms };
        }
        if let Some(age_ms) = self.stale_jobs_ms(now_ms) {
            return WaitCause::StaleJobs { age_ms };
        }
        let unit = self.unit_of(key, occurrence, step, now_ms);
        if let Some(cause) = self.maximum_wait(&unit, now_ms) {
            return cause;
        }
        let candidates = self.candidates(now_ms);
        let usable: Vec<_> = candidates
            .iter()
            .filter(|candidate| self.is_eligible(candidate, &spec, shape))
            .collect();
        if usable.is_empty() {
            return WaitCause::NoWorker;
        }
        let needed = if shape.is_gang { u64::from(shape.count) } else { 1 };
        let open = usable.iter().filter(|candidate| candidate.is_open_to(&unit));
        let fit = open.map(|candidate| tasks_that_fit(shape, &candidate.free)).sum();
        if fit < needed {
            return WaitCause::Room {
                needed,
                fit,
                workers: usable.len() as u64,
            };
        }
        let is_rack_bound = shape.is_gang && (shape.is_same_rack || shape.data_rack.is_some());
        if is_rack_bound && self.plan_gang(&unit, &spec, shape, &candidates, now_ms).is_none() {
            WaitCause::Rack
        } else if unit.has_suspects {
            WaitCause::Isolation
        } else {
            WaitCause::Turn
        }
    }
}
