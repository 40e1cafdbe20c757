use actix::prelude::*;
use model::{Epoch, InstanceId, LeaseId, WorkerId};
use net::peer::{GrantUpdate, UpdateGrantsReply, UpdateGrantsRequest};
use sched::Input;

use super::Driver;
use super::driver::SYNC_INTERVAL;
use crate::members::{PeerLinks, PeerStatus};
use crate::urgent::UpdateGrants;

/// Delivery of grants to the instances of the data centre.
impl Driver {
    /// Asks each live instance of the data centre which slots it wants and has released, and drops grants of dead ones.
    pub(super) fn sync_grants(&mut self, ctx: &mut Context<Self>) {
        self.deliver_grants(true, ctx);
        let members = self.shared.published.members();
        let own = self.shared.settings.instance.clone();
        let is_dead = |instance: &InstanceId| {
            *instance != own
                && members
                    .peer(instance)
                    .is_none_or(|peer| peer.status == PeerStatus::Dead)
        };
        if let Some(active) = &mut self.active {
            active.grants.remove_holders(is_dead);
        }
    }

    pub(super) fn grant_ended(&mut self, epoch: Epoch, worker: WorkerId, lease: LeaseId, ctx: &mut Context<Self>) {
        let Some(active) = self.active.as_mut().filter(|active| active.epoch == epoch) else {
            return;
        };
        if active.grants.remove(lease) {
            self.feed(Input::GrantReleased { worker, lease }, ctx);
        }
    }

    /// Sends unconfirmed grant updates to the instances; with `all`, calls every instance to query its state.
    pub(super) fn deliver_grants(&mut self, all: bool, ctx: &mut Context<Self>) {
        let Some(active) = &self.active else { return };
        let epoch = active.epoch;
        let own = &self.shared.settings;
        let members = self.shared.published.members();
        let peers = members
            .in_data_centre(&self.data_centre)
            .filter(|peer| peer.status == PeerStatus::Live)
            .map(|peer| peer.instance.clone());
        let local = (own.data_centre == self.data_centre).then(|| own.instance.clone());
        let mut calls = Vec::new();
        for instance in local.into_iter().chain(peers) {
            let updates = active.grants.undelivered(&instance);
            if all || (!updates.is_empty() && !active.deliveries_in_flight.contains(&instance)) {
                calls.push((instance, updates));
            }
        }
        for (instance, updates) in calls {
            self.send_grants(epoch, instance, updates, ctx);
        }
    }

    pub(super) fn send_grants(
        &mut self,
        epoch: Epoch,
        instance: InstanceId,
        updates: Vec<GrantUpdate>,
        ctx: &mut Context<Self>,
    ) {
        if let Some(active) = &mut self.active {
            active.deliveries_in_flight.insert(instance.clone());
        }
        let request = UpdateGrantsRequest {
            data_centre: self.data_centre.to_string(),
            epoch: epoch.0,
            updates: updates.clone(),
        };
        let (links, urgent) = (self.shared.links.clone(), self.urgent.clone());
        let local = instance == self.shared.settings.instance;
        let target = instance.clone();
        let call = async move {
            if local {
                return urgent.send(UpdateGrants(request)).await.ok();
            }
            let update = |mut client: net::peer::peer_client::PeerClient<_>| async move {
                client.update_grants(PeerLinks::request(request, SYNC_INTERVAL)).await
            };
            links.call(&target, SYNC_INTERVAL, update).await.ok()
        };
        ctx.spawn(call.into_actor(self).map(move |reply, act, ctx| {
            if let Some(active) = &mut act.active {
                active.deliveries_in_flight.remove(&instance);
            }
            if let Some(reply) = reply {
                act.on_grants_synced(epoch, instance, &updates, &reply, ctx);
            }
        }));
    }

    pub(super) fn on_grants_synced(
        &mut self,
        epoch: Epoch,
        instance: InstanceId,
        updates: &[GrantUpdate],
        reply: &UpdateGrantsReply,
        ctx: &mut Context<Self>,
    ) {
        let Some(active) = self.active.as_mut().filter(|active| active.epoch == epoch) else {
            return;
        };
        active.grants.confirm(updates);
        for released in &reply.released {
            if let (Ok(worker), Ok(lease)) = (released.worker.parse(), released.lease.parse()) {
                self.grant_ended(epoch, worker, lease, ctx);
            }
        }
        let wanted = reply.wanted_slots.min(u16::MAX.into()) as u16;
        self.update_wanted_slots(epoch, instance, wanted, ctx);
    }

    /// Records how many granted slots an instance wants and passes a change on to the scheduler.
    pub(super) fn update_wanted_slots(
        &mut self,
        epoch: Epoch,
        instance: InstanceId,
        wanted: u16,
        ctx: &mut Context<Self>,
    ) {
        let members = self.shared.published.members();
        let own = self.shared.settings.instance.clone();
        let Some(active) = self.active.as_mut().filter(|active| active.epoch == epoch) else {
            return;
        };
        let is_live =
            |id: &InstanceId| *id == own || members.peer(id).is_some_and(|peer| peer.status == PeerStatus::Live);
        let before = active.wanted.clone();
        active.wanted.retain(|id, _| is_live(id));
        active.wanted.insert(instance, wanted);
        if active.wanted != before {
            self.feed_wanted_slots(ctx);
        }
    }

    /// Tells the scheduler how many granted slots each live instance wants: none while the grants yield to a wide job.
    fn feed_wanted_slots(&mut self, ctx: &mut Context<Self>) {
        let Some(active) = &self.active else { return };
        let is_yielding = active.grant_yield.is_yielding();
        let wanted = active.wanted.iter();
        let wanted_slots = wanted
            .map(|(id, slots)| (id.clone(), if is_yielding { 0 } else { *slots }))
            .collect();
        self.feed(Input::Instances { wanted_slots }, ctx);
    }

    /// Lets the grants yield to a wide job that they block, as long as other data centres have free grants.
    pub(super) fn yield_grants(&mut self, ctx: &mut Context<Self>) {
        let now_ms = self.shared.clock.now_ms();
        let members = self.shared.published.members();
        let config = self.shared.published.config();
        let has_remote_capacity = members.peers.iter().any(|peer| {
            peer.data_centre != self.data_centre
                && peer.takes_requests()
                && peer.granted_slots > peer.busy_slots
                && config.is_in_service(&peer.data_centre)
        });
        let Some(active) = &mut self.active else { return };
        let dcs = config.recorded.as_ref().map_or(&[][..], |config| &config.data_centres);
        let position = dcs.iter().position(|dc| dc.id == self.data_centre).unwrap_or(0) as u64;
        let was_yielding = active.grant_yield.is_yielding();
        let stats = active.scheduler.stats();
        active.grant_yield.update(now_ms, &stats, has_remote_capacity, position);
        if active.grant_yield.is_yielding() != was_yielding {
            self.feed_wanted_slots(ctx);
        }
    }
}
