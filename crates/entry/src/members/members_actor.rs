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

use super::judgement::{leaving, record_change, status};
use super::{MemberView, PeerLinks, PeerStatus, PeerView, peer_state, peer_view};
use crate::config::{ConfigActor, FetchConfigFrom};
use crate::context::{Clients, Context as Shared};

const BEAT: u32 = 1;
const LIST: u32 = 2;

/// Actor that exchanges heartbeats with the peers and reads the platform's list.
#[derive(Debug)]
pub(crate) struct Members {
    shared: Shared,
    clients: Clients,
    timer: Addr<Timer>,
    config: Addr<ConfigActor>,
    heartbeat: u64,
    known: BTreeMap<InstanceId, Known>,
    fetching: bool,
    listing_in_flight: bool,
}

/// Peer with when it was last heard from.
#[derive(Debug)]
struct Known {
    view: PeerView,
    /// Monotonic time; `None` if never heard from.
    heard_ms: Option<u64>,
}

/// Heartbeat of a peer with the states that it relays; the reply has the same form.
#[derive(Debug, Message)]
#[rtype(result = "Result<Beat, ()>")]
pub(crate) struct Beat {
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
            (peer.instance.clone(), Known { view, heard_ms: None })
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

    /// Returns the state of this instance, as its next heartbeat carries it.
    fn own(&self) -> PeerView {
        let board = &self.shared.board;
        let settings = &self.shared.settings;
        let config = board.config();
        let holders = board.holders.borrow();
        let held = |dc: &DataCentreId| {
            holders
                .get(dc)
                .is_some_and(|holder| holder.instance == settings.instance)
        };
        let scheduler_of = Some(&settings.data_centre)
            .filter(|dc| held(dc))
            .or_else(|| holders.keys().find(|dc| held(dc)))
            .map(|dc| (dc.clone(), holders[dc].epoch));
        let free = board.free_accelerators.borrow();
        let (granted_slots, busy_slots) = *board.granted_slots.borrow();
        PeerView {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            status: PeerStatus::Live,
            age_ms: 0,
            config_version: config.version(),
            started_unix_ms: self.shared.clock.started_unix_ms(),
            heartbeat: self.heartbeat,
            stopping: board.is_stopping(),
            store_reachable: board.is_store_reachable(),
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

    /// Returns whether this instance relays for its data centre: no live peer there has a lower id.
    fn is_delegate(&self) -> bool {
        let settings = &self.shared.settings;
        self.shared
            .board
            .members()
            .delegate(&settings.data_centre)
            .is_none_or(|peer| settings.instance < peer.instance)
    }

    /// Returns what this instance relays to a peer in `data_centre`.
    ///
    /// The delegate tells its own data centre of the others, and the others of its own. A reply to another data centre
    /// always tells of this one, so that a sender which took this instance for the delegate learns who is.
    fn relayed_to(&self, data_centre: &DataCentreId, is_reply: bool) -> Vec<PeerView> {
        let own = &self.shared.settings.data_centre;
        let inside = data_centre == own;
        if !self.is_delegate() && (inside || !is_reply) {
            return Vec::new();
        }
        let now_ms = self.shared.clock.now_ms();
        let fresh_ms = self.shared.settings.peer_dead_ms;
        self.known
            .values()
            .filter(|known| (known.view.data_centre == *own) != inside)
            .filter_map(|known| {
                let age_ms = now_ms.saturating_sub(known.heard_ms?);
                (age_ms < fresh_ms).then(|| PeerView {
                    age_ms,
                    ..known.view.clone()
                })
            })
            .collect()
    }

    /// Returns the peers that get a heartbeat: all of this data centre, and one delegate of each other.
    fn targets(&self) -> Vec<(InstanceId, DataCentreId)> {
        let own = &self.shared.settings.data_centre;
        let members = self.shared.board.members();
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
            let inside: Vec<&InstanceId> = members.in_data_centre(dc).map(|peer| &peer.instance).collect();
            let delegate = members.delegate(dc).map(|peer| &peer.instance);
            // While no delegate is known, each peer is tried in turn.
            let turn = self.heartbeat as usize % inside.len().max(1);
            if let Some(instance) = delegate.or(inside.get(turn).copied()) {
                targets.push((instance.clone(), dc.clone()));
            }
        }
        targets
    }

    fn beat(&mut self, ctx: &mut Context<Self>) {
        self.heartbeat += 1;
        self.publish();
        let sender = peer_state(&self.own());
        let limit = Duration::from_millis(self.shared.settings.peer_suspect_ms / 2);
        for (instance, data_centre) in self.targets() {
            let message = HeartbeatRequest {
                sender: Some(sender.clone()),
                relayed: self.relayed_to(&data_centre, false).iter().map(peer_state).collect(),
            };
            let links = self.shared.links.clone();
            let call = async move {
                let beat = |mut client: net::peer::peer_client::PeerClient<_>| async move {
                    client.heartbeat(PeerLinks::request(message, limit)).await
                };
                links.call(&instance, limit, beat).await
            };
            ctx.spawn(
                call.into_actor(self)
                    .map(|reply, act, ctx| act.replied(reply.ok(), ctx)),
            );
        }
    }

    fn replied(&mut self, reply: Option<HeartbeatReply>, ctx: &mut Context<Self>) {
        let result = if reply.is_some() { "ok" } else { "lost" };
        self.shared.metrics.heartbeats.with_label_values(&[result]).inc();
        let Some(reply) = reply else { return };
        for state in reply.receiver.iter().chain(&reply.relayed) {
            if let Ok(view) = peer_view(state) {
                self.hear(view);
            }
        }
        self.publish();
        self.fetch_if_newer(ctx);
    }

    /// Takes note of a state unless a newer one of the same instance is known.
    fn hear(&mut self, mut view: PeerView) {
        // The status is this instance's own judgement, made when the view is published.
        view.status = self
            .known
            .get(&view.instance)
            .map_or(PeerStatus::Dead, |known| known.view.status);
        if view.instance == self.shared.settings.instance {
            return;
        }
        let heard_ms = Some(self.shared.clock.now_ms().saturating_sub(view.age_ms));
        match self.known.get_mut(&view.instance) {
            Some(known) => {
                let order = |view: &PeerView| (view.started_unix_ms, view.heartbeat);
                if order(&view) >= order(&known.view) {
                    let heard_ms = heard_ms.max(known.heard_ms);
                    *known = Known { view, heard_ms };
                }
            }
            None => {
                self.known.insert(view.instance.clone(), Known { view, heard_ms });
            }
        }
    }

    /// Recomputes who is live and publishes it.
    fn publish(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        let listing = self.shared.board.listing();
        let mut peers = Vec::with_capacity(self.known.len());
        for known in self.known.values_mut() {
            let age_ms = known.heard_ms.map(|heard_ms| now_ms.saturating_sub(heard_ms));
            let status = status(&known.view.instance, age_ms, &listing, &self.shared);
            record_change(&self.shared, &known.view, status);
            known.view.status = status;
            peers.push(PeerView {
                age_ms: age_ms.unwrap_or(now_ms),
                ..known.view.clone()
            });
        }
        let live = peers.iter().filter(|peer| peer.status == PeerStatus::Live).count();
        self.shared.metrics.live_peers.set(live as i64);
        self.shared.board.members.send_replace(Arc::new(MemberView { peers }));
    }

    /// Asks the peer with the highest version for its configuration, or any for its list while none is known.
    fn fetch_if_newer(&mut self, ctx: &mut Context<Self>) {
        let own = self.shared.board.config().version();
        let members = self.shared.board.members();
        let live = members.peers.iter().filter(|peer| peer.status == PeerStatus::Live);
        let Some(newest) = live.max_by_key(|peer| peer.config_version) else {
            return;
        };
        let needs_list = self.shared.board.listing().workers.is_empty();
        if self.fetching || (newest.config_version <= own && !needs_list) {
            return;
        }
        self.fetching = true;
        let fetch = self.config.send(FetchConfigFrom(newest.instance.clone()));
        ctx.spawn(fetch.into_actor(self).map(|_, act, _| act.fetching = false));
    }

    fn list(&mut self, ctx: &mut Context<Self>) {
        if std::mem::replace(&mut self.listing_in_flight, true) {
            return;
        }
        let store = Rc::clone(&self.clients.store);
        let read = async move { store.list().await };
        ctx.spawn(read.into_actor(self).map(|listing, act, _| {
            act.listing_in_flight = false;
            if let Ok(listing) = listing {
                act.listed(listing);
            }
        }));
    }

    /// Closes connections to platform and workers that do not answer any more.
    fn check_idle(&self, ctx: &mut Context<Self>) {
        let clients = self.clients.clone();
        clients.report(&self.shared.metrics);
        let check = async move {
            futures_util::future::join(clients.store.check_idle(), clients.workers.check_idle()).await;
        };
        ctx.spawn(check.into_actor(self));
    }

    fn listed(&mut self, listing: Listing) {
        let before = self.shared.board.listing();
        if *before == listing {
            return;
        }
        let leaving_before = leaving(&before);
        for worker in leaving(&listing).difference(&leaving_before) {
            let event = Event::new(EventKind::WorkerLeaving).worker((*worker).clone());
            self.shared.journal.push(event.cause("listed"));
        }
        self.shared.board.listing.send_replace(Arc::new(listing));
    }
}

impl Actor for Members {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let settings = &self.shared.settings;
        let every = |interval_ms, topic| {
            Subscribe::every(Duration::from_millis(interval_ms), ctx.address().recipient()).topic(topic)
        };
        self.timer.do_send(every(settings.heartbeat_interval_ms, BEAT));
        self.timer.do_send(every(settings.listing_poll_interval_ms, LIST));
        self.beat(ctx);
        self.list(ctx);
    }
}

impl Handler<Tick> for Members {
    type Result = ();

    fn handle(&mut self, tick: Tick, ctx: &mut Self::Context) {
        if self.shared.board.is_stopped() {
            ctx.stop();
            return;
        }
        if tick.topic == BEAT {
            self.beat(ctx);
        } else {
            self.list(ctx);
            self.check_idle(ctx);
        }
    }
}

impl Handler<Beat> for Members {
    type Result = Result<Beat, ()>;

    fn handle(&mut self, beat: Beat, ctx: &mut Self::Context) -> Self::Result {
        let data_centre = beat.sender.data_centre.clone();
        self.hear(beat.sender);
        for view in beat.relayed {
            self.hear(view);
        }
        self.publish();
        self.fetch_if_newer(ctx);
        Ok(Beat {
            sender: self.own(),
            relayed: self.relayed_to(&data_centre, true),
        })
    }
}
