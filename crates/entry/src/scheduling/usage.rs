use std::collections::HashMap;
use std::future::Future;

use futures_util::{StreamExt, stream};
use model::{DataCentreId, WorkerId};
use net::UsagePage;
use store::{Expected, Table, Txn, Urgency};

use crate::context::Clients;

/// Collects the workers' usage reports into rows `usage/{dc}/{worker}/{sequence}`.
///
/// The sequence in the key is that of the row's last entry. A successor does not know what was collected and may write
/// entries again; readers of the ledger use the worker and sequence number to count an entry once.
#[derive(Debug)]
pub(super) struct UsageCollector {
    clients: Clients,
    data_centre: DataCentreId,
    /// Last sequence number that is durable for each worker.
    collected: HashMap<WorkerId, u64>,
    busy: bool,
}

/// Workers queried concurrently.
const CONCURRENT_READS: usize = 16;
/// Rows in one transaction, which counts as one write; bounded by the size of a request.
const ROWS_PER_TXN: usize = 16;

impl UsageCollector {
    pub(super) fn new(clients: Clients, data_centre: DataCentreId) -> Self {
        Self {
            clients,
            data_centre,
            collected: HashMap::new(),
            busy: false,
        }
    }

    /// Starts a round over all workers, unless one is in progress. Its result is the sequence numbers made durable.
    pub(super) fn collect(
        &mut self,
        addresses: &HashMap<WorkerId, String>,
    ) -> Option<impl Future<Output = Vec<(WorkerId, u64)>> + use<>> {
        if std::mem::replace(&mut self.busy, true) {
            return None;
        }
        let clients = self.clients.clone();
        let data_centre = self.data_centre.clone();
        let targets: Vec<(WorkerId, String, u64)> = addresses
            .iter()
            .map(|(worker, base_url)| {
                let after = self.collected.get(worker).copied().unwrap_or(0);
                (worker.clone(), base_url.clone(), after)
            })
            .collect();
        Some(async move {
            let reads = targets.into_iter().map(|(worker, base_url, after)| {
                let workers = clients.workers.clone();
                async move { workers.usage(&base_url, &worker, after).await.ok() }
            });
            let pages: Vec<UsagePage> = stream::iter(reads)
                .buffer_unordered(CONCURRENT_READS)
                .filter_map(|page| async { page.filter(|page| !page.entries.is_empty()) })
                .collect()
                .await;
            write_pages(&clients, &data_centre, &pages).await
        })
    }

    /// Records what a round made durable; the next round acknowledges it to the workers.
    pub(super) fn finish_round(&mut self, written: Vec<(WorkerId, u64)>) {
        self.collected.extend(written);
        self.busy = false;
    }
}

async fn write_pages(clients: &Clients, data_centre: &DataCentreId, pages: &[UsagePage]) -> Vec<(WorkerId, u64)> {
    let mut written = Vec::new();
    for batch in pages.chunks(ROWS_PER_TXN) {
        let mut txn = Txn::new();
        let mut last_sequences = Vec::new();
        for page in batch {
            let sequence = page.entries.last().map_or(0, |entry| entry.sequence);
            let Ok(value) = serde_json::to_value(&page.entries) else {
                continue;
            };
            let key = format!("usage/{data_centre}/{}/{sequence:020}", page.worker);
            txn = txn.put(key, Expected::Any, value);
            last_sequences.push((page.worker.clone(), sequence));
        }
        // Entries that were not written are read again in the next round; a worker keeps them until acknowledged.
        if clients.store.commit(&txn, Urgency::Ledger).await.is_ok() {
            written.extend(last_sequences);
        }
    }
    written
}
