use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix::Recipient;
use actix_rt::time::sleep;
use tokio::sync::Notify;

use crate::clock::boot_ms;
use crate::inquiry::Explain;
use crate::ports::{FeedError, OwnRow, Page, Place, RowsPage, Store, StoreError, Txn, TxnError};
use crate::rows::Parts;
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
    /// Time by which each outstanding call to the store should have its reply.
    pub outstanding: RefCell<BTreeMap<u64, u64>>,
    pub next_call: Cell<u64>,
    /// Usual time of a short call to the store in ms, smoothed.
    pub call_ms: Cell<f64>,
    pub parts: Parts,
    /// Scheduler of this instance, while it holds the lease.
    pub explainer: RefCell<Option<Recipient<Explain>>>,
    /// Wakes feeds when the store answers again.
    pub regained: Notify,
}

pub(crate) type SharedRef<S, W> = Rc<Shared<S, W>>;

/// Call to the store that has no reply yet.
#[derive(Debug)]
pub(crate) struct Outstanding<'a> {
    calls: &'a RefCell<BTreeMap<u64, u64>>,
    id: u64,
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        self.calls.borrow_mut().remove(&self.id);
    }
}

impl<S, W> Shared<S, W> {
    /// Least silence of the store on a call after which it counts as lost; it answers in milliseconds.
    const STORE_LOST_MS: u64 = 450;

    /// Longest silence before a slow store counts as lost: below the time that callers wait.
    const STORE_LOST_MAX_MS: u64 = 1_500;

    /// Multiple of the usual time of a call after which silence counts.
    const STORE_LOST_FACTOR: u64 = 4;

    /// Returns the silence after which the store counts as lost, from the usual time of its calls.
    fn store_lost_ms(&self) -> u64 {
        (self.call_ms.get() as u64 * Self::STORE_LOST_FACTOR).clamp(Self::STORE_LOST_MS, Self::STORE_LOST_MAX_MS)
    }

    /// Notes how long a call took.
    fn measure(&self, sent_ms: u64, is_answered: bool) {
        const WEIGHT: f64 = 0.3;
        if is_answered {
            let took_ms = boot_ms().saturating_sub(sent_ms) as f64;
            self.call_ms
                .set(self.call_ms.get() + (took_ms - self.call_ms.get()) * WEIGHT);
        }
    }

    /// Notes a reply of the store.
    pub fn store_heard(&self) {
        let mut view = self.view.borrow_mut();
        let now_ms = boot_ms();
        view.store_heard_ms = now_ms;
        if let Some(since_ms) = view.store_failing_ms.take() {
            let lost_ms = now_ms.saturating_sub(since_ms);
            if lost_ms > Self::STORE_LOST_MS {
                spdlog::info!("store_regained", kv: { lost_ms });
                self.regained.notify_waiters();
            }
        }
    }

    /// Notes a call to the store that failed or is overdue.
    pub fn store_failed(&self) {
        let mut view = self.view.borrow_mut();
        let now_ms = boot_ms();
        if view.store_failing_ms.is_none() {
            view.store_failing_ms = Some(now_ms);
            let heard_ms_ago = now_ms.saturating_sub(view.store_heard_ms);
            spdlog::warn!("store_failing", kv: { heard_ms_ago });
        }
    }

    /// Returns whether the store does not answer: calls are refused at once until it does.
    pub fn is_store_lost(&self) -> bool {
        let now_ms = boot_ms();
        let heard_ms = self.view.borrow().store_heard_ms;
        if let Some(due_ms) = self.outstanding.borrow().values().min().copied()
            && now_ms > due_ms + self.store_lost_ms()
            && heard_ms <= due_ms
        {
            return true;
        }
        let failing_ms = self.view.borrow().store_failing_ms;
        failing_ms.is_some_and(|since| now_ms > since + self.store_lost_ms() && heard_ms <= since)
    }

    /// Notes a call whose reply may take `wait_ms` longer than usual.
    pub fn call_begins(&self, wait_ms: u64) -> Outstanding<'_> {
        let id = self.next_call.get();
        self.next_call.set(id + 1);
        self.outstanding.borrow_mut().insert(id, boot_ms() + wait_ms);
        Outstanding {
            calls: &self.outstanding,
            id,
        }
    }
}

impl<S: Store, W> Shared<S, W> {
    /// Commits a transaction and notes what the outcome says of the store.
    pub async fn transact(&self, txn: &Txn) -> Result<u64, TxnError> {
        let call = self.call_begins(0);
        let sent_ms = boot_ms();
        let result = self.store.transact(txn).await;
        self.measure(sent_ms, matches!(result, Ok(_) | Err(TxnError::Conflict(_))));
        drop(call);
        self.count("write", result.is_ok());
        match &result {
            Ok(_) | Err(TxnError::Conflict(_)) => self.store_heard(),
            Err(_) => self.store_failed(),
        }
        result
    }

    /// Reads rows and notes what the outcome says of the store.
    pub async fn read(&self, place: &Place, from: &str, to: &str) -> Result<RowsPage, StoreError> {
        let call = self.call_begins(0);
        let sent_ms = boot_ms();
        let result = self.store.read(place, from, to).await;
        self.measure(sent_ms, result.is_ok());
        drop(call);
        self.count("read", result.is_ok());
        self.note(result.is_ok());
        result
    }

    /// Reads all rows of a range; returns them with the version after which changes have to be read.
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
                // The first key behind the last one: no key continues it with a character below this one.
                Some(last) if has_more => from = format!("{}!", last.key),
                _ => return Ok((rows, first_version.unwrap_or(0))),
            }
        }
    }

    /// Runs a call that waits for changes; ends early when the store is back after it was lost.
    pub async fn feed<T>(
        &self,
        wait_ms: u64,
        call: impl Future<Output = Result<Page<T>, FeedError>>,
    ) -> Result<Page<T>, FeedError> {
        let outstanding = self.call_begins(wait_ms);
        let result = tokio::select! {
            result = call => result,
            () = self.regained.notified() => Err(FeedError::Store(StoreError::NoReply)),
        };
        drop(outstanding);
        self.count("feed", result.is_ok());
        self.note(!matches!(result, Err(FeedError::Store(_))));
        result
    }

    fn note(&self, is_heard: bool) {
        if is_heard {
            self.store_heard();
        } else {
            self.store_failed();
        }
    }

    fn count(&self, operation: &str, is_ok: bool) {
        let outcome = if is_ok { "ok" } else { "failed" };
        self.metrics.store_calls.with_label_values(&[operation, outcome]).inc();
    }

    /// Returns once the store counts as lost.
    pub async fn store_lost(&self) {
        const LOOK: Duration = Duration::from_millis(50);
        while !self.is_store_lost() {
            sleep(LOOK).await;
        }
    }
}

/// Probes the store while it does not answer, on fresh connections: those in use may stay silent for good.
pub(crate) async fn probe_store<S: Store, W>(shared: SharedRef<S, W>) {
    const LOOK: Duration = Duration::from_millis(100);
    const PAUSE: Duration = Duration::from_millis(150);
    loop {
        sleep(LOOK).await;
        while shared.is_store_lost() {
            shared.store_failed();
            if shared.store.probe().await.is_ok() {
                shared.store_heard();
            } else {
                sleep(PAUSE).await;
            }
        }
    }
}
