use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use conf::Sheet;
use tempfile::TempDir;

use crate::settings_file::{Peer, render_settings};
use crate::{FleetError, FleetProcess, Instance, Layout, ReservedPorts};

/// Running deployment.
pub struct Fleet {
    /// Entry instances in order of data centre and name.
    pub instances: Vec<Instance>,
    pub(crate) layout: Layout,
    pub(crate) platform_address: SocketAddr,
    pub(crate) relay_address: SocketAddr,
    pub(crate) worker_addresses: Vec<SocketAddr>,
    pub(crate) client: awc::Client,
    /// Declared after `instances`, so that the stand-ins are killed after them.
    pub(crate) standins: Vec<FleetProcess>,
    pub(crate) folder: TempDir,
    /// Ports of all processes, also of those that are not running.
    _ports: ReservedPorts,
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet")
            .field("instances", &self.instances)
            .field("layout", &self.layout)
            .finish_non_exhaustive()
    }
}

impl Fleet {
    /// Time within which the deployment must become ready.
    const READY_TIMEOUT: Duration = Duration::from_secs(20);

    /// Starts all processes, applies the sheet, and waits until every instance is ready.
    ///
    /// Links between an instance and the platform, and between instances of different data centres, pass through the
    /// relay. Their names are `DC>platform` and `DC>INSTANCE`.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if a program is not built or a process does not become ready.
    ///
    /// # Panics
    ///
    /// Panics if fewer addresses were reserved than are used, which is a fault of this function.
    pub async fn start(layout: Layout) -> Result<Self, FleetError> {
        let folder = TempDir::new().map_err(|source| FleetError::io("temporary folder", source))?;
        let names = layout.data_centre_names();
        let entries = layout.data_centres * layout.entries_per_data_centre;
        let links = layout.data_centres + entries * (layout.data_centres - 1);
        let ports = ReservedPorts::new(2 + layout.data_centres + 2 * entries + links);
        let ports = ports.map_err(|source| FleetError::io("free ports", source))?;
        let addresses = ports.addresses();
        let addresses = addresses.map_err(|source| FleetError::io("free ports", source))?;
        let mut addresses = addresses.into_iter();
        let mut next_address = || addresses.next().expect("enough addresses were reserved");

        let platform_address = next_address();
        let relay_address = next_address();
        let worker_addresses: Vec<SocketAddr> = names.iter().map(|_| next_address()).collect();
        let mut instances = Vec::new();
        for number in 0..entries {
            let data_centre = names[number / layout.entries_per_data_centre].clone();
            let name = format!("entry-{}", number + 1);
            let settings_path = folder.path().join(format!("{name}.json5"));
            let (http_address, peer_address) = (next_address(), next_address());
            instances.push(Instance {
                name,
                data_centre,
                http_address,
                peer_address,
                settings_path,
                process: None,
            });
        }

        let mut relay_args = vec!["--control".to_owned(), relay_address.to_string()];
        let mut add_link = |name: String, target: SocketAddr| {
            let listen = next_address();
            relay_args.extend(["--link".to_owned(), format!("{name}={listen}->{target}")]);
            listen
        };
        for data_centre in &names {
            let platform = add_link(format!("{data_centre}>platform"), platform_address);
            let mut peers = Vec::new();
            for other in &instances {
                let address = if other.data_centre == *data_centre {
                    other.peer_address
                } else {
                    add_link(format!("{data_centre}>{}", other.name), other.peer_address)
                };
                peers.push(Peer {
                    instance: other.name.clone(),
                    data_centre: other.data_centre.clone(),
                    address,
                });
            }
            for own in instances.iter().filter(|own| own.data_centre == *data_centre) {
                let own_peer = Peer {
                    instance: own.name.clone(),
                    data_centre: data_centre.clone(),
                    address: own.peer_address,
                };
                let others: Vec<Peer> = peers.iter().filter(|peer| peer.instance != own.name).cloned().collect();
                let text = render_settings(&own_peer, own.http_address, platform, &others, &layout.settings);
                std::fs::write(&own.settings_path, text)
                    .map_err(|source| FleetError::io(own.settings_path.display().to_string(), source))?;
            }
        }

        let mut standins = vec![
            start_platform(platform_address, folder.path())?,
            FleetProcess::start("standin-relay", "relay", &relay_args, folder.path())?,
        ];
        for (data_centre, address) in names.iter().zip(&worker_addresses) {
            standins.push(start_workers(
                &layout,
                data_centre,
                *address,
                platform_address,
                folder.path(),
            )?);
        }
        let client = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
        let mut fleet = Self {
            instances,
            layout,
            platform_address,
            relay_address,
            worker_addresses,
            client,
            standins,
            folder,
            _ports: ports,
        };
        for index in 0..fleet.instances.len() {
            fleet.start_instance(index)?;
        }
        if let Err(error) = fleet.apply_first_sheet().await {
            return Err(fleet.exited_process().unwrap_or(error));
        }
        Ok(fleet)
    }

    /// Returns the process that has exited, with the end of its log; it explains why a deployment does not start.
    fn exited_process(&mut self) -> Option<FleetError> {
        const LOG_LINES: usize = 5;
        let instances = self
            .instances
            .iter_mut()
            .filter_map(|instance| instance.process.as_mut());
        let mut processes = self.standins.iter_mut().chain(instances);
        let exited = processes.find_map(|process| process.has_exited().then_some(process));
        exited.map(|process| {
            let log = process.log();
            let lines: Vec<&str> = log.lines().collect();
            FleetError::Exited {
                name: process.name().to_owned(),
                log: lines[lines.len().saturating_sub(LOG_LINES)..].join("\n"),
            }
        })
    }

    /// Starts the process of an instance that is not running.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if the process cannot be started.
    pub fn start_instance(&mut self, index: usize) -> Result<(), FleetError> {
        let folder = self.folder.path();
        let instance = &mut self.instances[index];
        let args = ["--settings".to_owned(), instance.settings_path.display().to_string()];
        instance.process = Some(FleetProcess::start("galenaspoold", &instance.name, &args, folder)?);
        Ok(())
    }

    /// Waits until the instance reports that it is ready.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::NotReady`] if it is not ready after 20 s.
    pub async fn wait_ready(&self, index: usize) -> Result<(), FleetError> {
        let url = format!("{}/readyz", self.instances[index].url());
        self.wait_until(&url.clone(), Self::READY_TIMEOUT, async || {
            self.status_of(&url).await == 200
        })
        .await
    }

    /// Waits until the condition holds.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::NotReady`] if the condition does not hold after `timeout`.
    pub async fn wait_until(
        &self,
        description: &str,
        timeout: Duration,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> Result<(), FleetError> {
        let start = Instant::now();
        while !condition().await {
            if start.elapsed() > timeout {
                return Err(FleetError::NotReady {
                    condition: description.to_owned(),
                    waited_ms: start.elapsed().as_millis(),
                });
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn apply_first_sheet(&mut self) -> Result<(), FleetError> {
        let Some(sheet) = self.layout.sheet.clone() else {
            return Ok(());
        };
        let config = Sheet::parse(&sheet).map_err(|errors| FleetError::NotReady {
            condition: errors.to_string(),
            waited_ms: 0,
        })?;
        let first = self.instances[0].url();
        // Retried because the guarantees cannot be checked until the first instance has read the platform's list.
        self.wait_until("first sheet", Self::READY_TIMEOUT, async || {
            self.put_config(&first, &config, 0).await == 200
        })
        .await?;
        for index in 0..self.instances.len() {
            self.wait_ready(index).await?;
        }
        Ok(())
    }
}

fn start_platform(address: SocketAddr, folder: &Path) -> Result<FleetProcess, FleetError> {
    FleetProcess::start(
        "standin-platform",
        "platform",
        &["--address".into(), address.to_string()],
        folder,
    )
}

fn start_workers(
    layout: &Layout,
    data_centre: &str,
    address: SocketAddr,
    platform: SocketAddr,
    folder: &Path,
) -> Result<FleetProcess, FleetError> {
    let args = [
        ("--address", address.to_string()),
        ("--platform", format!("http://{platform}")),
        ("--data-centres", layout.data_centres.to_string()),
        ("--only", data_centre.to_owned()),
        ("--workers", layout.workers.to_string()),
        ("--workers-per-rack", layout.workers_per_rack.to_string()),
        ("--slots", layout.slots.to_string()),
        ("--accelerators", layout.slots.to_string()),
    ];
    let args: Vec<String> = args
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect();
    FleetProcess::start("standin-workers", &format!("workers-{data_centre}"), &args, folder)
}
