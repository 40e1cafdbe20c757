use std::sync::Arc;

use actix_web::web::{Data, Json, get, post};
use actix_web::{App, HttpResponse, HttpServer};

use super::link::Link;
use crate::running::listen;
use crate::{LinkModeRequest, RelayOptions, Running, StandinError};

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
    pub fn start(options: &RelayOptions) -> Result<Running, StandinError> {
        let (control, address) = listen(options.control)?;
        let mut links = Vec::new();
        let mut helpers = Vec::new();
        for link in &options.links {
            let (listener, listen) = listen(link.listen)?;
            let wrap = |source| StandinError::Listen {
                address: listen,
                source,
            };
            listener.set_nonblocking(true).map_err(wrap)?;
            let link = Arc::new(Link::new(link.clone(), listen));
            helpers.push(actix_rt::spawn(Arc::clone(&link).serve(listener)));
            links.push(link);
        }
        let links = Data::new(links);
        let server = HttpServer::new(move || {
            App::new()
                .app_data(Links::clone(&links))
                .route("/v1/links", get().to(show))
                .route("/v1/links", post().to(set_mode))
        });
        let server = server.workers(1).disable_signals().shutdown_timeout(1);
        let server = server
            .listen(control)
            .map_err(|source| StandinError::Listen { address, source })?;
        let mut running = Running::new(address, server.run());
        for helper in helpers {
            running.keep(helper);
        }
        Ok(running)
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
