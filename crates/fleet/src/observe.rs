use std::collections::BTreeMap;

use model::Config;
use serde_json::Value;
use standin::LogEntry;
use trace::{Page, Record};

use crate::{Fleet, FleetError};

impl Fleet {
    /// Returns the base URLs of the running instances.
    pub fn servers(&self) -> Vec<String> {
        self.instances
            .iter()
            .filter(|instance| instance.process.is_some())
            .map(crate::Instance::url)
            .collect()
    }

    /// Returns the base URLs of the instances of a data centre.
    pub fn servers_in(&self, data_centre: &str) -> Vec<String> {
        let in_data_centre = self
            .instances
            .iter()
            .filter(|instance| instance.data_centre == data_centre);
        in_data_centre.map(crate::Instance::url).collect()
    }

    /// Returns the base URLs of the worker processes.
    pub fn worker_urls(&self) -> Vec<String> {
        self.worker_addresses
            .iter()
            .map(|address| format!("http://{address}"))
            .collect()
    }

    /// Returns the HTTP client of the harness.
    pub const fn client(&self) -> &awc::Client {
        &self.client
    }

    /// Returns the HTTP status of a GET request, or 0 if there is no reply.
    pub async fn status_of(&self, url: &str) -> u16 {
        self.client
            .get(url)
            .send()
            .await
            .map_or(0, |response| response.status().as_u16())
    }

    /// Fetches a URL and parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::Http`] if there is no reply or it is not JSON.
    pub async fn get(&self, url: &str) -> Result<Value, FleetError> {
        let failed = |status| FleetError::Http {
            url: url.to_owned(),
            status,
        };
        let mut response = self.client.get(url).send().await.map_err(|_| failed(0))?;
        let status = response.status().as_u16();
        response.json().limit(256 << 20).await.map_err(|_| failed(status))
    }

    /// Submits a configuration based on a version and returns the HTTP status, or 0 if there is no reply.
    pub async fn put_config(&self, server: &str, config: &Config, base_version: u64) -> u16 {
        let mut config = config.clone();
        config.version = model::ConfigVersion(base_version + 1);
        let request = self
            .client
            .put(format!("{server}/v1/config"))
            .insert_header(("If-Match", format!("\"{base_version}\"")));
        request
            .send_json(&config)
            .await
            .map_or(0, |response| response.status().as_u16())
    }

    /// Returns the configuration version in force at an instance, or 0 if there is none.
    pub async fn config_version(&self, server: &str) -> u64 {
        let config = self.get(&format!("{server}/v1/config")).await;
        config.ok().and_then(|config| config["version"].as_u64()).unwrap_or(0)
    }

    /// Returns the execution logs of all workers, sorted by time.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::Http`] if a worker process does not answer.
    ///
    /// # Panics
    ///
    /// Panics if a worker process dropped log entries, because checks on an incomplete log are not valid.
    pub async fn executions(&self) -> Result<Vec<LogEntry>, FleetError> {
        let mut entries = Vec::new();
        for server in self.worker_urls() {
            let url = format!("{server}/v1/log?after=0");
            let page = self.get(&url).await?;
            let page: standin::LogPage = serde_json::from_value(page).map_err(|_| FleetError::Http {
                url: url.clone(),
                status: 200,
            })?;
            assert_eq!(page.dropped, 0, "the execution log must be complete");
            entries.extend(page.entries);
        }
        entries.sort_by_key(|entry| entry.unix_ms);
        Ok(entries)
    }

    /// Merges the timelines of all instances that answer.
    pub async fn timeline(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for server in self.servers() {
            if let Ok(value) = self.get(&format!("{server}/v1/timeline?after=0")).await
                && let Ok(page) = serde_json::from_value::<Page>(value)
            {
                records.extend(page.records);
            }
        }
        trace::merge(records)
    }

    /// Returns the name of the instance that holds the scheduling lease of each data centre, according to the
    /// platform's table.
    pub async fn schedulers(&self) -> BTreeMap<String, String> {
        let mut lease_holders = BTreeMap::new();
        for data_centre in self.layout.data_centre_names() {
            let url = format!("http://{}/v1/table/rows/sched/{data_centre}", self.platform_address);
            if let Ok(row) = self.get(&url).await
                && let Some(holder) = row["value"]["holder"].as_str()
                && row["value"]["released"].as_bool() != Some(true)
            {
                lease_holders.insert(data_centre, holder.to_owned());
            }
        }
        lease_holders
    }

    /// Returns the index of the instance that schedules a data centre.
    pub async fn scheduler_of(&self, data_centre: &str) -> Option<usize> {
        let holder = self.schedulers().await.remove(data_centre)?;
        self.instances.iter().position(|instance| instance.name == holder)
    }

    /// Returns a row of the platform's table, or null if it cannot be read.
    pub async fn row(&self, key: &str) -> Value {
        let url = format!("http://{}/v1/table/rows/{key}", self.platform_address);
        self.get(&url).await.unwrap_or_default()
    }

    /// Returns the call counters of the platform.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::Http`] if the platform does not answer.
    pub async fn platform_stats(&self) -> Result<Value, FleetError> {
        self.get(&format!("http://{}/v1/stats", self.platform_address)).await
    }
}
