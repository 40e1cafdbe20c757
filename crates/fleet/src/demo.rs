use std::path::Path;
use std::time::Duration;

use load::{Options, Report};

use crate::{Fleet, FleetError, Layout};

/// Starts a deployment, submits a mix of jobs while a data centre is taken out of service and put back, and writes the
/// timeline.
///
/// # Errors
///
/// Returns [`FleetError`] if the deployment does not start or the run cannot be carried out.
pub async fn run_demo(sheet: &str, seed: u64, seconds: u64, rate_per_s: u64, out: &Path) -> Result<Report, FleetError> {
    let fleet = Fleet::start(Layout::new().sheet(sheet)).await?;
    // Grants reach the instances within a second of the election.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let options = Options {
        servers: fleet.servers(),
        workers: fleet.worker_urls(),
        duration_s: seconds,
        rate_per_s,
        seed,
        give_up_s: 45,
        absence: Some(("dc2".into(), seconds / 3, seconds * 2 / 3)),
    };
    let report = load::run(&options).await?;
    let records = fleet.timeline().await;
    let write = |name: &str, text: String| {
        let path = out.join(name);
        std::fs::write(&path, text).map_err(|source| FleetError::io(path.display().to_string(), source))
    };
    std::fs::create_dir_all(out).map_err(|source| FleetError::io(out.display().to_string(), source))?;
    write("timeline.txt", trace::to_text(&records))?;
    write("timeline.svg", trace::to_svg(&records))?;
    for server in fleet.servers() {
        if let Ok(metrics) = fleet.get_text(&format!("{server}/metrics")).await {
            for line in metrics
                .lines()
                .filter(|line| line.contains("fragmentation") && !line.starts_with('#'))
            {
                println!("{line}");
            }
        }
    }
    Ok(report)
}

impl Fleet {
    /// Fetches a URL and returns the body as text.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::Http`] if there is no complete reply.
    pub async fn get_text(&self, url: &str) -> Result<String, FleetError> {
        let failed = || FleetError::Http {
            url: url.to_owned(),
            status: 0,
        };
        let mut response = self.client.get(url).send().await.map_err(|_| failed())?;
        let body = response.body().limit(64 << 20).await.map_err(|_| failed())?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }
}
