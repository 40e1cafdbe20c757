use std::net::SocketAddr;
use std::path::PathBuf;

use crate::FleetProcess;

/// Entry instance of a deployment.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address for callers.
    pub http_address: SocketAddr,
    /// Address for other instances, before any relay.
    pub peer_address: SocketAddr,
    /// Path of the settings file.
    pub settings_path: PathBuf,
    /// Process, or none if it was not started or was taken out to be stopped.
    pub process: Option<FleetProcess>,
}

impl Instance {
    /// Returns the base URL for callers.
    pub fn url(&self) -> String {
        format!("http://{}", self.http_address)
    }
}
