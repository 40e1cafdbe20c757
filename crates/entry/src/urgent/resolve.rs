use std::time::Duration;

use model::{Inventory, JobRow};
use trace::{Event, EventKind};

use super::attempt_record::{AttemptResult, apply_result};
use super::probe::{ProbeResult, probe_task};
use super::sent_attempt::SentAttempt;
use super::urgent_core::UrgentCore;
use crate::scheduling::JobWrite;

/// Poll interval once the caller has its reply.
const BACKGROUND_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Outcomes of attempts: asking workers for them and writing them.
impl UrgentCore {
    /// Polls the worker for the result of the task; `None` if it is unknown at `until_ms`.
    pub(super) async fn poll_task(
        &self,
        attempt: &SentAttempt,
        until_ms: u64,
        pause: Duration,
    ) -> Option<AttemptResult> {
        let SentAttempt { ticket, task, sent_ms } = attempt;
        loop {
            let base_url = self.address_of(&ticket.worker);
            let age_ms = self.shared.clock.now_ms().saturating_sub(*sent_ms);
            match probe_task(
                &self.clients.workers,
                &base_url,
                &ticket.worker,
                ticket.lease,
                task,
                age_ms,
            )
            .await
            {
                ProbeResult::Ended(report) => return Some(AttemptResult::from_report(*report)),
                ProbeResult::NotStarted => return Some(AttemptResult::NotStarted),
                ProbeResult::Unknown => return Some(AttemptResult::Unknown),
                ProbeResult::Running | ProbeResult::Unresponsive => {}
            }
            if self.shared.clock.now_ms() >= until_ms {
                return None;
            }
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Continues resolving the outcome after the caller was told that it is unknown.
    pub(super) fn resolve_later(&self, row: JobRow, version: u64, attempt: SentAttempt) {
        let Some(actor) = self.address.get().cloned() else {
            return;
        };
        actor.do_send(super::urgent_actor::ResolveLater { row, version, attempt });
    }

    pub(super) async fn resolve_in_background(&self, row: JobRow, version: u64, attempt: SentAttempt) {
        let until_ms = self.shared.clock.now_ms() + Inventory::RETENTION_MS;
        let attempt_result = self.poll_task(&attempt, until_ms, BACKGROUND_POLL_INTERVAL).await;
        self.write_final_state(row, version, &attempt_result.unwrap_or(AttemptResult::Unknown));
    }

    /// Writes the final state in the background; the caller has its answer, and the attempt record is durable.
    pub(super) fn write_final_state(&self, mut row: JobRow, version: u64, attempt_result: &AttemptResult) {
        let event = Event::new(EventKind::JobEnded).job(row.id());
        let (answer, charge) = apply_result(&mut row, attempt_result, Self::RETRY_AFTER_MS);
        self.shared.timeline.push(event.cause(format!("{:?}", row.state)));
        let mut write = self.job_write(row, version);
        write.answer = answer;
        write.charge = charge;
        if let Some(actor) = self.address.get() {
            self.pending_final_writes.set(self.pending_final_writes.get() + 1);
            actor.do_send(super::urgent_actor::WriteFinalState(Box::new(write)));
        }
    }

    pub(super) fn job_write(&self, row: JobRow, expected_version: u64) -> JobWrite {
        JobWrite {
            row,
            expected_version,
            answer: None,
            charge: None,
            data_centre: self.shared.settings.data_centre.clone(),
        }
    }
}
