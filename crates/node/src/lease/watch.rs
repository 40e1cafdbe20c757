use std::time::Duration;

use actix::Addr;
use actix_rt::time::sleep;

use super::LeaseActor;
use super::messages::{FeedFailed, LeaseRows};
use crate::ports::{FeedError, Store, Workers};
use crate::rows::LEASE;
use crate::shared::SharedRef;

/// Follows changes of the lease rows until the lease actor stops.
pub(super) async fn watch_lease<S: Store, W: Workers>(shared: SharedRef<S, W>, lease_actor: Addr<LeaseActor<S, W>>) {
    const RETRY_INTERVAL: Duration = Duration::from_millis(100);
    let mut after = None;
    let mut is_feed_failed = true;
    while lease_actor.connected() {
        let result = match after {
            None => {
                let place = shared.parts.of_lease_holder(LEASE);
                shared.read(&place, "", "").await.map_err(FeedError::Store)
            }
            Some(after) => {
                let wait_ms = LeaseActor::<S, W>::FEED_WAIT_MS;
                shared.feed(wait_ms, shared.store.changes(LEASE, after, wait_ms)).await
            }
        };
        match result {
            Ok(page) => {
                after = Some(page.version);
                lease_actor.do_send(LeaseRows {
                    rows: page.items,
                    is_first_read: std::mem::take(&mut is_feed_failed),
                });
            }
            Err(FeedError::HistoryLost) => after = None,
            Err(FeedError::Store(_)) => {
                is_feed_failed = true;
                lease_actor.do_send(FeedFailed);
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
