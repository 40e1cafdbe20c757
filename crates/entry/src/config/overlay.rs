use model::DataCentreId;

use super::config_actor::Core;
use super::{ServiceChange, ServiceState, proposal};
use crate::ApiError;
use crate::members::PeerStatus;

/// Local out and cut-off limit: overlays that only remove service.
impl Core {
    /// Removes the overlay of this instance; that of a peer can only be removed there.
    pub(super) fn lift_local_out(&self) -> Result<(), ApiError> {
        self.refresh_overlay();
        let before = self.view.borrow().effective.clone();
        let mut view = self.view.borrow_mut();
        if let Some(instance) = view.local_out_by.clone() {
            return Err(ApiError::LocalOutElsewhere { instance });
        }
        if std::mem::take(&mut view.local_out) {
            view.overlay(self.own());
            drop(view);
            self.publish(before.as_deref());
        }
        Ok(())
    }

    pub(super) fn set_service_locally(
        &self,
        data_centre: &DataCentreId,
        in_service: bool,
    ) -> Result<ServiceChange, ApiError> {
        let before = self.view.borrow().effective.clone();
        let recorded = self.view.borrow().recorded.clone();
        let known = recorded
            .as_ref()
            .is_some_and(|config| config.data_centres.iter().any(|dc| dc.id == *data_centre));
        let recorded_in = recorded
            .as_ref()
            .is_some_and(|config| config.is_in_service(data_centre));
        // An overlay only removes service: it cannot bring in what the recorded configuration has out.
        if !known || (in_service && !recorded_in) {
            return Err(proposal::unavailable());
        }
        let mut view = self.view.borrow_mut();
        view.local_out = !in_service;
        view.overlay(self.own());
        let version = view.version();
        drop(view);
        self.publish(before.as_deref());
        Ok(ServiceChange {
            data_centre: data_centre.clone(),
            in_service,
            version,
            state: ServiceState::InForceLocally,
        })
    }

    /// Recomputes the overlays from what peers announce and from when others were last heard.
    pub(super) fn refresh_overlay(&self) {
        let members = self.shared.board.members();
        let now_ms = self.shared.clock.now_ms();
        let mut view = self.view.borrow_mut();
        let before = view.clone();
        let announcing = |status| {
            members
                .in_data_centre(self.own())
                .find(move |peer| peer.local_out && (peer.status == PeerStatus::Dead) == status)
        };
        view.local_out_by = announcing(false).map(|peer| peer.instance.clone());
        // Whoever outlives the announcing instance keeps the data centre out.
        view.local_out |= before.local_out_by.is_some() && view.local_out_by.is_none() && announcing(true).is_some();
        let heard_peer_ms = members
            .peers
            .iter()
            .filter(|peer| peer.data_centre != *self.own() && peer.status != PeerStatus::Dead)
            .map(|peer| now_ms.saturating_sub(peer.age_ms))
            .max();
        let heard_ms = self.heard_store_ms.get().max(heard_peer_ms.unwrap_or(0));
        let limit_ms = self.shared.settings.cut_off_start_limit_ms;
        view.cut_off = limit_ms > 0 && now_ms.saturating_sub(heard_ms) > limit_ms;
        if *view != before {
            view.overlay(self.own());
            drop(view);
            self.publish(before.effective.as_deref());
        }
    }

    /// Makes a local out a configuration version once the store is back, then drops the overlay.
    pub(super) async fn propose_local_out(&self) {
        if !self.view.borrow().local_out || !self.shared.board.is_store_reachable() || self.proposing.replace(true) {
            return;
        }
        let own = self.own().clone();
        if self.record_service(&own, false).await.is_ok() {
            let before = self.view.borrow().effective.clone();
            let mut view = self.view.borrow_mut();
            // The version that holds the change is in force here by now, unless an operator took it in again since.
            view.local_out = false;
            view.overlay(&own);
            drop(view);
            self.publish(before.as_deref());
        }
        self.proposing.set(false);
    }
}
