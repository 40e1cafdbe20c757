use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use rand::Rng;

use crate::{Expected, Put, Resolved, Row, StoreError, Table, Txn, Urgency};

/// State of a row relative to one put of a transaction whose reply was lost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RowState {
    /// The row still meets the put's condition: the transaction has not taken effect so far.
    NotApplied,
    /// The row has the value that the transaction writes.
    Applied,
    /// Another writer changed the row since the condition held.
    ChangedByOther,
    /// The put has no condition and the row has another value.
    Inconclusive,
}

/// Commits a transaction; if the reply is lost, reads the rows back until it is known whether they were written.
///
/// # Errors
///
/// Returns [`StoreError::Conflict`], [`StoreError::Unavailable`] and [`StoreError::Rejected`] only if nothing was
/// written, and [`StoreError::Unknown`] if the read-back got no reply within `timeout`; call [`resolve`] later.
pub async fn commit_resolved<T: Table>(
    table: &T,
    txn: &Txn,
    urgency: Urgency,
    timeout: Duration,
) -> Result<Resolved, StoreError> {
    match table.commit(txn, urgency).await {
        Ok(versions) => Ok(Resolved::Written { versions }),
        Err(StoreError::Unknown) => resolve(table, txn, urgency, timeout).await,
        Err(error) => Err(error),
    }
}

/// Determines the outcome of a transaction whose reply was lost.
///
/// If the rows are unchanged, the transaction is sent again rather than reported as not written, because the lost
/// request may still be in flight. Its conditions let at most one of the two take effect.
///
/// # Errors
///
/// Returns [`StoreError::Conflict`] if the transaction has not taken effect and no longer can, and
/// [`StoreError::Unknown`] if the store did not reply within `timeout`.
pub async fn resolve<T: Table>(
    table: &T,
    txn: &Txn,
    urgency: Urgency,
    timeout: Duration,
) -> Result<Resolved, StoreError> {
    const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
    const MAX_BACKOFF: Duration = Duration::from_secs(1);
    let deadline = Instant::now() + timeout;
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match read_back(table, txn).await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => match table.commit(txn, urgency).await {
                Ok(versions) => return Ok(Resolved::Written { versions }),
                Err(error @ StoreError::Rejected { .. }) => return Err(error),
                Err(_) => {}
            },
            Err(_) => {}
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(StoreError::Unknown);
        }
        // Jitter, so that instances do not read back simultaneously when the store recovers.
        sleep(backoff.mul_f64(rand::rng().random_range(0.1..=1.0)).min(remaining)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Reads all rows of a transaction; returns `None` if it has not taken effect so far but still can.
async fn read_back<T: Table>(table: &T, txn: &Txn) -> Result<Option<Result<Resolved, StoreError>>, StoreError> {
    let mut rows = Vec::with_capacity(txn.puts.len());
    for put in &txn.puts {
        rows.push(table.read(&put.key).await?);
    }
    let row_states: Vec<RowState> = txn
        .puts
        .iter()
        .zip(&rows)
        .map(|(put, row)| classify(put, row.as_ref()))
        .collect();
    let position = |wanted: RowState| row_states.iter().position(|found| *found == wanted);
    if let Some(not_applied) = position(RowState::NotApplied) {
        let Some(changed) = position(RowState::ChangedByOther) else {
            return Ok(None);
        };
        // The reads are not atomic: only a row that is still unchanged after the change was seen proves the conflict.
        let put = &txn.puts[not_applied];
        let reread = table.read(&put.key).await?;
        if classify(put, reread.as_ref()) == RowState::NotApplied {
            return Ok(Some(Err(StoreError::Conflict {
                key: txn.puts[changed].key.clone(),
                current: rows.swap_remove(changed),
            })));
        }
        return Ok(Some(Ok(Resolved::Superseded { rows })));
    }
    if row_states.iter().all(|found| *found == RowState::Applied) {
        let versions = rows
            .iter()
            .map(|row| row.as_ref().map_or(0, |row| row.version))
            .collect();
        return Ok(Some(Ok(Resolved::Written { versions })));
    }
    if row_states.iter().all(|found| *found == RowState::Inconclusive) {
        return Ok(None);
    }
    Ok(Some(Ok(Resolved::Superseded { rows })))
}

fn classify(put: &Put, row: Option<&Row>) -> RowState {
    if row.map(|row| &row.value) == put.value.as_ref()
        && !matches!(put.expected, Expected::Version(version) if row.is_some_and(|row| row.version == version))
    {
        return RowState::Applied;
    }
    match (put.expected, row) {
        (Expected::Any, _) => RowState::Inconclusive,
        (Expected::Absent, None) => RowState::NotApplied,
        (Expected::Version(version), Some(row)) if row.version == version => RowState::NotApplied,
        _ => RowState::ChangedByOther,
    }
}
