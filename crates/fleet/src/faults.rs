use serde_json::{Value, json};

use crate::{Fleet, FleetError};

impl Fleet {
    /// Replaces the faults of the platform stand-in; `{}` ends all faults.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::Http`] if the platform does not accept them.
    pub async fn set_platform_faults(&self, faults: &Value) -> Result<(), FleetError> {
        self.post(&format!("http://{}/v1/faults", self.platform_address), faults)
            .await
    }

    /// Replaces the faults of the selected workers in all data centres.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::Http`] if no worker process accepts them.
    pub async fn set_worker_faults(&self, request: &Value) -> Result<(), FleetError> {
        let mut result = Err(FleetError::Http {
            url: "workers".into(),
            status: 404,
        });
        for address in &self.worker_addresses {
            let accepted = self.post(&format!("http://{address}/v1/faults"), request).await;
            result = result.or(accepted);
        }
        result
    }

    /// Sets the mode of links by name: `open`, `cut`, `silence_existing` or `silence_all`.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::Http`] if the relay does not know a link.
    pub async fn set_links(&self, names: &[String], mode: &str) -> Result<(), FleetError> {
        let request = json!({ "links": names, "mode": mode });
        self.post(&format!("http://{}/v1/links", self.relay_address), &request)
            .await
    }

    /// Returns the names of all links between a data centre and the platform or other data centres.
    pub fn links_of(&self, data_centre: &str) -> Vec<String> {
        let mut names = vec![format!("{data_centre}>platform")];
        names.extend(self.peer_links_of(data_centre));
        names
    }

    /// Returns the names of all links between a data centre and other data centres, in both directions.
    pub fn peer_links_of(&self, data_centre: &str) -> Vec<String> {
        let mut names = Vec::new();
        for instance in &self.instances {
            if instance.data_centre == data_centre {
                let others = self.layout.data_centre_names();
                let inbound = others.iter().filter(|other| *other != data_centre);
                names.extend(inbound.map(|other| format!("{other}>{}", instance.name)));
            } else {
                names.push(format!("{data_centre}>{}", instance.name));
            }
        }
        names
    }

    pub(crate) async fn post(&self, url: &str, body: &Value) -> Result<(), FleetError> {
        let status = self
            .client
            .post(url)
            .send_json(body)
            .await
            .map_or(0, |response| response.status().as_u16());
        if status == 200 {
            Ok(())
        } else {
            Err(FleetError::Http {
                url: url.to_owned(),
                status,
            })
        }
    }
}
