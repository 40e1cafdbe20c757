use actix_web::HttpResponse;
use actix_web::web::{Data, Json, JsonConfig, Path, Query, ServiceConfig, get, post};
use model::{LeaseRequest, RenewRequest, StartRequest, WorkerId};
use net::{FenceRequest, PingReply, RevokeRequest, TaskCommand, ThrottleRequest};
use serde::Deserialize;

use super::workers_shared::{Shared, ok};
use crate::WorkerFaultRequest;
use crate::request_error::RequestError;

type Reply = Result<HttpResponse, RequestError>;

#[derive(Debug, Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

pub(super) fn routes(config: &mut ServiceConfig) {
    config
        .app_data(JsonConfig::default().limit(64 << 20))
        .route("/v1/topology", get().to(topology))
        .route("/v1/log", get().to(log))
        .route("/v1/faults", post().to(set_faults))
        .route("/v1/workers/{worker}/fence", post().to(fence))
        .route("/v1/workers/{worker}/lease", post().to(lease))
        .route("/v1/workers/{worker}/start", post().to(start))
        .route("/v1/workers/{worker}/run", post().to(run))
        .route("/v1/workers/{worker}/renew", post().to(renew))
        .route("/v1/workers/{worker}/stop", post().to(stop))
        .route("/v1/workers/{worker}/checkpoint", post().to(checkpoint))
        .route("/v1/workers/{worker}/throttle", post().to(throttle))
        .route("/v1/workers/{worker}/revoke", post().to(revoke))
        .route("/v1/workers/{worker}/inventory", get().to(inventory))
        .route("/v1/workers/{worker}/usage", get().to(usage))
        .route("/v1/workers/{worker}/ping", get().to(ping));
}

async fn topology(shared: Data<Shared>) -> HttpResponse {
    ok(&shared.topology)
}

async fn log(shared: Data<Shared>, query: Query<AfterQuery>) -> HttpResponse {
    ok(shared.log(query.after))
}

async fn set_faults(shared: Data<Shared>, request: Json<WorkerFaultRequest>) -> HttpResponse {
    match shared.set_faults(&request) {
        0 => HttpResponse::NotFound().finish(),
        _ => HttpResponse::Ok().finish(),
    }
}

async fn fence(shared: Data<Shared>, worker: Path<WorkerId>, request: Json<FenceRequest>) -> Reply {
    shared
        .command(&worker, |state, now_ms, _| state.fence(request.epoch, now_ms))
        .await
        .map(ok)
}

async fn lease(shared: Data<Shared>, worker: Path<WorkerId>, request: Json<LeaseRequest>) -> Reply {
    shared
        .command(&worker, |state, now_ms, _| state.lease(&request, now_ms))
        .await
        .map(ok)
}

async fn start(shared: Data<Shared>, worker: Path<WorkerId>, request: Json<StartRequest>) -> Reply {
    shared
        .command(&worker, |state, now_ms, log| state.start(&request, now_ms, log))
        .await
        .map(ok)
}

async fn run(shared: Data<Shared>, worker: Path<WorkerId>, request: Json<StartRequest>) -> Reply {
    shared
        .command(&worker, |state, now_ms, log| state.start(&request, now_ms, log))
        .await?;
    match shared.wait_for_end(&worker, &request.task).await {
        Some(report) => Ok(ok(report)),
        // The worker was killed: the connection closes before the end of the reply.
        None => Err(RequestError::CutOff),
    }
}

async fn renew(shared: Data<Shared>, worker: Path<WorkerId>, request: Json<RenewRequest>) -> Reply {
    shared
        .command(&worker, |state, now_ms, _| state.renew(&request, now_ms))
        .await
        .map(ok)
}

async fn stop(shared: Data<Shared>, worker: Path<WorkerId>, request: Json<TaskCommand>) -> Reply {
    shared
        .command(&worker, |state, now_ms, log| state.stop(&request, now_ms, log))
        .await
        .map(ok)
}

async fn checkpoint(shared: Data<Shared>, worker: Path<WorkerId>, request: Json<TaskCommand>) -> Reply {
    let report = shared
        .command(&worker, |state, now_ms, log| state.checkpoint(&request, now_ms, log))
        .await?;
    match report {
        Some(report) => Ok(ok(report)),
        None => Err(RequestError::NotCheckpointable),
    }
}

async fn throttle(shared: Data<Shared>, worker: Path<WorkerId>, request: Json<ThrottleRequest>) -> Reply {
    shared
        .command(&worker, |state, now_ms, _| state.throttle(&request, now_ms))
        .await
        .map(ok)
}

async fn revoke(shared: Data<Shared>, worker: Path<WorkerId>, request: Json<RevokeRequest>) -> Reply {
    shared
        .command(&worker, |state, now_ms, log| state.revoke(&request, now_ms, log))
        .await
        .map(ok)
}

async fn inventory(shared: Data<Shared>, worker: Path<WorkerId>) -> Reply {
    shared
        .command(&worker, |state, now_ms, _| Ok(state.inventory(now_ms)))
        .await
        .map(ok)
}

async fn usage(shared: Data<Shared>, worker: Path<WorkerId>, query: Query<AfterQuery>) -> Reply {
    let lag_ms = shared.usage_lag_ms;
    shared
        .command(&worker, |state, now_ms, _| Ok(state.usage(query.after, now_ms, lag_ms)))
        .await
        .map(ok)
}

async fn ping(shared: Data<Shared>, worker: Path<WorkerId>) -> Reply {
    let reply = shared.command(&worker, |state, _, _| {
        Ok(PingReply {
            worker: state.id.clone(),
            epoch: state.epoch(),
            leaving: state.faults.leaving,
        })
    });
    reply.await.map(ok)
}
