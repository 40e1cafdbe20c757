use std::collections::HashMap;
use std::time::Duration;

use actix::prelude::*;
use model::{DataCentreId, Epoch, JobId, Outcome, WorkerId};
use sched::{Action, Input, WorkerReply, WriteId, WriteOutcome};
use timer::{Subscribe, Tick, Timer};
use tokio::sync::oneshot;

use super::active_epoch::ActiveEpoch;
use super::commands::{Command, fenced_by};
use super::driver_messages::{Await, CancelJob, Demote, Elected, HandOver, SetElector, Submit};
use super::final_outcomes::FinalOutcomes;
use super::job_write::JobWrite;
use super::orphans::OrphanResolver;
use super::scan::scan_open;
use super::usage::UsageCollector;
use super::{Elector, Release};
use crate::context::{Clients, Context as Shared};
use crate::urgent::UrgentActor;

const SCHEDULE_TOPIC: u32 = 1;
const SYNC_TOPIC: u32 = 2;
const USAGE_TOPIC: u32 = 3;

/// The scheduler needs a tick at least every 100 ms; half of that leaves a margin for a busy event loop.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of applying the platform's worker list and of synchronising grants with the instances.
pub(super) const SYNC_INTERVAL: Duration = Duration::from_secs(1);
const USAGE_INTERVAL: Duration = Duration::from_secs(10);
/// Pause before a failed scan is retried.
const SCAN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Actor that executes the decisions of one data centre's scheduler while this instance holds the scheduling lease.
#[derive(Debug)]
pub(crate) struct Driver {
    pub(super) shared: Shared,
    pub(super) clients: Clients,
    timer: Addr<Timer>,
    pub(super) urgent: Addr<UrgentActor>,
    pub(super) data_centre: DataCentreId,
    pub(super) elector: Option<Addr<Elector>>,
    /// Scheduler of the current epoch; `None` while this instance does not hold the lease.
    pub(super) active: Option<ActiveEpoch>,
    pub(super) waiters: HashMap<JobId, Vec<oneshot::Sender<Outcome>>>,
    final_outcomes: FinalOutcomes,
    actions: Vec<Action>,
    orphan_resolver: OrphanResolver,
    usage: UsageCollector,
}

impl Driver {
    pub(crate) fn new(
        shared: Shared,
        clients: Clients,
        timer: Addr<Timer>,
        urgent: Addr<UrgentActor>,
        data_centre: DataCentreId,
    ) -> Self {
        Self {
            orphan_resolver: OrphanResolver::new(shared.clone(), clients.clone(), data_centre.clone()),
            usage: UsageCollector::new(clients.clone(), data_centre.clone()),
            shared,
            clients,
            timer,
            urgent,
            data_centre,
            elector: None,
            active: None,
            waiters: HashMap::new(),
            final_outcomes: FinalOutcomes::default(),
            actions: Vec::new(),
        }
    }

    /// Passes an input to the scheduler and executes the resulting actions.
    pub(super) fn feed(&mut self, input: Input, ctx: &mut Context<Self>) {
        let Some(active) = &mut self.active else { return };
        let epoch = active.epoch;
        let mut actions = std::mem::take(&mut self.actions);
        let clock = self.shared.clock;
        active
            .scheduler
            .handle(clock.now_ms(), clock.now_unix_ms(), input, &mut actions);
        for action in actions.drain(..) {
            self.execute_action(epoch, action, ctx);
        }
        self.actions = actions;
        self.deliver_grants(false, ctx);
    }

    fn resolve_orphans(&mut self, ctx: &mut Context<Self>) {
        if let Some(resolve) = self.orphan_resolver.resolve() {
            ctx.spawn(resolve.into_actor(self).map(|(), act, _| act.orphan_resolver.done()));
        }
    }

    fn collect_usage(&mut self, ctx: &mut Context<Self>) {
        let Some(active) = &self.active else { return };
        if let Some(collect) = self.usage.collect(&active.addresses) {
            ctx.spawn(
                collect
                    .into_actor(self)
                    .map(|written, act, _| act.usage.finish_round(written)),
            );
        }
    }

    fn execute_action(&mut self, epoch: Epoch, action: Action, ctx: &mut Context<Self>) {
        let Some(active) = &mut self.active else { return };
        match action {
            Action::Lease {
                ref worker,
                ref request,
            } => {
                active.grants.requested(worker, request);
                let worker = worker.clone();
                self.send_command(epoch, worker, action, ctx);
            }
            Action::Fence { ref worker, .. }
            | Action::Start { ref worker, .. }
            | Action::Renew { ref worker, .. }
            | Action::Stop { ref worker, .. }
            | Action::Checkpoint { ref worker, .. }
            | Action::Revoke { ref worker, .. } => {
                let worker = worker.clone();
                self.send_command(epoch, worker, action, ctx);
            }
            Action::ScanJobs => self.scan_open_jobs(epoch, ctx),
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
            Action::Outcome { job, outcome } => self.publish_outcome(job, *outcome),
            Action::Event(event) => self.shared.timeline.push(*event),
            Action::HandedOver => {
                let permanently = active.is_stopping_permanently;
                if let Some(elector) = &self.elector {
                    elector.do_send(Release { permanently });
                }
                self.end_epoch();
            }
        }
    }

    fn send_command(&mut self, epoch: Epoch, worker: WorkerId, action: Action, ctx: &mut Context<Self>) {
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
            act.on_worker_reply(epoch, worker, reply, ctx);
        }));
    }

    fn on_worker_reply(&mut self, epoch: Epoch, worker: WorkerId, reply: WorkerReply, ctx: &mut Context<Self>) {
        let Some(active) = self.active.as_mut().filter(|active| active.epoch == epoch) else {
            return;
        };
        if fenced_by(&reply).is_some_and(|highest| highest > epoch) {
            // A successor exists, so this instance no longer holds the lease.
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
                act.drop_waiters_of_moved_job(&job_write);
            }
            act.feed_if_current(epoch, Input::Written { write, outcome }, ctx);
        }));
    }

    fn read_back(&mut self, epoch: Epoch, write: WriteId, job_write: JobWrite, ctx: &mut Context<Self>) {
        let store = self.clients.store.clone();
        let read_back = async move { job_write.read_back(store).await };
        ctx.spawn(read_back.into_actor(self).map(move |outcome, act, ctx| {
            act.feed_if_current(epoch, Input::Written { write, outcome }, ctx);
        }));
    }

    /// Passes the result of an action to the scheduler, unless the epoch that asked for it is over.
    fn feed_if_current(&mut self, epoch: Epoch, input: Input, ctx: &mut Context<Self>) {
        if self.active.as_ref().is_some_and(|active| active.epoch == epoch) {
            self.feed(input, ctx);
        }
    }

    /// Drops the waiters of a job that moved to another data centre, whose next scan finds it; they ask there.
    fn drop_waiters_of_moved_job(&mut self, job_write: &JobWrite) {
        if job_write.row.data_centre != self.data_centre {
            self.waiters.remove(&job_write.row.id());
        }
    }

    fn scan_open_jobs(&mut self, epoch: Epoch, ctx: &mut Context<Self>) {
        let scan = scan_open(self.clients.store.clone(), self.data_centre.clone());
        ctx.spawn(scan.into_actor(self).map(move |rows, act, ctx| match rows {
            Ok(rows) => act.feed_if_current(epoch, Input::JobRows { rows }, ctx),
            Err(_) if act.active.as_ref().is_some_and(|active| active.epoch == epoch) => {
                ctx.run_later(SCAN_RETRY_INTERVAL, move |act, ctx| act.scan_open_jobs(epoch, ctx));
            }
            Err(_) => {}
        }));
    }

    fn publish_outcome(&mut self, job: JobId, outcome: Outcome) {
        if matches!(outcome, Outcome::InProgress) {
            return;
        }
        for waiter in self.waiters.remove(&job).into_iter().flatten() {
            // The caller may have stopped waiting.
            let _ = waiter.send(outcome.clone());
        }
        if !matches!(outcome, Outcome::Indeterminate) {
            self.final_outcomes.insert(job, outcome);
        }
    }
}

impl Actor for Driver {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let topics = [
            (SCHEDULE_TOPIC, SCHEDULE_INTERVAL),
            (SYNC_TOPIC, SYNC_INTERVAL),
            (USAGE_TOPIC, USAGE_INTERVAL),
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
            SCHEDULE_TOPIC => self.tick(ctx),
            SYNC_TOPIC => {
                self.apply_listing(ctx);
                self.yield_grants(ctx);
                self.sync_grants(ctx);
                self.publish_stats();
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
        self.on_elected(epoch, ctx);
    }
}

impl Handler<Demote> for Driver {
    type Result = ();

    fn handle(&mut self, _: Demote, ctx: &mut Self::Context) {
        self.feed(Input::Deposed, ctx);
        self.end_epoch();
    }
}

impl Handler<HandOver> for Driver {
    type Result = ();

    fn handle(&mut self, message: HandOver, ctx: &mut Self::Context) {
        self.hand_over(message.permanently, ctx);
    }
}

impl Handler<Submit> for Driver {
    type Result = bool;

    fn handle(&mut self, submit: Submit, ctx: &mut Self::Context) -> bool {
        if self.active.is_none() {
            return false;
        }
        self.final_outcomes.remove(&submit.row.id());
        let (row, version) = (submit.row, submit.version);
        self.feed(Input::Submitted { row, version }, ctx);
        true
    }
}

impl Handler<Await> for Driver {
    type Result = ResponseFuture<Option<Outcome>>;

    fn handle(&mut self, Await { job, wait }: Await, _: &mut Self::Context) -> Self::Result {
        if let Some(outcome) = self.final_outcomes.get(&job) {
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
