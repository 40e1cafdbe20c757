use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use rand::Rng;

use crate::{Expected, Put, Resolved, Row, StoreError, Table, Txn, Urgency};

/// What a row says about a transaction whose reply was lost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The row is as the condition wants it: the transaction did not take effect so far.
    Before,
    /// The row is as the transaction leaves it.
    After,
    /// The row was written by someone else since the condition held.
    Changed,
    /// The put has no condition and the row has another value.
    Unclear,
}

/// Commits a transaction; if the reply is lost, reads back until it is known whether the transaction took effect.
///
/// # Errors
///
/// Returns [`StoreError::Conflict`], [`StoreError::Unavailable`] and [`StoreError::Rejected`] only if nothing was
/// written, and [`StoreError::Unknown`] if the store did not answer the read-back for `within`; call [`resolve`] later.
pub async fn commit_resolved<T: Table>(
    table: &T,
    txn: &Txn,
    urgency: Urgency,
    within: Duration,
) -> Result<Resolved, StoreError> {
    match table.commit(txn, urgency).await {
        Ok(versions) => Ok(Resolved::Written { versions }),
        Err(StoreError::Unknown) => resolve(table, txn, urgency, within).await,
        Err(error) => Err(error),
    }
}

/// Finds out what became of a transaction whose reply was lost.
///
/// If the rows are as before, the transaction is sent again rather than reported as not written, because the lost
/// request may still be on its way. Its conditions let at most one of the two take effect.
///
/// # Errors
///
/// Returns [`StoreError::Conflict`] if the transaction proved not to have taken effect and cannot any more, and
/// [`StoreError::Unknown`] if the store did not answer for `within`.
pub async fn resolve<T: Table>(
    table: &T,
    txn: &Txn,
    urgency: Urgency,
    within: Duration,
) -> Result<Resolved, StoreError> {
    const FIRST_PAUSE: Duration = Duration::from_millis(20);
    const LONGEST_PAUSE: Duration = Duration::from_secs(1);
    let until = Instant::now() + within;
    let mut pause = FIRST_PAUSE;
    loop {
        match read_back(table, txn).await {
            Ok(Some(verdict)) => return verdict,
            Ok(None) => match table.commit(txn, urgency).await {
                Ok(versions) => return Ok(Resolved::Written { versions }),
                Err(error @ StoreError::Rejected { .. }) => return Err(error),
                Err(_) => {}
            },
            Err(_) => {}
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(StoreError::Unknown);
        }
        // Full jitter, so that instances do not read back in step once the store returns.
        sleep(pause.mul_f64(rand::rng().random_range(0.1..=1.0)).min(left)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Reads all rows of a transaction; `None` if it did not take effect so far and still can.
async fn read_back<T: Table>(table: &T, txn: &Txn) -> Result<Option<Result<Resolved, StoreError>>, StoreError> {
    let mut rows = Vec::with_capacity(txn.puts.len());
    for put in &txn.puts {
        rows.push(table.read(&put.key).await?);
    }
    let evidence: Vec<Evidence> = txn
        .puts
        .iter()
        .zip(&rows)
        .map(|(put, row)| judge(put, row.as_ref()))
        .collect();
    let position = |wanted: Evidence| evidence.iter().position(|found| *found == wanted);
    if let Some(before) = position(Evidence::Before) {
        let Some(changed) = position(Evidence::Changed) else {
            return Ok(None);
        };
        // The reads are not atomic: only a row that is still as before after the change was seen proves the conflict.
        let put = &txn.puts[before];
        let again = table.read(&put.key).await?;
        if judge(put, again.as_ref()) == Evidence::Before {
            return Ok(Some(Err(StoreError::Conflict {
                key: txn.puts[changed].key.clone(),
                current: rows.swap_remove(changed),
            })));
        }
        return Ok(Some(Ok(Resolved::Superseded { rows })));
    }
    if evidence.iter().all(|found| *found == Evidence::After) {
        let versions = rows
            .iter()
            .map(|row| row.as_ref().map_or(0, |row| row.version))
            .collect();
        return Ok(Some(Ok(Resolved::Written { versions })));
    }
    if evidence.iter().all(|found| *found == Evidence::Unclear) {
        return Ok(None);
    }
    Ok(Some(Ok(Resolved::Superseded { rows })))
}

fn judge(put: &Put, row: Option<&Row>) -> Evidence {
    if row.map(|row| &row.value) == put.value.as_ref()
        && !matches!(put.expected, Expected::Version(version) if row.is_some_and(|row| row.version == version))
    {
        return Evidence::After;
    }
    match (put.expected, row) {
        (Expected::Any, _) => Evidence::Unclear,
        (Expected::Absent, None) => Evidence::Before,
        (Expected::Version(version), Some(row)) if row.version == version => Evidence::Before,
        _ => Evidence::Changed,
    }
}
