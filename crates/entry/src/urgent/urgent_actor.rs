use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use model::{JobRow, JobSpec, Outcome};
use net::peer::{UpdateGrantsReply, UpdateGrantsRequest};
use sched::WriteOutcome;
use timer::{Subscribe, Tick, Timer};

use super::sent_attempt::SentAttempt;
use super::urgent_core::{UrgentCore, UrgentJob};
use crate::context::{Clients, Context as Shared};
use crate::scheduling::JobWrite;

const RENEW_TOPIC: u32 = 1;
pub(super) const RECORD_TOPIC: u32 = 2;

/// Pause before a final state that the store did not accept is written again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Actor that serves urgent requests on the grants of this instance.
#[derive(Debug)]
pub(crate) struct UrgentActor {
    core: Rc<UrgentCore>,
    renewing: Rc<Cell<bool>>,
}

/// Serves an urgent request with one part.
#[derive(Debug, Message)]
#[rtype(result = "Outcome")]
pub(crate) struct RunUrgent {
    pub(crate) spec: JobSpec,
    /// Remaining time for the answer.
    pub(crate) deadline_ms: u64,
    /// Number of instances that have forwarded the request.
    pub(crate) hops: u32,
}

/// New and recalled grants from a scheduler.
#[derive(Debug, Message)]
#[rtype(result = "UpdateGrantsReply")]
pub(crate) struct UpdateGrants(pub(crate) UpdateGrantsRequest);

/// Finishes open attempts and releases all grants; replies when this is done.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct Flush;

/// Resolves the outcome of an attempt after its caller was told that it is unknown.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct ResolveLater {
    pub(super) row: JobRow,
    pub(super) version: u64,
    pub(super) attempt: SentAttempt,
}

/// Writes the final state of an attempt, with retries until the store accepts it.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct WriteFinalState(pub(super) Box<JobWrite>);

impl UrgentActor {
    pub(crate) fn new(shared: Shared, clients: Clients, timer: Addr<Timer>) -> Self {
        Self {
            core: Rc::new(UrgentCore::new(shared, clients, timer)),
            renewing: Rc::default(),
        }
    }
}

impl Actor for UrgentActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        // Requests stay in the mailbox only briefly, and each is bounded by the HTTP interface.
        ctx.set_mailbox_capacity(4_096);
        let _ = self.core.address.set(ctx.address());
        let interval = Duration::from_millis(self.core.shared.settings.worker_renew_interval_ms);
        let subscribe = Subscribe::every(interval, ctx.address().recipient());
        self.core.timer.do_send(subscribe.topic(RENEW_TOPIC));
    }
}

impl Handler<Tick> for UrgentActor {
    type Result = ();

    fn handle(&mut self, tick: Tick, ctx: &mut Self::Context) {
        if self.core.shared.published.is_stopped() {
            ctx.stop();
            return;
        }
        let core = self.core.clone();
        if tick.topic == RECORD_TOPIC {
            actix_rt::spawn(async move { core.recorder.flush().await });
        } else if !self.renewing.replace(true) {
            let renewing = self.renewing.clone();
            actix_rt::spawn(async move {
                core.renew().await;
                renewing.set(false);
            });
        }
    }
}

impl Handler<RunUrgent> for UrgentActor {
    type Result = ResponseFuture<Outcome>;

    fn handle(&mut self, request: RunUrgent, _: &mut Self::Context) -> Self::Result {
        let core = self.core.clone();
        let now_ms = core.shared.clock.now_ms();
        let job = UrgentJob {
            spec: request.spec,
            deadline_ms: now_ms + request.deadline_ms,
            accepted_ms: now_ms,
            hops: request.hops,
            excluded_workers: Vec::new(),
            may_have_run: Cell::new(false),
        };
        Box::pin(async move { core.serve(job).await })
    }
}

impl Handler<UpdateGrants> for UrgentActor {
    type Result = MessageResult<UpdateGrants>;

    fn handle(&mut self, UpdateGrants(request): UpdateGrants, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.core.update_grants(&request))
    }
}

impl Handler<Flush> for UrgentActor {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Flush, _: &mut Self::Context) -> Self::Result {
        let core = self.core.clone();
        Box::pin(async move { core.stop().await })
    }
}

impl Handler<ResolveLater> for UrgentActor {
    type Result = ();

    fn handle(&mut self, message: ResolveLater, _: &mut Self::Context) {
        let core = self.core.clone();
        actix_rt::spawn(async move {
            core.resolve_in_background(message.row, message.version, message.attempt)
                .await;
        });
    }
}

impl Handler<WriteFinalState> for UrgentActor {
    type Result = ();

    fn handle(&mut self, WriteFinalState(mut write): WriteFinalState, _: &mut Self::Context) {
        let core = self.core.clone();
        actix_rt::spawn(async move {
            loop {
                match write.commit(&core.clients.store).await {
                    WriteOutcome::Done { .. } => break,
                    WriteOutcome::Conflict { current } => match current {
                        Some((current, version)) if rebase(&mut write, &current, version) => {}
                        // Another process resolved the job, such as a scheduler that considered this instance dead.
                        _ => break,
                    },
                    WriteOutcome::Unavailable | WriteOutcome::Unknown => actix_rt::time::sleep(RETRY_INTERVAL).await,
                }
            }
            core.pending_final_writes.set(core.pending_final_writes.get() - 1);
        });
    }
}

/// Rebases the final state on the current row, if that row ends with this attempt and is not final.
///
/// Any other attempt belongs to another instance, even if it follows this one in the row. Rebasing on it could mark the
/// attempt of an instance that took the job over as not started, and the job would run twice.
fn rebase(write: &mut JobWrite, current: &JobRow, version: u64) -> bool {
    if current.state.is_final() || current.digest != write.row.digest || !current.has_same_last_attempt(&write.row) {
        return false;
    }
    write.expected_version = version;
    true
}
