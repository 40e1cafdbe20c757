use std::collections::HashMap;
use std::time::Duration;

use actix::prelude::*;
use model::{DataCentreId, Epoch, JobId, Outcome, WorkerId};
use sched::{Action, Input, WorkerReply, WriteId, WriteOutcome};
use timer::{Subscribe, Tick, Timer};
use tokio::sync::oneshot;

use super::active::Active;
use super::commands::{Command, fenced_by};
use super::driver_messages::{Await, CancelJob, Demote, Elected, SetElector, Stepping, Submit};
use super::finals::Finals;
use super::orphans::Orphans;
use super::outbox::JobWrite;
use super::scan::scan_open;
use super::usage::UsageCollector;
use super::{Elector, Release};
use crate::context::{Clients, Context as Shared};
use crate::urgent::UrgentDesk;

const SCHEDULE: u32 = 1;
const SYNC: u32 = 2;
const USAGE: u32 = 3;

/// The scheduler wants a tick at least every 100 ms; half of it leaves room for a busy loop.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of following the platform's list and of asking the instances about their grants.
pub(super) const SYNC_INTERVAL: Duration = Duration::from_secs(1);
const USAGE_INTERVAL: Duration = Duration::from_secs(10);
/// Pause before a scan that failed is tried again.
const SCAN_PAUSE: Duration = Duration::from_millis(500);

/// Actor that carries out what the scheduler of one data centre decides while this instance holds its lease.
#[derive(Debug)]
pub(crate) struct Driver {
    pub(super) shared: Shared,
    pub(super) clients: Clients,
    timer: Addr<Timer>,
    pub(super) urgent: Addr<UrgentDesk>,
    pub(super) data_centre: DataCentreId,
    pub(super) elector: Option<Addr<Elector>>,
    /// Scheduler of the present epoch; `None` while this instance does not hold the lease.
    pub(super) active: Option<Active>,
    pub(super) waiters: HashMap<JobId, Vec<oneshot::Sender<Outcome>>>,
    finals: Finals,
    actions: Vec<Action>,
    orphans: Orphans,
    usage: UsageCollector,
}

impl Driver {
    pub(crate) fn new(
        shared: Shared,
        clients: Clients,
        timer: Addr<Timer>,
        urgent: Addr<UrgentDesk>,
        data_centre: DataCentreId,
    ) -> Self {
        Self {
            orphans: Orphans::new(shared.clone(), clients.clone(), data_centre.clone()),
            usage: UsageCollector::new(clients.clone(), data_centre.clone()),
            shared,
            clients,
            timer,
            urgent,
            data_centre,
            elector: None,
            active: None,
            waiters: HashMap::new(),
            finals: Finals::default(),
            actions: Vec::new(),
        }
    }

    /// Passes an input to the scheduler and carries out its actions.
    pub(super) fn feed(&mut self, input: Input, ctx: &mut Context<Self>) {
        let Some(active) = &mut self.active else { return };
        let epoch = active.epoch;
        let mut actions = std::mem::take(&mut self.actions);
        let clock = self.shared.clock;
        active
            .scheduler
            .handle(clock.now_ms(), clock.now_unix_ms(), input, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(epoch, action, ctx);
        }
        self.actions = actions;
        self.deliver_grants(false, ctx);
    }

    fn resolve_orphans(&mut self, ctx: &mut Context<Self>) {
        if let Some(resolve) = self.orphans.resolve() {
            ctx.spawn(resolve.into_actor(self).map(|(), act, _| act.orphans.done()));
        }
    }

    fn collect_usage(&mut self, ctx: &mut Context<Self>) {
        let Some(active) = &self.active else { return };
        if let Some(collect) = self.usage.collect(&active.addresses) {
            ctx.spawn(collect.into_actor(self).map(|written, act, _| act.usage.done(written)));
        }
    }

    fn carry_out(&mut self, epoch: Epoch, action: Action, ctx: &mut Context<Self>) {
        let Some(active) = &mut self.active else { return };
        match action {
            Action::Lease {
                ref worker,
                ref request,
            } => {
                active.grants.requested(worker, request);
                let worker = worker.clone();
                self.command(epoch, worker, action, ctx);
            }
            Action::Fence { ref worker, .. }
            | Action::Start { ref worker, .. }
            | Action::Renew { ref worker, .. }
            | Action::Stop { ref worker, .. }
            | Action::Checkpoint { ref worker, .. }
            | Action::Revoke { ref worker, .. } => {
                let worker = worker.clone();
                self.command(epoch, worker, action, ctx);
            }
            Action::ScanJobs => self.scan(epoch, ctx),
            Action::Write {
                write,
                row,
                expected_version,
                answer,
                charge,
            } => {
                let job_write = JobWrite {
                    row: *row,
                    expected_version,
                    answer: answer.map(|answer| *answer),
                    charge: charge.map(|charge| *charge),
                    data_centre: self.data_centre.clone(),
                };
                self.write(epoch, write, job_write, ctx);
            }
            Action::Grant { lease, .. } => active.grants.granted(lease),
            Action::RecallGrant { lease, .. } => active.grants.recalled(lease),
            Action::Outcome { job, outcome } => self.conclude(job, *outcome),
            Action::Event(event) => self.shared.timeline.push(*event),
            Action::HandedOver => {
                let for_good = active.stopping_for_good;
                if let Some(elector) = &self.elector {
                    elector.do_send(Release { for_good });
                }
                self.retire();
            }
        }
    }

    fn command(&mut self, epoch: Epoch, worker: WorkerId, action: Action, ctx: &mut Context<Self>) {
        let Some(active) = &self.active else { return };
        let command = Command {
            base_url: active.addresses.get(&worker).cloned().unwrap_or_default(),
            worker: worker.clone(),
            epoch,
            action,
        };
        let name = command.name();
        let reply = command.send(self.clients.workers.clone());
        ctx.spawn(reply.into_actor(self).map(move |reply, act, ctx| {
            let result = if matches!(reply, WorkerReply::Lost(_)) {
                "lost"
            } else {
                "replied"
            };
            act.shared
                .metrics
                .worker_commands
                .with_label_values(&[name, result])
                .inc();
            act.replied(epoch, worker, reply, ctx);
        }));
    }

    fn replied(&mut self, epoch: Epoch, worker: WorkerId, reply: WorkerReply, ctx: &mut Context<Self>) {
        let Some(active) = self.active.as_mut().filter(|active| active.epoch == epoch) else {
            return;
        };
        if fenced_by(&reply).is_some_and(|highest| highest > epoch) {
            // A successor exists, so this instance is not the holder any more.
            if let Some(elector) = &self.elector {
                elector.do_send(Demote);
            }
        }
        if let WorkerReply::Fenced(inventory) = &reply {
            active.grants.adopt(inventory);
        }
        self.feed(Input::Worker { worker, reply }, ctx);
    }

    fn write(&mut self, epoch: Epoch, write: WriteId, job_write: JobWrite, ctx: &mut Context<Self>) {
        let store = self.clients.store.clone();
        let commit = async move {
            let outcome = job_write.commit(&store).await;
            (outcome, job_write)
        };
        ctx.spawn(commit.into_actor(self).map(move |(outcome, job_write), act, ctx| {
            if matches!(outcome, WriteOutcome::Unknown) {
                act.read_back(epoch, write, job_write, ctx);
            } else if matches!(outcome, WriteOutcome::Done { .. }) {
                act.announce_elsewhere(&job_write);
            }
            act.feed_of(epoch, Input::Written { write, outcome }, ctx);
        }));
    }

    fn read_back(&mut self, epoch: Epoch, write: WriteId, job_write: JobWrite, ctx: &mut Context<Self>) {
        let store = self.clients.store.clone();
        let read_back = async move { job_write.read_back(store).await };
        ctx.spawn(read_back.into_actor(self).map(move |outcome, act, ctx| {
            act.feed_of(epoch, Input::Written { write, outcome }, ctx);
        }));
    }

    /// Feeds the result of something that an epoch asked for, unless that epoch is over.
    fn feed_of(&mut self, epoch: Epoch, input: Input, ctx: &mut Context<Self>) {
        if self.active.as_ref().is_some_and(|active| active.epoch == epoch) {
            self.feed(input, ctx);
        }
    }

    /// A job that moved to another data centre is found there by the next scan; waiters here ask there.
    fn announce_elsewhere(&mut self, job_write: &JobWrite) {
        if job_write.row.data_centre != self.data_centre {
            self.waiters.remove(&job_write.row.id());
        }
    }

    fn scan(&mut self, epoch: Epoch, ctx: &mut Context<Self>) {
        let scan = scan_open(self.clients.store.clone(), self.data_centre.clone());
        ctx.spawn(scan.into_actor(self).map(move |rows, act, ctx| match rows {
            Ok(rows) => act.feed_of(epoch, Input::JobRows { rows }, ctx),
            Err(_) if act.active.as_ref().is_some_and(|active| active.epoch == epoch) => {
                ctx.run_later(SCAN_PAUSE, move |act, ctx| act.scan(epoch, ctx));
            }
            Err(_) => {}
        }));
    }

    fn conclude(&mut self, job: JobId, outcome: Outcome) {
        if matches!(outcome, Outcome::InProgress) {
            return;
        }
        for waiter in self.waiters.remove(&job).into_iter().flatten() {
            // The caller may have given up waiting.
            let _ = waiter.send(outcome.clone());
        }
        if !matches!(outcome, Outcome::Indeterminate) {
            self.finals.insert(job, outcome);
        }
    }
}

impl Actor for Driver {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let topics = [
            (SCHEDULE, SCHEDULE_INTERVAL),
            (SYNC, SYNC_INTERVAL),
            (USAGE, USAGE_INTERVAL),
        ];
        for (topic, interval) in topics {
            let subscribe = Subscribe::every(interval, ctx.address().recipient());
            self.timer.do_send(subscribe.topic(topic));
        }
    }
}

impl Handler<Tick> for Driver {
    type Result = ();

    fn handle(&mut self, tick: Tick, ctx: &mut Self::Context) {
        if self.shared.published.is_stopped() {
            ctx.stop();
            return;
        }
        if self.active.is_none() {
            return;
        }
        match tick.topic {
            SCHEDULE => self.tick(ctx),
            SYNC => {
                self.follow_listing(ctx);
                self.yield_grants(ctx);
                self.sync_grants(ctx);
                self.publish_figures();
                self.resolve_orphans(ctx);
            }
            _ => self.collect_usage(ctx),
        }
    }
}

impl Handler<SetElector> for Driver {
    type Result = ();

    fn handle(&mut self, SetElector(elector): SetElector, _: &mut Self::Context) {
        self.elector = Some(elector);
    }
}

impl Handler<Elected> for Driver {
    type Result = ();

    fn handle(&mut self, Elected { epoch }: Elected, ctx: &mut Self::Context) {
        self.elected(epoch, ctx);
    }
}

impl Handler<Demote> for Driver {
    type Result = ();

    fn handle(&mut self, _: Demote, ctx: &mut Self::Context) {
        self.feed(Input::Deposed, ctx);
        self.retire();
    }
}

impl Handler<Stepping> for Driver {
    type Result = ();

    fn handle(&mut self, stepping: Stepping, ctx: &mut Self::Context) {
        self.step_aside(stepping.for_good, ctx);
    }
}

impl Handler<Submit> for Driver {
    type Result = bool;

    fn handle(&mut self, submit: Submit, ctx: &mut Self::Context) -> bool {
        if self.active.is_none() {
            return false;
        }
        self.finals.remove(&submit.row.id());
        let (row, version) = (submit.row, submit.version);
        self.feed(Input::Submitted { row, version }, ctx);
        true
    }
}

impl Handler<Await> for Driver {
    type Result = ResponseFuture<Option<Outcome>>;

    fn handle(&mut self, Await { job, wait }: Await, _: &mut Self::Context) -> Self::Result {
        if let Some(outcome) = self.finals.get(&job) {
            return Box::pin(std::future::ready(Some(outcome.clone())));
        }
        let known = self.active.as_ref().is_some_and(|active| active.scheduler.knows(&job));
        if !known {
            return Box::pin(std::future::ready(None));
        }
        let (sender, receiver) = oneshot::channel();
        let waiters = self.waiters.entry(job).or_default();
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(sender);
        Box::pin(async move {
            match actix_rt::time::timeout(wait, receiver).await {
                Ok(outcome) => outcome.ok(),
                Err(_) => Some(Outcome::InProgress),
            }
        })
    }
}

impl Handler<CancelJob> for Driver {
    type Result = bool;

    fn handle(&mut self, CancelJob(job): CancelJob, ctx: &mut Self::Context) -> bool {
        let known = self.active.as_ref().is_some_and(|active| active.scheduler.knows(&job));
        if known {
            self.feed(Input::CancelRequested { job }, ctx);
        }
        known
    }
}
