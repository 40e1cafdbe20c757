use std::time::Duration;

use actix::Addr;
use actix_rt::time::sleep;

use super::LeaseKeeper;
use super::messages::{FeedLost, LeaseRows};
use crate::ports::{FeedError, Store, Workers};
use crate::rows::LEASE;
use crate::shared::SharedRef;

/// Follows the rows of the lease for as long as the keeper lives.
pub(super) async fn follow<S: Store, W: Workers>(shared: SharedRef<S, W>, keeper: Addr<LeaseKeeper<S, W>>) {
    const RETRY: Duration = Duration::from_millis(100);
    let mut after = None;
    let mut is_lost = true;
    while keeper.connected() {
        let result = match after {
            None => {
                let place = shared.parts.of_holder(LEASE);
                shared.read(&place, "", "").await.map_err(FeedError::Store)
            }
            Some(after) => {
                let wait_ms = LeaseKeeper::<S, W>::FEED_WAIT_MS;
                shared.feed(wait_ms, shared.store.changes(LEASE, after, wait_ms)).await
            }
        };
        match result {
            Ok(page) => {
                after = Some(page.version);
                keeper.do_send(LeaseRows {
                    rows: page.items,
                    is_first_look: std::mem::take(&mut is_lost),
                });
            }
            Err(FeedError::HistoryLost) => after = None,
            Err(FeedError::Store(_)) => {
                is_lost = true;
                keeper.do_send(FeedLost);
                sleep(RETRY).await;
            }
        }
    }
}
