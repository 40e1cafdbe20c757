use model::{ConfigVersion, DataCentreId, InstanceId};
use serde::{Deserialize, Serialize};

use crate::context::Context;
use crate::members::{PeerStatus, PeerView};

/// Configuration in force at each instance and data centre, as far as this instance knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Highest version that this instance knows.
    pub version: ConfigVersion,
    /// Each instance with its version.
    pub instances: Vec<InstanceConfig>,
    /// Each data centre with the state of its service.
    pub data_centres: Vec<DataCentreConfig>,
}

/// Configuration in force at an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceConfig {
    /// Instance.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Version in force there according to the last known state.
    pub version: ConfigVersion,
    /// Whether it answers.
    pub status: PeerStatus,
}

/// Configuration in force in a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreConfig {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Whether work may start there according to the configuration.
    pub in_service: bool,
    /// Lowest version in force at its live instances; `None` if none is live.
    pub version: Option<ConfigVersion>,
    /// Progress of taking the data centre out of service; `None` while it is in service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub out: Option<OutProgress>,
    /// Instances through which it was taken out while the store was unreachable.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub local_out: Vec<InstanceId>,
    /// Instance that schedules it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scheduler: Option<InstanceId>,
}

/// Progress of taking a data centre out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutProgress {
    /// Written to the table; some live instance has not confirmed it yet.
    Recorded,
    /// The data centre's scheduler and every live instance confirmed it.
    InForce,
    /// The scheduler is unknown or not live, or an unresponsive instance of the data centre may still serve requests.
    NotConfirmed,
}

/// Computes the status from what this instance knows of its peers.
pub(crate) fn config_status(context: &Context) -> ConfigStatus {
    let view = context.published.config();
    let members = context.published.members();
    let own = InstanceConfig {
        instance: context.settings.instance.clone(),
        data_centre: context.settings.data_centre.clone(),
        version: view.version(),
        status: PeerStatus::Live,
    };
    let mut instances: Vec<InstanceConfig> = members.peers.iter().map(instance_config).collect();
    instances.push(own);
    instances.sort_by(|a, b| a.instance.cmp(&b.instance));

    let mut local_outs: Vec<(DataCentreId, InstanceId)> = members
        .peers
        .iter()
        .filter(|peer| peer.local_out)
        .map(|peer| (peer.data_centre.clone(), peer.instance.clone()))
        .collect();
    if view.local_out {
        local_outs.push((context.settings.data_centre.clone(), context.settings.instance.clone()));
    }
    let statuses = view.recorded.iter().flat_map(|config| &config.data_centres);
    let data_centres = statuses
        .map(|dc| {
            let scheduler = context.published.holder(&dc.id).map(|holder| holder.instance);
            DataCentreConfig {
                data_centre: dc.id.clone(),
                in_service: dc.in_service,
                version: lowest_live_version(&instances, &dc.id),
                out: view
                    .out_since
                    .get(&dc.id)
                    .map(|since| out_progress(&instances, &dc.id, scheduler.as_ref(), *since)),
                local_out: local_outs
                    .iter()
                    .filter(|(id, _)| *id == dc.id)
                    .map(|(_, instance)| instance.clone())
                    .collect(),
                scheduler,
            }
        })
        .collect();
    ConfigStatus {
        version: view.version(),
        instances,
        data_centres,
    }
}

fn instance_config(peer: &PeerView) -> InstanceConfig {
    InstanceConfig {
        instance: peer.instance.clone(),
        data_centre: peer.data_centre.clone(),
        version: peer.config_version,
        status: peer.status,
    }
}

fn lowest_live_version(instances: &[InstanceConfig], data_centre: &DataCentreId) -> Option<ConfigVersion> {
    live(instances)
        .filter(|instance| instance.data_centre == *data_centre)
        .map(|instance| instance.version)
        .min()
}

fn live(instances: &[InstanceConfig]) -> impl Iterator<Item = &InstanceConfig> {
    instances.iter().filter(|instance| instance.status == PeerStatus::Live)
}

fn out_progress(
    instances: &[InstanceConfig],
    data_centre: &DataCentreId,
    scheduler: Option<&InstanceId>,
    since: ConfigVersion,
) -> OutProgress {
    let Some(scheduler) = scheduler else {
        return OutProgress::NotConfirmed;
    };
    let is_scheduler_live = live(instances).any(|instance| instance.instance == *scheduler);
    // An unresponsive instance may still serve requests on the other side of a partition.
    let mut inside = instances.iter().filter(|instance| instance.data_centre == *data_centre);
    let may_still_serve = inside.clone().any(|instance| instance.status == PeerStatus::Suspect)
        || (inside.clone().next().is_some() && inside.all(|instance| instance.status != PeerStatus::Live));
    if !is_scheduler_live || may_still_serve {
        return OutProgress::NotConfirmed;
    }
    if live(instances).all(|instance| instance.version >= since) {
        OutProgress::InForce
    } else {
        OutProgress::Recorded
    }
}
