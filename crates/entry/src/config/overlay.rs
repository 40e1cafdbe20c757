use model::DataCentreId;

use super::config_actor::Core;
use super::{ServiceChange, ServiceState, config_row};
use crate::ApiError;
use crate::members::PeerStatus;

/// Overlays on the recorded configuration, for a local out and for a data centre that is cut off. They only take this
/// data centre out of service and never put one in.
impl Core {
    /// Ends the local out of this instance; that of a peer can only be ended there.
    pub(super) fn end_local_out(&self) -> Result<(), ApiError> {
        self.refresh_overlay();
        let before = self.view.borrow().effective.clone();
        let mut view = self.view.borrow_mut();
        if let Some(instance) = view.local_out_by.clone() {
            return Err(ApiError::LocalOutElsewhere { instance });
        }
        if std::mem::take(&mut view.local_out) {
            view.apply_overlays(self.own_data_centre());
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
        let is_known = recorded
            .as_ref()
            .is_some_and(|config| config.data_centres.iter().any(|dc| dc.id == *data_centre));
        let is_recorded_in_service = recorded
            .as_ref()
            .is_some_and(|config| config.is_in_service(data_centre));
        // An overlay cannot put in service a data centre that the recorded configuration has out of service.
        if !is_known || (in_service && !is_recorded_in_service) {
            return Err(config_row::unavailable());
        }
        let mut view = self.view.borrow_mut();
        view.local_out = !in_service;
        view.apply_overlays(self.own_data_centre());
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

    /// Recomputes the overlays from the local outs that peers announce and from the time of the last contact with the
    /// store or another data centre.
    pub(super) fn refresh_overlay(&self) {
        let members = self.shared.published.members();
        let now_ms = self.shared.clock.now_ms();
        let mut view = self.view.borrow_mut();
        let before = view.clone();
        let announcer = |is_dead| {
            members
                .in_data_centre(self.own_data_centre())
                .find(move |peer| peer.local_out && (peer.status == PeerStatus::Dead) == is_dead)
        };
        view.local_out_by = announcer(false).map(|peer| peer.instance.clone());
        // If the announcing instance is dead, this one takes over its local out.
        view.local_out |= before.local_out_by.is_some() && view.local_out_by.is_none() && announcer(true).is_some();
        let last_peer_contact_ms = members
            .peers
            .iter()
            .filter(|peer| peer.data_centre != *self.own_data_centre() && peer.status != PeerStatus::Dead)
            .map(|peer| now_ms.saturating_sub(peer.age_ms))
            .max();
        let last_contact_ms = self.last_store_reply_ms.get().max(last_peer_contact_ms.unwrap_or(0));
        let limit_ms = self.shared.settings.cut_off_start_limit_ms;
        view.cut_off = limit_ms > 0 && now_ms.saturating_sub(last_contact_ms) > limit_ms;
        if *view != before {
            view.apply_overlays(self.own_data_centre());
            drop(view);
            self.publish(before.effective.as_deref());
        }
    }

    /// Records a local out as a configuration version once the store is reachable, then removes the overlay.
    pub(super) async fn record_local_out(&self) {
        if !self.view.borrow().local_out
            || !self.shared.published.is_store_reachable()
            || self.recording_local_out.replace(true)
        {
            return;
        }
        let own = self.own_data_centre().clone();
        if self.record_service(&own, false).await.is_ok() {
            let before = self.view.borrow().effective.clone();
            let mut view = self.view.borrow_mut();
            // The version with the change is already in force here, unless an operator has since reverted it.
            view.local_out = false;
            view.apply_overlays(&own);
            drop(view);
            self.publish(before.as_deref());
        }
        self.recording_local_out.set(false);
    }
}
