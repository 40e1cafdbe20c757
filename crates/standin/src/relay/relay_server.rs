use std::sync::Arc;

use actix_web::HttpResponse;
use actix_web::web::{Data, Json, get, post};

use super::link::Link;
use crate::running_server::serve;
use crate::{LinkModeRequest, RelayOptions, RunningServer, StandinError};

/// TCP relay between processes.
#[derive(Debug)]
pub struct Relay;

type Links = Data<Vec<Arc<Link>>>;

impl Relay {
    /// Starts the relay; the returned server is its control endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if an address cannot be listened on.
    pub fn start(options: &RelayOptions) -> Result<RunningServer, StandinError> {
        let mut links = Vec::new();
        let mut background_tasks = Vec::new();
        for link in &options.links {
            let (link, listener) = Link::new(link.clone())?;
            let link = Arc::new(link);
            background_tasks.push(actix_rt::spawn(Arc::clone(&link).serve(listener)));
            links.push(link);
        }
        let links = Links::new(links);
        let mut server = serve(options.control, 1, move |config| {
            config
                .app_data(Links::clone(&links))
                .route("/v1/links", get().to(show))
                .route("/v1/links", post().to(set_mode));
        })?;
        for task in background_tasks {
            server.abort_on_drop(task);
        }
        Ok(server)
    }
}

async fn show(links: Links) -> HttpResponse {
    HttpResponse::Ok().json(links.iter().map(|link| link.status()).collect::<Vec<_>>())
}

async fn set_mode(links: Links, request: Json<LinkModeRequest>) -> HttpResponse {
    let is_known = |name: &String| links.iter().any(|link| link.name() == name);
    if !request.links.iter().all(is_known) {
        return HttpResponse::NotFound().finish();
    }
    for link in links.iter() {
        if request.links.is_empty() || request.links.iter().any(|name| name == link.name()) {
            link.set_mode(request.mode);
        }
    }
    HttpResponse::Ok().finish()
}
