use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::prelude::*;
use model::{Config, DataCentreId, InstanceId};
use net::peer::{FetchConfigRequest, PushConfigRequest};
use store::Listing;
use timer::{Subscribe, Tick, Timer};
use trace::{Event, EventKind};

use super::config_row::{self, conflict};
use super::{ConfigView, ServiceChange, ServiceState};
use crate::ApiError;
use crate::context::{Clients, Context as Shared};
use crate::members::PeerLinks;
use crate::scheduling::check_plan;

const POLL_TOPIC: u32 = 1;
const OVERLAY_TOPIC: u32 = 2;

/// Interval at which the overlays are recomputed; bounds the delay between a peer's heartbeat and its local out here.
const OVERLAY_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of calls that exchange configurations between peers.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of tries to take a data centre out or in while other operators change the configuration.
const MAX_SERVICE_CHANGE_TRIES: u32 = 8;

/// Actor that owns the configuration in force and accepts changes to it.
#[derive(Debug)]
pub(crate) struct ConfigActor {
    core: Rc<Core>,
    timer: Addr<Timer>,
}

#[derive(Debug)]
pub(super) struct Core {
    pub(super) shared: Shared,
    clients: Clients,
    pub(super) view: RefCell<ConfigView>,
    polling: Cell<bool>,
    pub(super) recording_local_out: Cell<bool>,
    failed_polls: Cell<u32>,
    pub(super) last_store_reply_ms: Cell<u64>,
}

/// Reads the recorded configuration that is in force at this instance.
#[derive(Debug, Message)]
#[rtype(result = "Result<Arc<Config>, ApiError>")]
pub(crate) struct ReadConfig;

/// Replaces the configuration if its recorded version is still `based_on`.
#[derive(Debug, Message)]
#[rtype(result = "Result<Arc<Config>, ApiError>")]
pub(crate) struct PutConfig {
    pub(crate) config: Config,
    pub(crate) based_on: model::ConfigVersion,
}

/// Takes a data centre out of service or back in.
#[derive(Debug, Message)]
#[rtype(result = "Result<ServiceChange, ApiError>")]
pub(crate) struct SetService {
    pub(crate) data_centre: DataCentreId,
    pub(crate) in_service: bool,
}

/// Applies an accepted configuration that a peer pushed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ApplyPushedConfig(pub(crate) Config);

/// Fetches the configuration and the list of workers from a peer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct FetchConfigFrom(pub(crate) InstanceId);

impl ConfigActor {
    pub(crate) fn new(shared: Shared, clients: Clients, timer: Addr<Timer>) -> Self {
        let core = Core {
            last_store_reply_ms: Cell::new(shared.clock.now_ms()),
            shared,
            clients,
            view: RefCell::default(),
            polling: Cell::new(false),
            recording_local_out: Cell::new(false),
            failed_polls: Cell::new(0),
        };
        Self {
            core: Rc::new(core),
            timer,
        }
    }
}

impl Core {
    /// Consecutive failed polls after which the store counts as unreachable; a single one may just be slow.
    const UNREACHABLE_AFTER_FAILED_POLLS: u32 = 2;

    pub(super) fn own_data_centre(&self) -> &DataCentreId {
        &self.shared.settings.data_centre
    }

    async fn poll(&self) {
        if self.polling.replace(true) {
            return;
        }
        if let Ok(found) = config_row::read(self.clients.store.as_ref()).await {
            self.failed_polls.set(0);
            self.last_store_reply_ms.set(self.shared.clock.now_ms());
            self.set_store_reachable(true);
            if let Some((config, _)) = found {
                self.apply(config);
            }
        } else {
            self.failed_polls.set(self.failed_polls.get() + 1);
            if self.failed_polls.get() >= Self::UNREACHABLE_AFTER_FAILED_POLLS {
                self.set_store_reachable(false);
            }
        }
        self.polling.set(false);
    }

    fn set_store_reachable(&self, reachable: bool) {
        self.shared.metrics.store_reachable.set(reachable.into());
        if self.shared.published.set_store_reachable(reachable) {
            let kind = if reachable {
                EventKind::StoreUp
            } else {
                EventKind::StoreDown
            };
            self.shared.timeline.push(Event::new(kind));
        }
    }

    fn apply(&self, config: Config) -> bool {
        let before = self.view.borrow().effective.clone();
        let version = config.version;
        if !self.view.borrow_mut().apply(config, self.own_data_centre()) {
            return false;
        }
        self.shared.metrics.config_version.set(version.0 as i64);
        let event = Event::new(EventKind::ConfigInForce).cause(format!("version {version}"));
        self.shared.timeline.push(event);
        self.publish(before.as_deref());
        true
    }

    /// Publishes the view and records in the timeline which data centres were taken out or in.
    pub(super) fn publish(&self, before: Option<&Config>) {
        let view = self.view.borrow().clone();
        if let Some(config) = &view.effective {
            for dc in &config.data_centres {
                let was_in_service = before.is_none_or(|before| before.is_in_service(&dc.id));
                if was_in_service != dc.in_service {
                    let kind = if dc.in_service {
                        EventKind::DataCentreIn
                    } else {
                        EventKind::DataCentreOut
                    };
                    self.shared.timeline.push(Event::new(kind).data_centre(dc.id.clone()));
                }
            }
        }
        self.shared.published.config.send_replace(Arc::new(view));
    }

    async fn put(&self, mut config: Config, based_on: model::ConfigVersion) -> Result<Arc<Config>, ApiError> {
        config.validate().map_err(policy::PlanError::from)?;
        let current = config_row::read(self.clients.store.as_ref()).await?;
        let current_version = current
            .as_ref()
            .map_or_else(Default::default, |(config, _)| config.version);
        if current_version != based_on {
            return Err(conflict(based_on, current.map(|(config, _)| config)));
        }
        config.version = based_on.next();
        let listing = self.shared.published.listing();
        let has_guarantees = config
            .organisations
            .iter()
            .any(|organisation| !organisation.guarantees.is_empty());
        if has_guarantees && listing.workers.is_empty() {
            return Err(ApiError::NotReady {
                reason: "guarantees cannot be checked before the platform's list of workers is known",
            });
        }
        let previous = current.as_ref().map(|(config, _)| config);
        check_plan(&listing, previous, &config)?;
        config_row::commit(
            self.clients.store.as_ref(),
            &config,
            current.map(|(_, version)| version),
        )
        .await?;
        Ok(self.apply_and_push(config))
    }

    /// Puts an accepted configuration in force here and pushes it to the peers.
    fn apply_and_push(&self, config: Config) -> Arc<Config> {
        let version = config.version;
        let event = Event::new(EventKind::ConfigAccepted).cause(format!("version {version}"));
        self.shared.timeline.push(event);
        self.apply(config.clone());
        let Ok(config_json) = serde_json::to_vec(&config) else {
            return Arc::new(config);
        };
        for peer in self.shared.links.addresses() {
            let (links, instance) = (self.shared.links.clone(), peer.instance.clone());
            let message = PushConfigRequest {
                config_json: config_json.clone(),
            };
            actix_rt::spawn(async move {
                // A peer that misses the push reads the row in its next poll or learns the version from a heartbeat.
                let push = |mut client: net::peer::peer_client::PeerClient<_>| async move {
                    client.push_config(PeerLinks::request(message, PEER_TIMEOUT)).await
                };
                let _ = links.call(&instance, PEER_TIMEOUT, push).await;
            });
        }
        Arc::new(config)
    }

    async fn set_service(&self, data_centre: &DataCentreId, in_service: bool) -> Result<ServiceChange, ApiError> {
        if *data_centre == *self.own_data_centre() && in_service {
            self.end_local_out()?;
        }
        match self.record_service(data_centre, in_service).await {
            Err(ApiError::StoreUnavailable { .. } | ApiError::WriteUnknown)
                if *data_centre == *self.own_data_centre() =>
            {
                self.set_service_locally(data_centre, in_service)
            }
            recorded => recorded,
        }
    }

    pub(super) async fn record_service(
        &self,
        data_centre: &DataCentreId,
        in_service: bool,
    ) -> Result<ServiceChange, ApiError> {
        let mut last_error = ApiError::Internal;
        for _ in 0..MAX_SERVICE_CHANGE_TRIES {
            let unknown = || ApiError::UnknownDataCentre {
                data_centre: data_centre.clone(),
            };
            let (mut config, row_version) = config_row::read(self.clients.store.as_ref())
                .await?
                .ok_or_else(unknown)?;
            let dc = config
                .data_centres
                .iter_mut()
                .find(|dc| dc.id == *data_centre)
                .ok_or_else(unknown)?;
            let changed = dc.in_service != in_service;
            dc.in_service = in_service;
            let change = |version| ServiceChange {
                data_centre: data_centre.clone(),
                in_service,
                version,
                state: ServiceState::Recorded,
            };
            if !changed {
                let version = config.version;
                self.apply(config);
                return Ok(change(version));
            }
            config.version = config.version.next();
            match config_row::commit(self.clients.store.as_ref(), &config, Some(row_version)).await {
                Ok(()) => return Ok(change(self.apply_and_push(config).version)),
                Err(error @ ApiError::ConfigConflict { .. }) => last_error = error,
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }

    async fn fetch_config_from(&self, instance: InstanceId) {
        let message = FetchConfigRequest {
            above_version: self.view.borrow().version().0,
        };
        let fetch = |mut client: net::peer::peer_client::PeerClient<_>| async move {
            client.fetch_config(PeerLinks::request(message, PEER_TIMEOUT)).await
        };
        let Ok(reply) = self.shared.links.call(&instance, PEER_TIMEOUT, fetch).await else {
            return;
        };
        if let Ok(listing) = serde_json::from_slice::<Listing>(&reply.listing_json)
            && self.shared.published.listing().workers.is_empty()
        {
            self.shared.published.listing.send_replace(Arc::new(listing));
        }
        if let Ok(config) = serde_json::from_slice::<Config>(&reply.config_json) {
            self.apply(config);
        }
    }
}

impl Actor for ConfigActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let interval = Duration::from_millis(self.core.shared.settings.config_poll_interval_ms);
        let recipient = ctx.address().recipient();
        self.timer
            .do_send(Subscribe::every(interval, recipient.clone()).topic(POLL_TOPIC));
        self.timer
            .do_send(Subscribe::every(OVERLAY_INTERVAL, recipient).topic(OVERLAY_TOPIC));
        let core = self.core.clone();
        ctx.spawn(async move { core.poll().await }.into_actor(self));
    }
}

impl Handler<Tick> for ConfigActor {
    type Result = ();

    fn handle(&mut self, tick: Tick, ctx: &mut Self::Context) {
        if self.core.shared.published.is_stopped() {
            ctx.stop();
            return;
        }
        let core = self.core.clone();
        if tick.topic == POLL_TOPIC {
            ctx.spawn(async move { core.poll().await }.into_actor(self));
        } else {
            core.refresh_overlay();
            ctx.spawn(async move { core.record_local_out().await }.into_actor(self));
        }
    }
}

impl Handler<ReadConfig> for ConfigActor {
    type Result = Result<Arc<Config>, ApiError>;

    fn handle(&mut self, _: ReadConfig, _: &mut Self::Context) -> Self::Result {
        let no_configuration = model::Refusal::NoConfiguration {
            retry_after_ms: config_row::STORE_RETRY_AFTER_MS,
        };
        self.core
            .view
            .borrow()
            .recorded
            .clone()
            .ok_or(ApiError::Refused(no_configuration))
    }
}

impl Handler<PutConfig> for ConfigActor {
    type Result = ResponseFuture<Result<Arc<Config>, ApiError>>;

    fn handle(&mut self, message: PutConfig, _: &mut Self::Context) -> Self::Result {
        let core = self.core.clone();
        Box::pin(async move { core.put(message.config, message.based_on).await })
    }
}

impl Handler<SetService> for ConfigActor {
    type Result = ResponseFuture<Result<ServiceChange, ApiError>>;

    fn handle(&mut self, message: SetService, _: &mut Self::Context) -> Self::Result {
        let core = self.core.clone();
        Box::pin(async move { core.set_service(&message.data_centre, message.in_service).await })
    }
}

impl Handler<ApplyPushedConfig> for ConfigActor {
    type Result = ();

    fn handle(&mut self, ApplyPushedConfig(config): ApplyPushedConfig, _: &mut Self::Context) {
        self.core.apply(config);
    }
}

impl Handler<FetchConfigFrom> for ConfigActor {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, FetchConfigFrom(instance): FetchConfigFrom, _: &mut Self::Context) -> Self::Result {
        let core = self.core.clone();
        Box::pin(async move { core.fetch_config_from(instance).await })
    }
}
