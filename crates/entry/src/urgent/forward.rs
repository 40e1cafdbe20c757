use std::time::Duration;

use model::{DataCentreId, InstanceId, JobRow, JobState, Outcome, Refusal};
use net::peer::RunUrgentRequest;
use rand::seq::IndexedRandom;
use sched::WriteOutcome;
use store::Table;

use super::urgent_core::{UrgentCore, UrgentJob};
use crate::members::{PeerLinks, PeerView};
use crate::scheduling::JobWrite;

/// Time beyond the deadline that the receiver of a forwarded request has for its reply.
const REPLY_MARGIN_MS: u64 = 200;
/// Poll interval of the row while the outcome of a forwarded request is unknown.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Forwarding of urgent requests to other instances.
impl UrgentCore {
    /// Forwards the request to an instance with free grants, in this data centre if there is one.
    ///
    /// Returns `None` if no instance accepted it, so that it may still be served here.
    pub(super) async fn forward(&self, job: &UrgentJob) -> Option<Outcome> {
        if job.hops >= Self::MAX_HOPS {
            return None;
        }
        let instance = self.choose_instance()?;
        self.shared.metrics.urgent_forwards.inc();
        let left_ms = self.left_ms(job);
        let request = RunUrgentRequest {
            spec_json: serde_json::to_vec(&job.spec).ok()?,
            deadline_ms: left_ms,
            hops: job.hops + 1,
        };
        let limit = Duration::from_millis(left_ms + REPLY_MARGIN_MS);
        let run = |mut client: net::peer::peer_client::PeerClient<_>| async move {
            client.run_urgent(PeerLinks::request(request, limit)).await
        };
        let outcome = match self.shared.links.call(&instance, limit, run).await {
            Ok(reply) => serde_json::from_slice(&reply.outcome_json).ok(),
            Err(_) => None,
        };
        match outcome {
            // The receiver proved that nothing ran, so the request may be served here.
            Some(Outcome::DidNotRun { refusal }) if is_receiver_specific(&refusal) => None,
            Some(outcome) => Some(outcome),
            None if job.spec.idempotent => {
                job.may_have_run.set(true);
                None
            }
            None => Some(self.resolve_lost_reply(job).await),
        }
    }

    /// Chooses at random among the instances with free grants, so that not all requests go to the same one.
    fn choose_instance(&self) -> Option<InstanceId> {
        let members = self.shared.published.members();
        let config = self.shared.published.config();
        let own: &DataCentreId = &self.shared.settings.data_centre;
        let free: Vec<&PeerView> = members
            .peers
            .iter()
            .filter(|peer| peer.takes_requests() && peer.granted_slots > peer.busy_slots)
            .filter(|peer| config.is_in_service(&peer.data_centre) && !peer.local_out)
            .collect();
        let same_data_centre: Vec<&PeerView> = free.iter().copied().filter(|peer| peer.data_centre == *own).collect();
        let choice = if same_data_centre.is_empty() {
            &free
        } else {
            &same_data_centre
        };
        choice.choose(&mut rand::rng()).map(|peer| peer.instance.clone())
    }

    /// Resolves the outcome of a forwarded non-idempotent request whose reply was lost.
    ///
    /// The receiver records the attempt before it dispatches it. If there is no record, this inserts one that the job
    /// did not run, so that a later insertion by the receiver fails.
    async fn resolve_lost_reply(&self, job: &UrgentJob) -> Outcome {
        let id = job.spec.id();
        loop {
            match self.clients.store.read(&JobRow::key_of(&id)).await {
                Ok(Some(row)) => {
                    if let Ok(row) = serde_json::from_value::<JobRow>(row.value)
                        && let Some(outcome) = crate::jobs::outcome_of_row(self.clients.store.as_ref(), &row).await
                    {
                        return outcome;
                    }
                }
                Ok(None) => {
                    if let Some(outcome) = self.insert_did_not_run(job).await {
                        return outcome;
                    }
                }
                Err(_) => {}
            }
            if self.left_ms(job) == 0 {
                return Outcome::Indeterminate;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn insert_did_not_run(&self, job: &UrgentJob) -> Option<Outcome> {
        let refusal = Refusal::NotStarted {
            retry_after_ms: Self::RETRY_AFTER_MS,
        };
        let data_centre = self.shared.settings.data_centre.clone();
        let mut row = JobRow::new(job.spec.clone(), data_centre.clone(), self.shared.clock.now_unix_ms());
        row.state = JobState::DidNotRun;
        row.refusal = Some(refusal.clone());
        let write = JobWrite {
            row,
            expected_version: 0,
            answer: None,
            charge: None,
            data_centre,
        };
        match write.commit(&self.clients.store).await {
            WriteOutcome::Done { .. } => Some(Outcome::DidNotRun { refusal }),
            _ => None,
        }
    }
}

/// Returns whether a refusal concerns only the receiver and not the request.
const fn is_receiver_specific(refusal: &Refusal) -> bool {
    matches!(
        refusal,
        Refusal::QueueFull { .. }
            | Refusal::DeadlinePassed
            | Refusal::NoDataCentre { .. }
            | Refusal::StoreUnavailable { .. }
            | Refusal::NoConfiguration { .. }
            | Refusal::Stopping
            | Refusal::NotStarted { .. }
    )
}
