use std::time::Duration;

use actix::Addr;
use model::{Config, JobId, JobRow, JobSpec};
use net::peer::peer_server::Peer;
use net::peer::{
    AwaitJobReply, AwaitJobRequest, CancelJobReply, CancelJobRequest, FetchConfigReply, FetchConfigRequest,
    FetchTimelineReply, FetchTimelineRequest, HeartbeatReply, HeartbeatRequest, PushConfigReply, PushConfigRequest,
    RunUrgentReply, RunUrgentRequest, SubmitJobReply, SubmitJobRequest, UpdateGrantsReply, UpdateGrantsRequest,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tonic::{Request, Response, Status};

use super::{Heartbeat, Members, peer_state, peer_view};
use crate::config::{ApplyPushedConfig, ConfigActor};
use crate::context::Context;
use crate::scheduling::{Await, CancelJob, Drivers, Submit};
use crate::urgent::{RunUrgent, UpdateGrants, UrgentActor};

/// gRPC interface for other instances; converts messages and forwards them to the actors.
#[derive(Debug)]
pub(crate) struct PeerServer {
    pub(crate) context: Context,
    pub(crate) members: Addr<Members>,
    pub(crate) config: Addr<ConfigActor>,
    pub(crate) urgent: Addr<UrgentActor>,
    pub(crate) drivers: Drivers,
}

#[tonic::async_trait]
impl Peer for PeerServer {
    async fn heartbeat(&self, request: Request<HeartbeatRequest>) -> Result<Response<HeartbeatReply>, Status> {
        let request = request.into_inner();
        let sender = request
            .sender
            .ok_or_else(|| Status::invalid_argument("sender is missing"))?;
        let heartbeat = Heartbeat {
            sender: peer_view(&sender).map_err(invalid_argument)?,
            // A state whose id only a newer release accepts is skipped instead of rejecting the whole heartbeat.
            relayed: request
                .relayed
                .iter()
                .filter_map(|state| peer_view(state).ok())
                .collect(),
        };
        let reply = self.members.send(heartbeat).await.map_err(unavailable)?;
        let reply = reply.map_err(|()| Status::internal("heartbeat was not taken"))?;
        Ok(Response::new(HeartbeatReply {
            receiver: Some(peer_state(&reply.sender)),
            relayed: reply.relayed.iter().map(peer_state).collect(),
        }))
    }

    async fn fetch_config(&self, request: Request<FetchConfigRequest>) -> Result<Response<FetchConfigReply>, Status> {
        let published = &self.context.published;
        let recorded = published.config().recorded.clone();
        let newer = recorded.filter(|config| config.version.0 > request.into_inner().above_version);
        Ok(Response::new(FetchConfigReply {
            config_json: newer
                .map(|config| json(config.as_ref()))
                .transpose()?
                .unwrap_or_default(),
            listing_json: json(published.listing().as_ref())?,
        }))
    }

    async fn push_config(&self, request: Request<PushConfigRequest>) -> Result<Response<PushConfigReply>, Status> {
        let config: Config = parse(&request.into_inner().config_json)?;
        self.config.send(ApplyPushedConfig(config)).await.map_err(unavailable)?;
        Ok(Response::new(PushConfigReply {
            version_in_force: self.context.published.config().version().0,
        }))
    }

    async fn submit_job(&self, request: Request<SubmitJobRequest>) -> Result<Response<SubmitJobReply>, Status> {
        let request = request.into_inner();
        let row: JobRow = parse(&request.row_json)?;
        let holder = self.context.published.holder(&row.data_centre);
        let accepted = match self.drivers.get(&row.data_centre) {
            Some(driver) => {
                let submit = Submit {
                    row: Box::new(row),
                    version: request.row_version,
                };
                driver.send(submit).await.map_err(unavailable)?
            }
            None => false,
        };
        Ok(Response::new(SubmitJobReply {
            accepted,
            holder: holder.map(|holder| holder.instance.to_string()).unwrap_or_default(),
        }))
    }

    async fn await_job(&self, request: Request<AwaitJobRequest>) -> Result<Response<AwaitJobReply>, Status> {
        let request = request.into_inner();
        let job: JobId = request.job.parse().map_err(invalid_argument)?;
        let wait = Duration::from_millis(request.wait_ms.min(self.context.settings.max_wait_ms));
        for driver in self.drivers.all() {
            let job = job.clone();
            if let Some(outcome) = driver.send(Await { job, wait }).await.map_err(unavailable)? {
                return Ok(Response::new(AwaitJobReply {
                    known: true,
                    outcome_json: json(&outcome)?,
                }));
            }
        }
        Ok(Response::new(AwaitJobReply::default()))
    }

    async fn cancel_job(&self, request: Request<CancelJobRequest>) -> Result<Response<CancelJobReply>, Status> {
        let job: JobId = request.into_inner().job.parse().map_err(invalid_argument)?;
        let mut known = false;
        for driver in self.drivers.all() {
            known |= driver.send(CancelJob(job.clone())).await.map_err(unavailable)?;
        }
        Ok(Response::new(CancelJobReply { known }))
    }

    async fn run_urgent(&self, request: Request<RunUrgentRequest>) -> Result<Response<RunUrgentReply>, Status> {
        let request = request.into_inner();
        let spec: JobSpec = parse(&request.spec_json)?;
        let run = RunUrgent {
            spec,
            deadline_ms: request.deadline_ms.min(self.context.settings.max_wait_ms),
            hops: request.hops,
        };
        let outcome = self.urgent.send(run).await.map_err(unavailable)?;
        Ok(Response::new(RunUrgentReply {
            outcome_json: json(&outcome)?,
        }))
    }

    async fn update_grants(
        &self,
        request: Request<UpdateGrantsRequest>,
    ) -> Result<Response<UpdateGrantsReply>, Status> {
        let update = UpdateGrants(request.into_inner());
        Ok(Response::new(self.urgent.send(update).await.map_err(unavailable)?))
    }

    async fn fetch_timeline(
        &self,
        request: Request<FetchTimelineRequest>,
    ) -> Result<Response<FetchTimelineReply>, Status> {
        let records = self.context.timeline.after(request.into_inner().after_sequence);
        Ok(Response::new(FetchTimelineReply {
            records_json: json(&records)?,
        }))
    }
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Status> {
    serde_json::from_slice(bytes).map_err(invalid_argument)
}

fn json(value: &impl Serialize) -> Result<Vec<u8>, Status> {
    serde_json::to_vec(value).map_err(|error| Status::internal(error.to_string()))
}

fn invalid_argument(error: impl std::fmt::Display) -> Status {
    Status::invalid_argument(error.to_string())
}

fn unavailable(error: actix::MailboxError) -> Status {
    Status::unavailable(error.to_string())
}
