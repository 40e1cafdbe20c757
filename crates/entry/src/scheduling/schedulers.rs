use std::collections::BTreeMap;
use std::time::Duration;

use actix::prelude::*;
use actix_rt::time::sleep;
use model::DataCentreId;
use supervise::Supervisor;
use timer::{Subscribe, Tick, Timer};

use super::driver_messages::SetElector;
use super::elector::IsReleased;
use super::{Driver, Drivers, Elector, HandOver};
use crate::context::{Clients, Context as Shared};
use crate::urgent::UrgentActor;

/// Interval of checking the platform's list for new data centres.
const LISTING_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Poll interval and limit of the wait for each lease to be released in a planned stop.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);
const RELEASE_MAX_POLLS: u32 = 200;

/// Actor that runs an elector and a driver for each data centre that the platform lists.
#[derive(Debug)]
pub(crate) struct Schedulers {
    shared: Shared,
    clients: Clients,
    timer: Addr<Timer>,
    urgent: Addr<UrgentActor>,
    drivers: Drivers,
    supervisor: Supervisor,
    electors: BTreeMap<DataCentreId, Addr<Elector>>,
}

/// Hands over and releases all scheduling leases; replies when this is done.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct StopScheduling;

impl Schedulers {
    pub(crate) fn new(
        shared: Shared,
        clients: Clients,
        timer: Addr<Timer>,
        urgent: Addr<UrgentActor>,
        drivers: Drivers,
        supervisor: Supervisor,
    ) -> Self {
        Self {
            shared,
            clients,
            timer,
            urgent,
            drivers,
            supervisor,
            electors: BTreeMap::new(),
        }
    }

    fn start(&mut self, data_centre: DataCentreId) {
        let driver = Driver::new(
            self.shared.clone(),
            self.clients.clone(),
            self.timer.clone(),
            self.urgent.clone(),
            data_centre.clone(),
        )
        .start();
        let elector = Elector::new(
            self.shared.clone(),
            self.clients.clone(),
            self.timer.clone(),
            driver.clone(),
            data_centre.clone(),
        )
        .start();
        driver.do_send(SetElector(elector.clone()));
        actix_rt::spawn(self.supervisor.watch("driver", driver.clone()));
        actix_rt::spawn(self.supervisor.watch("elector", elector.clone()));
        self.drivers.insert(data_centre.clone(), driver);
        self.electors.insert(data_centre, elector);
    }
}

impl Actor for Schedulers {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.timer
            .do_send(Subscribe::every(LISTING_CHECK_INTERVAL, ctx.address().recipient()));
    }
}

impl Handler<Tick> for Schedulers {
    type Result = ();

    fn handle(&mut self, _: Tick, ctx: &mut Self::Context) {
        if self.shared.published.is_stopped() {
            ctx.stop();
            return;
        }
        let listing = self.shared.published.listing();
        for worker in &listing.workers {
            if !self.electors.contains_key(&worker.data_centre) && !self.shared.published.is_stopping() {
                self.start(worker.data_centre.clone());
            }
        }
    }
}

impl Handler<StopScheduling> for Schedulers {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: StopScheduling, _: &mut Self::Context) -> Self::Result {
        for driver in self.drivers.all() {
            driver.do_send(HandOver { permanently: true });
        }
        let electors: Vec<Addr<Elector>> = self.electors.values().cloned().collect();
        Box::pin(async move {
            for elector in electors {
                for _ in 0..RELEASE_MAX_POLLS {
                    if elector.send(IsReleased).await.unwrap_or(true) {
                        break;
                    }
                    sleep(RELEASE_POLL_INTERVAL).await;
                }
            }
        })
    }
}
