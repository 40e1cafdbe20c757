use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::{Value, json};

/// Instance entry of a settings file.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) instance: String,
    pub(crate) data_centre: String,
    pub(crate) address: SocketAddr,
}

/// Renders a settings file.
pub(crate) fn render_settings(
    own: &Peer,
    http_address: SocketAddr,
    platform: SocketAddr,
    peers: &[Peer],
    overrides: &BTreeMap<String, Value>,
) -> String {
    let peers: Vec<Value> = peers
        .iter()
        .map(|peer| json!({ "instance": peer.instance, "data_centre": peer.data_centre, "peer_address": peer.address }))
        .collect();
    let mut document = json!({
        "instance": own.instance,
        "data_centre": own.data_centre,
        "http_address": http_address,
        "peer_address": own.address,
        "platform_url": format!("http://{platform}"),
        "peers": peers,
    });
    for (key, value) in overrides {
        document[key] = value.clone();
    }
    format!("// Written by the fleet harness.\n{document:#}\n")
}
