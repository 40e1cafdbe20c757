use std::rc::Rc;

use futures_util::{StreamExt, TryStreamExt, stream};
use model::{DataCentreId, JobId, JobRow};
use store::{Expected, PlatformClient, Row, StoreError, Table, Txn, Urgency};

use super::job_write::open_prefix;

/// Rows read concurrently.
const CONCURRENT_READS: usize = 32;
/// Index rows in one page.
const PAGE_SIZE: u32 = 1_000;

/// Reads the rows of all open jobs of a data centre through the index, which skips finished jobs.
///
/// # Errors
///
/// Returns the first [`StoreError`]; recovery needs all rows.
pub(super) async fn scan_open(
    store: Rc<PlatformClient>,
    data_centre: DataCentreId,
) -> Result<Vec<(JobRow, u64)>, StoreError> {
    let prefix = open_prefix(&data_centre);
    let mut rows = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.scan(&prefix, &after, PAGE_SIZE).await?;
        let Some(last) = page.last() else { break };
        after.clone_from(&last.key);
        let is_last = page.len() < PAGE_SIZE as usize;
        let reads = page.into_iter().map(|index| read_open(&store, &prefix, index));
        let found: Vec<Option<(JobRow, u64)>> = stream::iter(reads)
            .buffer_unordered(CONCURRENT_READS)
            .try_collect()
            .await?;
        rows.extend(
            found
                .into_iter()
                .flatten()
                .filter(|(row, _)| row.data_centre == data_centre),
        );
        if is_last {
            break;
        }
    }
    Ok(rows)
}

/// Reads the job of an index row; an index row without an open job is deleted.
async fn read_open(store: &PlatformClient, prefix: &str, index: Row) -> Result<Option<(JobRow, u64)>, StoreError> {
    let job = index
        .key
        .strip_prefix(prefix)
        .and_then(|text| text.parse::<JobId>().ok());
    if let Some(job) = job
        && let Some(row) = store.read(&JobRow::key_of(&job)).await?
        && let Ok(job_row) = serde_json::from_value::<JobRow>(row.value)
        && !job_row.state.is_final()
    {
        return Ok(Some((job_row, row.version)));
    }
    let txn = Txn::new().delete(index.key, Expected::Version(index.version));
    // Best effort: the next scan finds the index row again.
    let _ = store.commit(&txn, Urgency::Ledger).await;
    Ok(None)
}
