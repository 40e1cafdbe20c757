use actix::prelude::*;

use super::{Advance, Input, SchedulerDriver};
use crate::clock::{boot_ms, unix_ms};
use crate::ports::{RenewError, Store, Workers};

impl<S: Store, W: Workers> Handler<Input> for SchedulerDriver<S, W> {
    type Result = ();

    fn handle(&mut self, input: Input, ctx: &mut Self::Context) {
        if matches!(input, Input::Stop) {
            self.stop_acting();
            ctx.stop();
            return;
        }
        self.run_step(ctx, |driver, ctx| driver.handle_input(input, ctx));
    }
}

impl<S: Store, W: Workers> SchedulerDriver<S, W> {
    fn handle_input(&mut self, input: Input, ctx: &mut Context<Self>) {
        let now_ms = boot_ms();
        self.engine.set_lease_certain_until(self.lease_certain_until_ms());
        match input {
            Input::UsedWorkers(workers) => {
                for (id, address) in workers {
                    self.engine.add_recorded_worker(&id, &address, now_ms);
                }
            }
            Input::LastRuns(rows) => self.engine.add_last_runs(rows),
            Input::JobFailures(rows) => {
                for (job, row, version) in rows {
                    self.job_failures.add(job, row, version);
                }
            }
            Input::Jobs(jobs) => self.add_jobs(jobs, now_ms, ctx),
            Input::Cancels(ids) => ids.iter().for_each(|id| self.engine.cancel(id, now_ms)),
            Input::JobsConfirmed(as_of_ms) => self.engine.confirm_jobs(as_of_ms),
            Input::Pending(counts) => {
                for (route, count) in counts {
                    self.engine.set_written_pending(&route, count);
                }
            }
            Input::WaveRows(rows) => self.engine.add_wave_rows(rows, now_ms, unix_ms()),
            Input::SpeedRows(rows) => self.engine.add_speed_rows(rows),
            Input::Loaded => self.engine.set_loaded(now_ms),
            Input::WorkerList(list, as_of_ms) => {
                self.worker_list(list, now_ms);
                self.engine.confirm_worker_list(as_of_ms);
            }
            Input::WorkerChanges(changes, as_of_ms, is_complete) => {
                for change in changes {
                    self.worker_change(change, now_ms);
                }
                if is_complete {
                    self.engine.confirm_worker_list(as_of_ms);
                }
            }
            Input::Started(worker, task_run, outcome) => {
                self.starts.remove(&task_run);
                self.engine.start_replied(worker, &task_run, outcome, now_ms);
            }
            Input::StopDone(worker, task_run, is_confirmed) => {
                self.engine.stop_replied(worker, &task_run, is_confirmed, now_ms);
            }
            Input::ThrottleDone(worker) => self.engine.throttle_replied(worker),
            Input::Renewed(worker, Ok(report)) => self.engine.renewed(worker, &report, now_ms),
            Input::Renewed(worker, Err(RenewError::Fenced)) => self.engine.renew_fenced(worker, now_ms),
            Input::Renewed(worker, Err(RenewError::OtherIncarnation)) => {
                self.engine.renew_other_incarnation(worker, now_ms);
            }
            Input::Renewed(worker, Err(RenewError::NoReply)) => self.engine.renew_failed(worker, now_ms),
            Input::PlacementHintsReceived(hints) => self.engine.placement_hints_replied(hints.as_deref(), now_ms),
            Input::Machines(machines) => self.engine.set_machines(machines, now_ms),
            Input::MaintenanceReplied(wave, machine, reply) => {
                self.engine.maintenance_replied(wave, &machine, reply, now_ms);
            }
            Input::FormerStartBound(bound) => {
                self.start_bound_row_version = bound.map_or(0, |(_, row_version)| row_version);
                self.engine.set_former_start_bound(bound.map(|(row, _)| row));
            }
            Input::HolderRevision(row_version) => self.holder_revision = row_version,
            Input::StartBoundWritten(row, sent, result) => self.start_bound_written(row, sent, &result),
            Input::Committed(commit, sent, result) => self.committed(&commit, sent, result),
            // Handled without a step of the scheduler.
            Input::Stop => {}
        }
        // Under load many replies wait; they are handled with one run of the scheduler.
        if !self.is_advance_queued {
            self.is_advance_queued = true;
            ctx.notify(Advance);
        }
    }
}
