use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix::Recipient;
use actix_rt::time::sleep;
use supervise::Supervisor;
use tokio::sync::Notify;

use crate::clock::boot_ms;
use crate::diagnostics::Explain;
use crate::ports::{FeedError, OwnRow, Page, Place, RowsPage, Store, StoreError, Txn, TxnError};
use crate::rows::Parts;
use crate::{Metrics, NodeSettings, View};

/// State shared by all components of an instance, which run on one thread.
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
    /// Time by which the reply to each outstanding call to the store is due.
    pub outstanding: RefCell<BTreeMap<u64, u64>>,
    pub next_call: Cell<u64>,
    /// Exponential moving average of the time that a short call to the store takes, in ms.
    pub smoothed_call_ms: Cell<f64>,
    pub parts: Parts,
    /// Scheduler driver that explains jobs, while this instance holds the lease.
    pub explainer: RefCell<Option<Recipient<Explain>>>,
    /// Ends long polls of the feeds when the store answers again.
    pub store_recovered: Notify,
    /// Starts the parts of the instance and reports those that end.
    pub supervisor: Supervisor,
}

pub(crate) type SharedRef<S, W> = Rc<Shared<S, W>>;

/// Guard of a call to the store that has no reply yet.
#[derive(Debug)]
pub(crate) struct OutstandingCall<'a> {
    calls: &'a RefCell<BTreeMap<u64, u64>>,
    id: u64,
}

impl Drop for OutstandingCall<'_> {
    fn drop(&mut self) {
        self.calls.borrow_mut().remove(&self.id);
    }
}

impl<S, W> Shared<S, W> {
    /// Minimum time without a reply after which the store counts as unresponsive; it usually answers in milliseconds.
    const STORE_UNRESPONSIVE_MS: u64 = 450;

    /// Upper bound of that time for a slow store; less than callers wait.
    const STORE_UNRESPONSIVE_MAX_MS: u64 = 1_500;

    /// Multiple of the average call time after which the store counts as unresponsive.
    const STORE_UNRESPONSIVE_FACTOR: u64 = 4;

    /// Returns the time without a reply after which the store counts as unresponsive, from the average call time.
    fn store_unresponsive_ms(&self) -> u64 {
        (self.smoothed_call_ms.get() as u64 * Self::STORE_UNRESPONSIVE_FACTOR)
            .clamp(Self::STORE_UNRESPONSIVE_MS, Self::STORE_UNRESPONSIVE_MAX_MS)
    }

    /// Adds the time of an answered call to the average.
    fn record_call_time(&self, sent_ms: u64, is_answered: bool) {
        const WEIGHT: f64 = 0.3;
        if is_answered {
            let took_ms = boot_ms().saturating_sub(sent_ms) as f64;
            self.smoothed_call_ms
                .set(self.smoothed_call_ms.get() + (took_ms - self.smoothed_call_ms.get()) * WEIGHT);
        }
    }

    /// Gives up readiness and leaves the scheduling lease to other instances.
    pub fn begin_stop(&self) {
        self.is_stopping.set(true);
        self.view.borrow_mut().is_stopping = true;
    }

    /// Records a reply of the store.
    pub fn record_store_reply(&self) {
        let mut view = self.view.borrow_mut();
        let now_ms = boot_ms();
        view.store_last_reply_ms = now_ms;
        if let Some(since_ms) = view.store_failing_since_ms.take() {
            let lost_ms = now_ms.saturating_sub(since_ms);
            if lost_ms > Self::STORE_UNRESPONSIVE_MS {
                spdlog::info!("store_regained", kv: { lost_ms });
                self.store_recovered.notify_waiters();
            }
        }
    }

    /// Records a call to the store that failed or is overdue.
    pub fn record_store_failure(&self) {
        let mut view = self.view.borrow_mut();
        let now_ms = boot_ms();
        if view.store_failing_since_ms.is_none() {
            view.store_failing_since_ms = Some(now_ms);
            let heard_ms_ago = now_ms.saturating_sub(view.store_last_reply_ms);
            spdlog::warn!("store_failing", kv: { heard_ms_ago });
        }
    }

    /// Returns whether the store is unresponsive; calls are refused at once until it answers.
    pub fn is_store_unresponsive(&self) -> bool {
        let now_ms = boot_ms();
        let last_reply_ms = self.view.borrow().store_last_reply_ms;
        if let Some(due_ms) = self.outstanding.borrow().values().min().copied()
            && now_ms > due_ms + self.store_unresponsive_ms()
            && last_reply_ms <= due_ms
        {
            return true;
        }
        let failing_since_ms = self.view.borrow().store_failing_since_ms;
        failing_since_ms
            .is_some_and(|since_ms| now_ms > since_ms + self.store_unresponsive_ms() && last_reply_ms <= since_ms)
    }

    /// Registers a call whose reply may take `wait_ms` longer than usual.
    pub fn begin_call(&self, wait_ms: u64) -> OutstandingCall<'_> {
        let id = self.next_call.get();
        self.next_call.set(id + 1);
        self.outstanding.borrow_mut().insert(id, boot_ms() + wait_ms);
        OutstandingCall {
            calls: &self.outstanding,
            id,
        }
    }
}

impl<S: Store, W> Shared<S, W> {
    /// Commits a transaction and records whether the store answered.
    pub async fn transact(&self, txn: &Txn) -> Result<u64, TxnError> {
        let call = self.begin_call(0);
        let sent_ms = boot_ms();
        let result = self.store.transact(txn).await;
        self.record_call_time(sent_ms, matches!(result, Ok(_) | Err(TxnError::Conflict(_))));
        drop(call);
        self.count_call("write", result.is_ok());
        match &result {
            Ok(_) | Err(TxnError::Conflict(_)) => self.record_store_reply(),
            Err(_) => self.record_store_failure(),
        }
        result
    }

    /// Reads rows and records whether the store answered.
    pub async fn read(&self, place: &Place, from: &str, to: &str) -> Result<RowsPage, StoreError> {
        let call = self.begin_call(0);
        let sent_ms = boot_ms();
        let result = self.store.read(place, from, to).await;
        self.record_call_time(sent_ms, result.is_ok());
        drop(call);
        self.count_call("read", result.is_ok());
        self.record_outcome(result.is_ok());
        result
    }

    /// Reads all rows of a range; returns them with the version from which to follow changes.
    pub async fn read_range(&self, place: &Place, from: &str, to: &str) -> Result<(Vec<OwnRow>, u64), StoreError> {
        let mut rows: Vec<OwnRow> = Vec::new();
        let mut first_version = None;
        let mut from = from.to_owned();
        loop {
            let page = self.read(place, &from, to).await?;
            first_version.get_or_insert(page.version);
            let has_more = page.has_more && !page.items.is_empty();
            rows.extend(page.items);
            match rows.last() {
                // First key after the last one: no key continues it with a character below `!`.
                Some(last) if has_more => from = format!("{}!", last.key),
                _ => return Ok((rows, first_version.unwrap_or(0))),
            }
        }
    }

    /// Runs a long poll for changes; ends it early when the store recovers.
    pub async fn feed<T>(
        &self,
        wait_ms: u64,
        call: impl Future<Output = Result<Page<T>, FeedError>>,
    ) -> Result<Page<T>, FeedError> {
        let outstanding = self.begin_call(wait_ms);
        let result = tokio::select! {
            result = call => result,
            () = self.store_recovered.notified() => Err(FeedError::Store(StoreError::NoReply)),
        };
        drop(outstanding);
        self.count_call("feed", result.is_ok());
        self.record_outcome(!matches!(result, Err(FeedError::Store(_))));
        result
    }

    fn record_outcome(&self, is_answered: bool) {
        if is_answered {
            self.record_store_reply();
        } else {
            self.record_store_failure();
        }
    }

    fn count_call(&self, operation: &str, is_ok: bool) {
        let outcome = if is_ok { "ok" } else { "failed" };
        self.metrics.store_calls.with_label_values(&[operation, outcome]).inc();
    }

    /// Waits until the store counts as unresponsive.
    pub async fn store_unresponsive(&self) {
        const CHECK_INTERVAL: Duration = Duration::from_millis(50);
        while !self.is_store_unresponsive() {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Probes an unresponsive store on fresh connections, since existing connections may never answer again.
pub(crate) async fn probe_store<S: Store, W>(shared: SharedRef<S, W>) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(100);
    const PROBE_INTERVAL: Duration = Duration::from_millis(150);
    loop {
        sleep(CHECK_INTERVAL).await;
        while shared.is_store_unresponsive() {
            shared.record_store_failure();
            if shared.store.probe().await.is_ok() {
                shared.record_store_reply();
            } else {
                sleep(PROBE_INTERVAL).await;
            }
        }
    }
}
