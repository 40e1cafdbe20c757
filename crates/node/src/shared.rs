use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::clock::boot_ms;
use crate::{Metrics, NodeSettings, View};

/// State that all parts of an instance share; they run on one thread.
#[derive(Debug)]
pub(crate) struct Shared<S, W> {
    pub settings: NodeSettings,
    pub store: S,
    pub workers: W,
    pub view: RefCell<View>,
    pub metrics: Metrics,
    pub is_stopping: Cell<bool>,
    pub open_calls: Rc<Cell<u64>>,
    pub started_unix_ms: u64,
}

pub(crate) type SharedRef<S, W> = Rc<Shared<S, W>>;

impl<S, W> Shared<S, W> {
    /// Silence of the store after which calls are refused at once; shorter gaps are bridged by retries.
    const STORE_LOST_MS: u64 = 800;

    /// Notes a reply of the store to a call that was sent at `sent_ms`.
    pub fn store_heard(&self) {
        let mut view = self.view.borrow_mut();
        let now_ms = boot_ms();
        view.store_heard_ms = now_ms;
        if let Some(since_ms) = view.store_failing_ms.take() {
            let lost_ms = now_ms.saturating_sub(since_ms);
            if lost_ms > Self::STORE_LOST_MS {
                spdlog::info!("store_regained", kv: { lost_ms });
            }
        }
    }

    /// Notes a call to the store that failed.
    pub fn store_failed(&self) {
        let mut view = self.view.borrow_mut();
        let now_ms = boot_ms();
        if view.store_failing_ms.is_none() {
            view.store_failing_ms = Some(now_ms);
            let heard_ms_ago = now_ms.saturating_sub(view.store_heard_ms);
            spdlog::warn!("store_failing", kv: { heard_ms_ago });
        }
    }

    /// Returns whether the store has not replied for so long that calls are refused at once.
    pub fn is_store_lost(&self) -> bool {
        let view = self.view.borrow();
        let now_ms = boot_ms();
        view.store_failing_ms
            .is_some_and(|since| now_ms > since + Self::STORE_LOST_MS && now_ms > view.store_heard_ms + Self::STORE_LOST_MS)
    }
}
