use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::prelude::*;
use model::{DataCentreId, InstanceId};
use net::peer::{HeartbeatReply, HeartbeatRequest};
use store::{Directory, Listing};
use timer::{Subscribe, Tick, Timer};
use trace::{Event, EventKind};

use super::liveness::{draining_workers, peer_status, record_change};
use super::{MemberView, PeerLinks, PeerStatus, PeerView, peer_state, peer_view};
use crate::config::{ConfigActor, FetchConfigFrom};
use crate::context::{Clients, Context as Shared};

const HEARTBEAT_TOPIC: u32 = 1;
const LISTING_TOPIC: u32 = 2;

/// Actor that exchanges heartbeats with the peers and reads the platform's list of instances and workers.
#[derive(Debug)]
pub(crate) struct Members {
    shared: Shared,
    clients: Clients,
    timer: Addr<Timer>,
    config: Addr<ConfigActor>,
    heartbeat: u64,
    known: BTreeMap<InstanceId, KnownPeer>,
    fetching: bool,
    listing_in_flight: bool,
}

/// Peer with the time of its last known heartbeat.
#[derive(Debug)]
struct KnownPeer {
    view: PeerView,
    /// Monotonic time of the last heartbeat, received or relayed; `None` if there was none.
    last_heartbeat_ms: Option<u64>,
}

/// Heartbeat of a peer with the states of other instances that it relays; the reply has the same form.
#[derive(Debug, Message)]
#[rtype(result = "Result<Heartbeat, ()>")]
pub(crate) struct Heartbeat {
    pub(crate) sender: PeerView,
    pub(crate) relayed: Vec<PeerView>,
}

impl Members {
    pub(crate) fn new(shared: Shared, clients: Clients, timer: Addr<Timer>, config: Addr<ConfigActor>) -> Self {
        let known = shared.links.addresses().map(|peer| {
            let view = PeerView {
                instance: peer.instance.clone(),
                data_centre: peer.data_centre.clone(),
                status: PeerStatus::Dead,
                age_ms: 0,
                config_version: model::ConfigVersion(0),
                started_unix_ms: 0,
                heartbeat: 0,
                stopping: false,
                store_reachable: false,
                scheduler_of: None,
                granted_slots: 0,
                busy_slots: 0,
                local_out: false,
                free_accelerators: 0,
            };
            (
                peer.instance.clone(),
                KnownPeer {
                    view,
                    last_heartbeat_ms: None,
                },
            )
        });
        Self {
            known: known.collect(),
            shared,
            clients,
            timer,
            config,
            heartbeat: 0,
            fetching: false,
            listing_in_flight: false,
        }
    }

    /// Returns the state of this instance for its next heartbeat.
    fn own_state(&self) -> PeerView {
        let published = &self.shared.published;
        let settings = &self.shared.settings;
        let config = published.config();
        let holders = published.holders.borrow();
        let is_held = |dc: &DataCentreId| {
            holders
                .get(dc)
                .is_some_and(|holder| holder.instance == settings.instance)
        };
        let scheduler_of = Some(&settings.data_centre)
            .filter(|dc| is_held(dc))
            .or_else(|| holders.keys().find(|dc| is_held(dc)))
            .map(|dc| (dc.clone(), holders[dc].epoch));
        let free = published.free_accelerators.borrow();
        let (granted_slots, busy_slots) = *published.granted_slots.borrow();
        PeerView {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            status: PeerStatus::Live,
            age_ms: 0,
            config_version: config.version(),
            started_unix_ms: self.shared.clock.started_unix_ms(),
            heartbeat: self.heartbeat,
            stopping: published.is_stopping(),
            store_reachable: published.is_store_reachable(),
            free_accelerators: scheduler_of
                .as_ref()
                .and_then(|(dc, _)| free.get(dc).copied())
                .unwrap_or(0),
            scheduler_of,
            granted_slots,
            busy_slots,
            local_out: config.local_out,
        }
    }

    /// Returns whether this instance is the delegate of its data centre: no live peer there has a lower id.
    fn is_delegate(&self) -> bool {
        let settings = &self.shared.settings;
        self.shared
            .published
            .members()
            .delegate(&settings.data_centre)
            .is_none_or(|peer| settings.instance < peer.instance)
    }

    /// Returns the states that this instance relays to a peer in `data_centre`.
    ///
    /// The delegate relays the states of other data centres to its own, and those of its own to the others. A reply to
    /// another data centre always includes the states of this one, so that a sender that mistook this instance for the
    /// delegate learns which instance it is.
    fn relayed_to(&self, data_centre: &DataCentreId, is_reply: bool) -> Vec<PeerView> {
        let own = &self.shared.settings.data_centre;
        let is_local = data_centre == own;
        if !self.is_delegate() && (is_local || !is_reply) {
            return Vec::new();
        }
        let now_ms = self.shared.clock.now_ms();
        let max_age_ms = self.shared.settings.peer_dead_ms;
        self.known
            .values()
            .filter(|known| (known.view.data_centre == *own) != is_local)
            .filter_map(|known| {
                let age_ms = now_ms.saturating_sub(known.last_heartbeat_ms?);
                (age_ms < max_age_ms).then(|| PeerView {
                    age_ms,
                    ..known.view.clone()
                })
            })
            .collect()
    }

    /// Returns the peers that get a heartbeat: all of this data centre, and the delegate of each other one.
    fn targets(&self) -> Vec<(InstanceId, DataCentreId)> {
        let own = &self.shared.settings.data_centre;
        let members = self.shared.published.members();
        let mut targets: Vec<_> = members
            .in_data_centre(own)
            .map(|peer| (peer.instance.clone(), own.clone()))
            .collect();
        let others: BTreeSet<&DataCentreId> = self
            .known
            .values()
            .map(|known| &known.view.data_centre)
            .filter(|dc| *dc != own)
            .collect();
        for dc in others {
            let candidates: Vec<&InstanceId> = members.in_data_centre(dc).map(|peer| &peer.instance).collect();
            let delegate = members.delegate(dc).map(|peer| &peer.instance);
            // While no delegate is known, the peers are tried round robin.
            let turn = self.heartbeat as usize % candidates.len().max(1);
            if let Some(instance) = delegate.or(candidates.get(turn).copied()) {
                targets.push((instance.clone(), dc.clone()));
            }
        }
        targets
    }

    fn send_heartbeats(&mut self, ctx: &mut Context<Self>) {
        self.heartbeat += 1;
        self.publish();
        let sender = peer_state(&self.own_state());
        let timeout = Duration::from_millis(self.shared.settings.peer_suspect_ms / 2);
        for (instance, data_centre) in self.targets() {
            let message = HeartbeatRequest {
                sender: Some(sender.clone()),
                relayed: self.relayed_to(&data_centre, false).iter().map(peer_state).collect(),
            };
            let links = self.shared.links.clone();
            let call = async move {
                let heartbeat = |mut client: net::peer::peer_client::PeerClient<_>| async move {
                    client.heartbeat(PeerLinks::request(message, timeout)).await
                };
                links.call(&instance, timeout, heartbeat).await
            };
            ctx.spawn(
                call.into_actor(self)
                    .map(|reply, act, ctx| act.handle_reply(reply.ok(), ctx)),
            );
        }
    }

    fn handle_reply(&mut self, reply: Option<HeartbeatReply>, ctx: &mut Context<Self>) {
        let result = if reply.is_some() { "ok" } else { "lost" };
        self.shared.metrics.heartbeats.with_label_values(&[result]).inc();
        let Some(reply) = reply else { return };
        for state in reply.receiver.iter().chain(&reply.relayed) {
            if let Ok(view) = peer_view(state) {
                self.update_peer(view);
            }
        }
        self.publish();
        self.fetch_if_newer(ctx);
    }

    /// Stores the state of a peer unless a newer one is known.
    fn update_peer(&mut self, mut view: PeerView) {
        // Each instance computes the status of its peers itself, when it publishes its view.
        view.status = self
            .known
            .get(&view.instance)
            .map_or(PeerStatus::Dead, |known| known.view.status);
        if view.instance == self.shared.settings.instance {
            return;
        }
        let last_heartbeat_ms = Some(self.shared.clock.now_ms().saturating_sub(view.age_ms));
        match self.known.get_mut(&view.instance) {
            Some(known) => {
                let order = |view: &PeerView| (view.started_unix_ms, view.heartbeat);
                if order(&view) >= order(&known.view) {
                    let last_heartbeat_ms = last_heartbeat_ms.max(known.last_heartbeat_ms);
                    *known = KnownPeer {
                        view,
                        last_heartbeat_ms,
                    };
                }
            }
            None => {
                self.known.insert(
                    view.instance.clone(),
                    KnownPeer {
                        view,
                        last_heartbeat_ms,
                    },
                );
            }
        }
    }

    /// Recomputes the status of each peer and publishes the view.
    fn publish(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        let listing = self.shared.published.listing();
        let mut peers = Vec::with_capacity(self.known.len());
        for known in self.known.values_mut() {
            let age_ms = known
                .last_heartbeat_ms
                .map(|last_heartbeat_ms| now_ms.saturating_sub(last_heartbeat_ms));
            let status = peer_status(&known.view.instance, age_ms, &listing, &self.shared);
            record_change(&self.shared, &known.view, status);
            known.view.status = status;
            peers.push(PeerView {
                age_ms: age_ms.unwrap_or(now_ms),
                ..known.view.clone()
            });
        }
        let live = peers.iter().filter(|peer| peer.status == PeerStatus::Live).count();
        self.shared.metrics.live_peers.set(live as i64);
        self.shared
            .published
            .members
            .send_replace(Arc::new(MemberView { peers }));
    }

    /// Fetches from the live peer with the highest version if that is newer, or while the platform's list is not known.
    fn fetch_if_newer(&mut self, ctx: &mut Context<Self>) {
        let own = self.shared.published.config().version();
        let members = self.shared.published.members();
        let live = members.peers.iter().filter(|peer| peer.status == PeerStatus::Live);
        let Some(newest) = live.max_by_key(|peer| peer.config_version) else {
            return;
        };
        let needs_list = self.shared.published.listing().workers.is_empty();
        if self.fetching || (newest.config_version <= own && !needs_list) {
            return;
        }
        self.fetching = true;
        let fetch = self.config.send(FetchConfigFrom(newest.instance.clone()));
        ctx.spawn(fetch.into_actor(self).map(|_, act, _| act.fetching = false));
    }

    fn read_listing(&mut self, ctx: &mut Context<Self>) {
        if std::mem::replace(&mut self.listing_in_flight, true) {
            return;
        }
        let store = Rc::clone(&self.clients.store);
        let read = async move { store.list().await };
        ctx.spawn(read.into_actor(self).map(|listing, act, _| {
            act.listing_in_flight = false;
            if let Ok(listing) = listing {
                act.update_listing(listing);
            }
        }));
    }

    /// Reports client metrics and closes connections to the platform and the workers that no longer answer.
    fn check_idle(&self, ctx: &mut Context<Self>) {
        let clients = self.clients.clone();
        clients.report(&self.shared.metrics);
        let check = async move {
            futures_util::future::join(clients.store.check_idle(), clients.workers.check_idle()).await;
        };
        ctx.spawn(check.into_actor(self));
    }

    fn update_listing(&mut self, listing: Listing) {
        let before = self.shared.published.listing();
        if *before == listing {
            return;
        }
        let draining_before = draining_workers(&before);
        for worker in draining_workers(&listing).difference(&draining_before) {
            let event = Event::new(EventKind::WorkerLeaving).worker((*worker).clone());
            self.shared.timeline.push(event.cause("listed"));
        }
        self.shared.published.listing.send_replace(Arc::new(listing));
    }
}

impl Actor for Members {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let settings = &self.shared.settings;
        let every = |interval_ms, topic| {
            Subscribe::every(Duration::from_millis(interval_ms), ctx.address().recipient()).topic(topic)
        };
        self.timer
            .do_send(every(settings.heartbeat_interval_ms, HEARTBEAT_TOPIC));
        self.timer
            .do_send(every(settings.listing_poll_interval_ms, LISTING_TOPIC));
        self.send_heartbeats(ctx);
        self.read_listing(ctx);
    }
}

impl Handler<Tick> for Members {
    type Result = ();

    fn handle(&mut self, tick: Tick, ctx: &mut Self::Context) {
        if self.shared.published.is_stopped() {
            ctx.stop();
            return;
        }
        if tick.topic == HEARTBEAT_TOPIC {
            self.send_heartbeats(ctx);
        } else {
            self.read_listing(ctx);
            self.check_idle(ctx);
        }
    }
}

impl Handler<Heartbeat> for Members {
    type Result = Result<Heartbeat, ()>;

    fn handle(&mut self, heartbeat: Heartbeat, ctx: &mut Self::Context) -> Self::Result {
        let data_centre = heartbeat.sender.data_centre.clone();
        self.update_peer(heartbeat.sender);
        for view in heartbeat.relayed {
            self.update_peer(view);
        }
        self.publish();
        self.fetch_if_newer(ctx);
        Ok(Heartbeat {
            sender: self.own_state(),
            relayed: self.relayed_to(&data_centre, true),
        })
    }
}
