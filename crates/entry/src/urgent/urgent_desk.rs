use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use model::{JobRow, JobSpec, Outcome, TaskId};
use net::peer::{UpdateGrantsReply, UpdateGrantsRequest};
use sched::WriteOutcome;
use timer::{Subscribe, Tick, Timer};

use super::desk::{Desk, UrgentJob};
use super::grant_pool::Ticket;
use crate::context::{Clients, Context as Shared};
use crate::scheduling::JobWrite;

const RENEW: u32 = 1;
pub(super) const RECORD: u32 = 2;

/// Pause before a final state that the store did not take is written again.
const CLOSE_PAUSE: Duration = Duration::from_millis(500);

/// Actor that serves urgent requests on the grants of this instance.
#[derive(Debug)]
pub(crate) struct UrgentDesk {
    desk: Rc<Desk>,
    renewing: Rc<Cell<bool>>,
}

/// Serves an urgent request with one part.
#[derive(Debug, Message)]
#[rtype(result = "Outcome")]
pub(crate) struct RunUrgent {
    pub(crate) spec: JobSpec,
    /// Time that is left for the answer.
    pub(crate) deadline_ms: u64,
    /// Number of instances that passed the request on.
    pub(crate) hops: u32,
}

/// Message of a scheduler with new and recalled grants.
#[derive(Debug, Message)]
#[rtype(result = "UpdateGrantsReply")]
pub(crate) struct UpdateGrants(pub(crate) UpdateGrantsRequest);

/// Finishes open attempts and gives all grants up; replies when this is done.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct Flush;

/// Looks for the outcome of an attempt after its caller was told that it is unknown.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct CloseLater {
    pub(super) row: JobRow,
    pub(super) version: u64,
    pub(super) ticket: Ticket,
    pub(super) task: TaskId,
}

/// Writes the final state of an attempt until the store takes it.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct CloseRow(pub(super) Box<JobWrite>);

impl UrgentDesk {
    pub(crate) fn new(shared: Shared, clients: Clients, timer: Addr<Timer>) -> Self {
        Self {
            desk: Rc::new(Desk::new(shared, clients, timer)),
            renewing: Rc::default(),
        }
    }
}

impl Actor for UrgentDesk {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        // Requests wait in the mailbox only for a moment, and each is bounded by the HTTP interface.
        ctx.set_mailbox_capacity(4_096);
        let _ = self.desk.address.set(ctx.address());
        let interval = Duration::from_millis(self.desk.shared.settings.worker_renew_interval_ms);
        let subscribe = Subscribe::every(interval, ctx.address().recipient());
        self.desk.timer.do_send(subscribe.topic(RENEW));
    }
}

impl Handler<Tick> for UrgentDesk {
    type Result = ();

    fn handle(&mut self, tick: Tick, ctx: &mut Self::Context) {
        if self.desk.shared.published.is_stopped() {
            ctx.stop();
            return;
        }
        let desk = self.desk.clone();
        if tick.topic == RECORD {
            actix_rt::spawn(async move { desk.recorder.flush().await });
        } else if !self.renewing.replace(true) {
            let renewing = self.renewing.clone();
            actix_rt::spawn(async move {
                desk.renew().await;
                renewing.set(false);
            });
        }
    }
}

impl Handler<RunUrgent> for UrgentDesk {
    type Result = ResponseFuture<Outcome>;

    fn handle(&mut self, request: RunUrgent, _: &mut Self::Context) -> Self::Result {
        let desk = self.desk.clone();
        let now_ms = desk.shared.clock.now_ms();
        let job = UrgentJob {
            spec: request.spec,
            deadline_ms: now_ms + request.deadline_ms,
            accepted_ms: now_ms,
            hops: request.hops,
            avoid: Vec::new(),
        };
        Box::pin(async move { desk.serve(job).await })
    }
}

impl Handler<UpdateGrants> for UrgentDesk {
    type Result = MessageResult<UpdateGrants>;

    fn handle(&mut self, UpdateGrants(request): UpdateGrants, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.desk.update_grants(&request))
    }
}

impl Handler<Flush> for UrgentDesk {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Flush, _: &mut Self::Context) -> Self::Result {
        let desk = self.desk.clone();
        Box::pin(async move { desk.stop().await })
    }
}

impl Handler<CloseLater> for UrgentDesk {
    type Result = ();

    fn handle(&mut self, late: CloseLater, _: &mut Self::Context) {
        let desk = self.desk.clone();
        actix_rt::spawn(async move {
            desk.find_and_close(late.row, late.version, late.ticket, late.task)
                .await;
        });
    }
}

impl Handler<CloseRow> for UrgentDesk {
    type Result = ();

    fn handle(&mut self, CloseRow(mut write): CloseRow, _: &mut Self::Context) {
        let desk = self.desk.clone();
        actix_rt::spawn(async move {
            loop {
                match write.commit(&desk.clients.store).await {
                    WriteOutcome::Done { .. } => break,
                    WriteOutcome::Conflict { current } => match current {
                        Some((current, version)) if rebase(&mut write, &current, version) => {}
                        // Someone else decided the job, such as the scheduler that took this instance for dead.
                        _ => break,
                    },
                    WriteOutcome::Unavailable | WriteOutcome::Unknown => actix_rt::time::sleep(CLOSE_PAUSE).await,
                }
            }
            desk.closing.set(desk.closing.get() - 1);
        });
    }
}

/// Bases the final state on the row as it is, if that row holds this very attempt and is not final.
///
/// Any other attempt belongs to someone else, even if it follows this one in the row: an instance that took a job over
/// after its first attempt proved not to have started was once declared not started itself, and the job ran twice.
fn rebase(write: &mut JobWrite, current: &JobRow, version: u64) -> bool {
    if current.state.is_final() || current.digest != write.row.digest || !current.ends_with_attempt_of(&write.row) {
        return false;
    }
    write.expected_version = version;
    true
}
