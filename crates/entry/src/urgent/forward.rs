use std::time::Duration;

use model::{DataCentreId, InstanceId, JobRow, JobState, Outcome, Refusal};
use net::peer::RunUrgentRequest;
use rand::seq::IndexedRandom;
use sched::WriteOutcome;
use store::Table;

use super::desk::{Desk, UrgentJob};
use crate::members::{PeerLinks, PeerView};
use crate::scheduling::JobWrite;

/// Time beyond the deadline that the receiver of a forwarded request gets for its reply.
const REPLY_MARGIN_MS: u64 = 200;
/// Interval of looking at the row while the outcome of a forwarded request is unknown.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// Forwarding of urgent requests to other instances.
impl Desk {
    /// Passes the request to an instance with free grants: first in this data centre, then in others.
    ///
    /// Returns `None` if no instance took it, so that it may still be served here.
    pub(super) async fn forward(&self, job: &UrgentJob) -> Option<Outcome> {
        if job.hops >= Self::MAX_HOPS {
            return None;
        }
        let instance = self.target()?;
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
            Some(Outcome::DidNotRun { refusal }) if is_of_receiver(&refusal) => None,
            Some(outcome) => Some(outcome),
            None if job.spec.idempotent => None,
            None => Some(self.settle(job).await),
        }
    }

    /// Chooses at random among the instances with free grants, so that not all requests go to the same one.
    fn target(&self) -> Option<InstanceId> {
        let members = self.shared.published.members();
        let config = self.shared.published.config();
        let own: &DataCentreId = &self.shared.settings.data_centre;
        let free: Vec<&PeerView> = members
            .peers
            .iter()
            .filter(|peer| peer.takes_requests() && peer.granted_slots > peer.busy_slots)
            .filter(|peer| config.is_in_service(&peer.data_centre) && !peer.local_out)
            .collect();
        let near: Vec<&PeerView> = free.iter().copied().filter(|peer| peer.data_centre == *own).collect();
        let choice = if near.is_empty() { &free } else { &near };
        choice.choose(&mut rand::rng()).map(|peer| peer.instance.clone())
    }

    /// Finds out what became of a forwarded non-idempotent request whose reply was lost.
    ///
    /// The receiver records the attempt before it dispatches it. If there is no record, a record that the job did not run
    /// is inserted in its place, and the receiver's own insertion fails from then on.
    async fn settle(&self, job: &UrgentJob) -> Outcome {
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
            actix_rt::time::sleep(LOOK_AGAIN).await;
        }
    }

    async fn insert_did_not_run(&self, job: &UrgentJob) -> Option<Outcome> {
        let refusal = Refusal::NotStarted {
            retry_after_ms: Self::RETRY_MS,
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

/// Returns whether a refusal says something about the receiver only, and not about the request.
const fn is_of_receiver(refusal: &Refusal) -> bool {
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
