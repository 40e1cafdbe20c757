use std::time::Duration;

use actix_rt::time::{interval, sleep};
use actix_web::web::Data;
use store::{PlatformClient, PlatformClientOptions};

use super::WorkersOptions;
use super::workers_routes::routes;
use super::workers_shared::Shared;
use crate::running_server::serve;
use crate::{RunningServer, StandinError};

/// Stand-in for many workers.
#[derive(Debug)]
pub struct Workers;

impl Workers {
    /// Starts the workers and registers them with the platform if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if the address cannot be listened on.
    pub fn start(options: &WorkersOptions) -> Result<RunningServer, StandinError> {
        const THREADS: usize = 2;
        let shared = Data::new(Shared::new(options));
        let app_shared = Data::clone(&shared);
        let mut server = serve(options.address, THREADS, move |config| {
            config.app_data(Data::clone(&app_shared)).configure(routes);
        })?;
        server.abort_on_drop(actix_rt::spawn(tick(Data::clone(&shared))));
        if let Some(platform) = &options.platform {
            let base_url = options.advertise.clone().unwrap_or_else(|| server.url());
            let client = PlatformClient::new(PlatformClientOptions::new(platform));
            let pause = Duration::from_millis(options.register_interval_ms);
            server.abort_on_drop(actix_rt::spawn(register(shared, client, base_url, pause)));
        }
        Ok(server)
    }
}

async fn tick(shared: Data<Shared>) {
    let mut ticks = interval(Duration::from_millis(5));
    loop {
        ticks.tick().await;
        shared.tick();
    }
}

/// Registers all workers periodically, so that changes of state and restarts of the platform are covered.
async fn register(shared: Data<Shared>, client: PlatformClient, base_url: String, pause: Duration) {
    loop {
        // If the platform is unreachable, the next pass registers again.
        let _ = client.register(&shared.listing(&base_url)).await;
        sleep(pause).await;
    }
}
