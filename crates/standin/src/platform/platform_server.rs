use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use actix_web::HttpResponse;
use actix_web::web::{Bytes, Data, Json, JsonConfig, Path, PayloadConfig, Query, ServiceConfig, get, post, put};
use serde::Deserialize;
use store::{Listing, Txn, TxnReply};

use super::platform_state::PlatformState;
use super::{PlatformFaults, PlatformOptions};
use crate::request_error::RequestError;
use crate::running_server::serve;
use crate::{RunningServer, StandinError};

/// Stand-in for the platform.
#[derive(Debug)]
pub struct Platform;

#[derive(Debug)]
struct Shared {
    state: Mutex<PlatformState>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Access {
    Read,
    Write,
}

#[derive(Debug, Deserialize)]
struct ScanQuery {
    prefix: String,
    #[serde(default)]
    after: String,
    #[serde(default = "ScanQuery::default_limit")]
    limit: usize,
}

impl Platform {
    /// Starts the platform with empty tables.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if the list cannot be read or the server cannot listen on the address.
    pub fn start(options: &PlatformOptions) -> Result<RunningServer, StandinError> {
        const THREADS: usize = 2;
        let first_list = match &options.list {
            None => Listing::default(),
            Some(path) => {
                let text = std::fs::read(path).map_err(|source| StandinError::ReadList {
                    path: path.clone(),
                    source,
                })?;
                serde_json::from_slice(&text).map_err(|source| StandinError::ParseList {
                    path: path.clone(),
                    source,
                })?
            }
        };
        let shared = Data::new(Shared {
            state: Mutex::new(PlatformState::new(options, first_list)),
        });
        serve(options.address, THREADS, move |config| {
            config.app_data(Data::clone(&shared)).configure(routes);
        })
    }
}

impl ScanQuery {
    const fn default_limit() -> usize {
        1000
    }
}

impl Shared {
    /// Longest time that a request is held during an outage; far longer than the time-outs of senders.
    const MAX_HOLD: Duration = Duration::from_secs(30);

    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> PlatformFaults {
        self.state().faults
    }

    /// Applies the faults and rate limits that act before a request takes effect.
    async fn admit(&self, access: Access) -> Result<(), RequestError> {
        let is_within_limit = match access {
            Access::Read => self.state().admit_read(),
            Access::Write => self.state().admit_write(),
        };
        let faults = self.faults();
        if faults.outage {
            let until = Instant::now() + Self::MAX_HOLD;
            while self.faults().outage && Instant::now() < until {
                sleep(Duration::from_millis(20)).await;
            }
            return Err(RequestError::CutOff);
        }
        if faults.refuse || !is_within_limit {
            return Err(RequestError::Unavailable);
        }
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        Ok(())
    }

    /// Replies to a write that took effect, unless a fault drops the reply.
    async fn reply_to_write(&self, reply: HttpResponse) -> Result<HttpResponse, RequestError> {
        if !self.state().count_reply() {
            return Ok(reply);
        }
        sleep(Duration::from_millis(self.faults().lose_hang_ms)).await;
        Err(RequestError::CutOff)
    }
}

fn routes(config: &mut ServiceConfig) {
    const MAX_BODY_BYTES: usize = 256 << 20;
    config
        .app_data(JsonConfig::default().limit(MAX_BODY_BYTES))
        .app_data(PayloadConfig::new(MAX_BODY_BYTES))
        .route("/v1/table/txn", post().to(commit))
        .route("/v1/table/rows", get().to(scan))
        .route("/v1/table/rows/{key:.*}", get().to(read))
        .route("/v1/objects/{key:.*}", get().to(read_object))
        .route("/v1/objects/{key:.*}", put().to(write_object))
        .route("/v1/instances", get().to(list))
        .route("/v1/instances", post().to(register))
        .route("/v1/faults", get().to(faults))
        .route("/v1/faults", post().to(set_faults))
        .route("/v1/stats", get().to(stats));
}

async fn commit(shared: Data<Shared>, txn: Json<Txn>) -> Result<HttpResponse, RequestError> {
    shared.admit(Access::Write).await?;
    if txn.puts.len() > Txn::MAX_PUTS {
        return Err(RequestError::TooManyPuts);
    }
    let versions = shared.state().commit(&txn).map_err(RequestError::Conflict)?;
    shared
        .reply_to_write(HttpResponse::Ok().json(TxnReply { versions }))
        .await
}

async fn scan(shared: Data<Shared>, query: Query<ScanQuery>) -> Result<HttpResponse, RequestError> {
    shared.admit(Access::Read).await?;
    let rows = shared.state().scan(&query.prefix, &query.after, query.limit);
    Ok(HttpResponse::Ok().json(rows))
}

async fn read(shared: Data<Shared>, key: Path<String>) -> Result<HttpResponse, RequestError> {
    shared.admit(Access::Read).await?;
    match shared.state().row(&key) {
        Some(row) => Ok(HttpResponse::Ok().json(row)),
        None => Err(RequestError::NotFound),
    }
}

async fn read_object(shared: Data<Shared>, key: Path<String>) -> Result<HttpResponse, RequestError> {
    shared.admit(Access::Read).await?;
    match shared.state().objects.get(&*key) {
        Some(body) => Ok(HttpResponse::Ok().body(body.clone())),
        None => Err(RequestError::NotFound),
    }
}

async fn write_object(shared: Data<Shared>, key: Path<String>, body: Bytes) -> Result<HttpResponse, RequestError> {
    shared.admit(Access::Write).await?;
    shared.state().objects.insert(key.into_inner(), body);
    shared.reply_to_write(HttpResponse::Ok().finish()).await
}

async fn list(shared: Data<Shared>) -> Result<HttpResponse, RequestError> {
    shared.admit(Access::Read).await?;
    let listing = shared.state().listing();
    Ok(HttpResponse::Ok().json(listing))
}

async fn register(shared: Data<Shared>, listing: Json<Listing>) -> Result<HttpResponse, RequestError> {
    let faults = shared.faults();
    if faults.outage || faults.refuse {
        return Err(RequestError::Unavailable);
    }
    shared.state().register(listing.into_inner());
    Ok(HttpResponse::Ok().finish())
}

async fn faults(shared: Data<Shared>) -> Json<PlatformFaults> {
    Json(shared.faults())
}

async fn set_faults(shared: Data<Shared>, faults: Json<PlatformFaults>) -> Json<PlatformFaults> {
    shared.state().faults = *faults;
    faults
}

async fn stats(shared: Data<Shared>) -> HttpResponse {
    let stats = shared.state().stats();
    HttpResponse::Ok().json(stats)
}
