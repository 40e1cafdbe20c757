use std::time::Duration;

use model::Config;

use crate::LoadError;

/// Client for the operator commands that a load run needs.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    servers: Vec<String>,
}

impl OperatorClient {
    const TIMEOUT: Duration = Duration::from_secs(5);

    /// Creates a client that tries the servers in turn.
    pub const fn new(servers: Vec<String>) -> Self {
        Self { servers }
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::NoConfiguration`] if no instance has one.
    pub async fn config(&self, client: &awc::Client) -> Result<Config, LoadError> {
        for server in &self.servers {
            let sent = client
                .get(format!("{server}/v1/config"))
                .timeout(Self::TIMEOUT)
                .send()
                .await;
            let Ok(mut response) = sent else { continue };
            if let Ok(config) = response.json::<Config>().await
                && !config.organisations.is_empty()
            {
                return Ok(config);
            }
        }
        Err(LoadError::NoConfiguration {
            servers: self.servers.join(", "),
        })
    }

    /// Takes a data centre `out` of service or back `in`.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::DataCentre`] if no instance accepted the change.
    pub async fn data_centre(
        &self,
        client: &awc::Client,
        data_centre: &str,
        direction: &'static str,
    ) -> Result<(), LoadError> {
        for server in &self.servers {
            let url = format!("{server}/v1/data-centres/{data_centre}/{direction}");
            let sent = client.post(url).timeout(Self::TIMEOUT).send().await;
            if sent.is_ok_and(|response| response.status().is_success()) {
                return Ok(());
            }
        }
        Err(LoadError::DataCentre {
            data_centre: data_centre.to_owned(),
            direction,
        })
    }
}
