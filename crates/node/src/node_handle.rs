use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use actix_rt::time::sleep;
use supervise::Supervisor;
use timer::Timer;
use tokio::sync::Notify;

use crate::clock::{boot_ms, unix_ms};
use crate::lease::{LeaseActor, Release};
use crate::ports::{FeedError, OperatorChange, Store, Workers};
use crate::rows::Parts;
use crate::shared::{Shared, SharedRef, probe_store};
use crate::{Diagnostics, Metrics, NodeSettings, RequestHandler, View};

/// Running instance of a scheduling domain. Bound to the thread that started it, which must run an actix system.
pub struct Node<S: Store, W: Workers> {
    shared: SharedRef<S, W>,
    lease_actor: Addr<LeaseActor<S, W>>,
}

impl<S: Store, W: Workers> std::fmt::Debug for Node<S, W> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node").finish_non_exhaustive()
    }
}

impl<S: Store, W: Workers> Node<S, W> {
    /// Starts all components. Neither the store nor the workers need to be reachable.
    ///
    /// If `supervisor` reports the end of a part, the instance cannot go on and its process has to end, so that another
    /// instance takes the scheduling lease over.
    pub fn start(settings: NodeSettings, store: S, workers: W, supervisor: &Supervisor) -> Self {
        spdlog::info!("node_started", kv: {
            instance = settings.instance.as_str(), data_centre = settings.data_centre.as_str(),
            lease_ttl_ms = settings.lease_ttl_ms
        });
        let parts = Parts {
            is_split: settings.has_cross_part_txns,
        };
        let shared = Rc::new(Shared {
            parts,
            smoothed_call_ms: Cell::new(0.0),
            settings,
            store,
            workers,
            view: RefCell::new(View {
                store_last_reply_ms: boot_ms(),
                ..View::default()
            }),
            metrics: Metrics::new(),
            is_stopping: Cell::new(false),
            open_calls: Rc::new(Cell::new(0)),
            started_unix_ms: unix_ms(),
            outstanding: RefCell::default(),
            next_call: Cell::new(0),
            explainer: RefCell::default(),
            store_recovered: Notify::new(),
            supervisor: supervisor.clone(),
        });
        let timer = Timer::new(supervisor.clone()).start();
        let lease_actor = LeaseActor::new(Rc::clone(&shared), timer.clone()).start();
        actix_rt::spawn(supervisor.watch("timer", timer));
        actix_rt::spawn(supervisor.watch("lease", lease_actor.clone()));
        actix_rt::spawn(supervisor.run("operators", follow_operators(Rc::clone(&shared))));
        actix_rt::spawn(supervisor.run("store_probe", probe_store(Rc::clone(&shared))));
        Self { shared, lease_actor }
    }

    /// Returns the handler of callers' requests.
    pub fn request_handler(&self) -> RequestHandler<S, W> {
        RequestHandler::new(Rc::clone(&self.shared))
    }

    /// Returns the diagnostics for operators.
    pub fn diagnostics(&self) -> Diagnostics<S, W> {
        Diagnostics::new(Rc::clone(&self.shared))
    }

    /// Begins a planned stop: readiness fails and the scheduling lease is released, while calls are still served.
    pub async fn begin_stop(&self) {
        spdlog::info!("node_stopping", kv: { instance = self.shared.settings.instance.as_str() });
        self.shared.begin_stop();
        if let Err(error) = self.lease_actor.send(Release).await {
            spdlog::warn!("lease_release_failed", kv: { cause = error.to_string() });
        }
    }
}

/// Follows the operators' changes: configuration, data centres and maintenance waves.
async fn follow_operators<S: Store, W: Workers>(shared: SharedRef<S, W>) {
    // Each reply confirms the configuration; keys are refused if the last confirmation is too old.
    const FEED_WAIT_MS: u64 = 1_000;
    const RETRY_INTERVAL: Duration = Duration::from_millis(100);
    let mut after = None;
    let mut is_config_confirmed = false;
    loop {
        let sent_ms = boot_ms();
        // After a failure the configuration must be confirmed at once, not at the next change.
        let wait_ms = if is_config_confirmed { FEED_WAIT_MS } else { 0 };
        let result = match after {
            None => {
                let state = async { shared.store.operator_state().await.map_err(FeedError::Store) };
                shared.feed(0, state).await
            }
            Some(after) => {
                shared
                    .feed(wait_ms, shared.store.operator_changes(after, wait_ms))
                    .await
            }
        };
        is_config_confirmed = result.is_ok();
        match result {
            Ok(page) => {
                if after.is_none() {
                    let mut view = shared.view.borrow_mut();
                    view.out_of_service.clear();
                    view.waves.clear();
                    view.waves_revision += 1;
                }
                let has_more = page.has_more;
                after = Some(page.version);
                for change in page.items {
                    apply(&shared, change);
                }
                if !has_more {
                    // Changes made after the call was sent may be missing, so its send time counts.
                    shared.view.borrow_mut().config_confirmed_ms = sent_ms;
                }
            }
            Err(FeedError::HistoryLost) => {
                spdlog::warn!("history_lost", kv: { table = "operators" });
                after = None;
            }
            Err(FeedError::Store(_)) => sleep(RETRY_INTERVAL).await,
        }
    }
}

fn apply<S, W>(shared: &SharedRef<S, W>, change: OperatorChange) {
    let mut view = shared.view.borrow_mut();
    match change {
        OperatorChange::Config(config, row_version) => {
            let (version, routes) = (config.version, config.routes.len());
            if view.set_config(*config, row_version) {
                spdlog::info!("config_in_force", kv: { version, row_version, routes });
            }
        }
        OperatorChange::UnreadableConfig => spdlog::error!("config_unreadable"),
        OperatorChange::DataCentre { name, is_out } => {
            spdlog::info!("data_centre_changed", kv: { data_centre = name.as_str(), is_out });
            if is_out {
                view.out_of_service.insert(name);
            } else {
                view.out_of_service.remove(&name);
            }
        }
        OperatorChange::Wave(number, wave) => {
            spdlog::info!("wave_changed", kv: { wave = number, is_open = wave.is_some() });
            view.waves_revision += 1;
            match wave {
                Some(wave) => view.waves.insert(number, *wave),
                None => view.waves.remove(&number),
            };
        }
        OperatorChange::UnreadableWave(number) => spdlog::error!("wave_unreadable", kv: { wave = number }),
        OperatorChange::Other(key) => spdlog::debug!("operator_row", kv: { key = key.as_str() }),
    }
}
