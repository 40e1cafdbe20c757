use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::prelude::*;
use actix_rt::time::sleep;
use conf::Settings;
use intake::PeerIntake;
use supervise::Supervisor;
use timer::Timer;
use trace::{Event, EventKind};

use crate::config::ConfigActor;
use crate::context::{Clients, Context};
use crate::http::{ApiState, HttpInterface, OpenRequests};
use crate::intake_limits::peer_limits;
use crate::jobs::JobActor;
use crate::members::{Members, PeerInterface, PeerServer};
use crate::scheduling::{Drivers, Schedulers, StopScheduling};
use crate::urgent::{Flush, UrgentActor};
use crate::{EntryError, Listeners};

/// Running entry instance, bound to the thread that started it, which must run an actix system.
#[derive(Debug)]
pub struct Entry {
    context: Context,
    http: HttpInterface,
    peer: PeerInterface,
    schedulers: Addr<Schedulers>,
    urgent: Addr<UrgentActor>,
}

impl Entry {
    /// Starts all actors and both servers. The store need not be reachable.
    ///
    /// If `supervisor` reports the end of a part, the process has to end.
    ///
    /// # Errors
    ///
    /// Returns [`EntryError::Listen`] if a socket cannot be used.
    pub fn start(settings: Settings, listeners: Listeners, supervisor: &Supervisor) -> Result<Self, EntryError> {
        let context = Context::new(settings);
        let clients = Clients::new(&context.settings);
        let timer = Timer::new(supervisor.clone()).start();
        let drivers = Drivers::default();
        let config = ConfigActor::new(context.clone(), clients.clone(), timer.clone()).start();
        let members = Members::new(context.clone(), clients.clone(), timer.clone(), config.clone()).start();
        let urgent = UrgentActor::new(context.clone(), clients.clone(), timer.clone()).start();
        let schedulers = Schedulers::new(
            context.clone(),
            clients.clone(),
            timer.clone(),
            urgent.clone(),
            drivers.clone(),
            supervisor.clone(),
        )
        .start();
        let job_actor = JobActor::new(context.clone(), clients, drivers.clone(), urgent.clone()).start();
        actix_rt::spawn(supervisor.watch("timer", timer));
        actix_rt::spawn(supervisor.watch("config", config.clone()));
        actix_rt::spawn(supervisor.watch("members", members.clone()));
        actix_rt::spawn(supervisor.watch("urgent", urgent.clone()));
        actix_rt::spawn(supervisor.watch("schedulers", schedulers.clone()));
        actix_rt::spawn(supervisor.watch("jobs", job_actor.clone()));
        let server = PeerServer {
            context: context.clone(),
            members,
            config: config.clone(),
            urgent: urgent.clone(),
            drivers,
        };
        let listen_error = |address| move |source| EntryError::Listen { address, source };
        let peers = PeerIntake::new(peer_limits(&context.settings));
        let peer = PeerInterface::start(server, &context.settings, peers.clone(), listeners.peer, supervisor)
            .map_err(listen_error(context.settings.peer_address))?;
        let state = ApiState {
            open: Arc::new(OpenRequests::new(context.settings.max_open_requests)),
            context: context.clone(),
            config,
            job_actor,
            peers,
        };
        let http = HttpInterface::start(state, listeners.http, supervisor)
            .map_err(listen_error(context.settings.http_address))?;
        let event = Event::new(EventKind::InstanceStarted).data_centre(context.settings.data_centre.clone());
        context.timeline.push(event.cause(context.settings.instance.as_str()));
        Ok(Self {
            context,
            http,
            peer,
            schedulers,
            urgent,
        })
    }

    /// Returns the address of the HTTP interface.
    pub const fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Performs a planned stop: no request is interrupted, and scheduling leases and grants are released.
    pub async fn stop(self) {
        let settings = self.context.settings.clone();
        let instance = settings.instance.as_str();
        let record_event = |kind| self.context.timeline.push(Event::new(kind).cause(instance));
        record_event(EventKind::InstanceStopping);
        // From here on the instance is not ready, so the load balancer sends callers elsewhere; requests that still
        // arrive are served.
        self.context.published.set_stopping();
        sleep(Duration::from_millis(settings.balancer_drain_ms)).await;
        // Another instance can schedule while the last requests are served here.
        let _ = self.schedulers.send(StopScheduling).await;
        self.http.stop().await;
        let _ = self.urgent.send(Flush).await;
        // Calls of other instances ended with the grants; only their connections remain open.
        self.peer.stop().await;
        record_event(EventKind::InstanceStopped);
        self.context.published.set_stopped();
    }
}
