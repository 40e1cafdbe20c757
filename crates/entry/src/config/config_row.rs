use std::time::Duration;

use model::{Config, ConfigVersion};
use store::{Expected, Resolved, Row, StoreError, Table, Txn, Urgency};

use crate::ApiError;

/// Time after which operators should retry after a store failure.
pub(crate) const STORE_RETRY_AFTER_MS: u64 = 1_000;

/// Timeout of reading the row back after a lost reply; the outcome then counts as unknown.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(4);

/// Reads the configuration row.
///
/// # Errors
///
/// Returns [`ApiError::StoreUnavailable`] if the store does not answer.
pub(super) async fn read(store: &impl Table) -> Result<Option<(Config, u64)>, ApiError> {
    let row = store.read(Config::KEY).await.map_err(|_| unavailable())?;
    Ok(row.as_ref().and_then(parse))
}

/// Parses a configuration row; a row that does not parse counts as absent, so that operators can replace it.
pub(super) fn parse(row: &Row) -> Option<(Config, u64)> {
    let config = serde_json::from_value(row.value.clone()).ok()?;
    Some((config, row.version))
}

/// Writes `config` if the row still has `row_version`; after a lost reply reads the row back.
///
/// # Errors
///
/// Returns [`ApiError::ConfigConflict`] if the row changed, [`ApiError::StoreUnavailable`] if nothing was written, and
/// [`ApiError::WriteUnknown`] if the outcome cannot be determined.
pub(super) async fn commit(store: &impl Table, config: &Config, row_version: Option<u64>) -> Result<(), ApiError> {
    let expected = row_version.map_or(Expected::Absent, Expected::Version);
    let value = serde_json::to_value(config).map_err(|_| ApiError::Internal)?;
    let txn = Txn::new().put(Config::KEY, expected, value);
    match store::commit_resolved(store, &txn, Urgency::Lease, READ_BACK_TIMEOUT).await {
        Ok(Resolved::Written { .. }) => Ok(()),
        Err(StoreError::Conflict { current, .. }) => {
            let current = current.as_ref().and_then(parse).map(|(config, _)| config);
            Err(conflict(ConfigVersion(config.version.0.saturating_sub(1)), current))
        }
        Err(StoreError::Unavailable) => Err(unavailable()),
        Err(StoreError::Rejected { .. }) => Err(ApiError::Internal),
        // A later write replaced the row, so it no longer shows whether this one took effect before.
        Ok(Resolved::Superseded { .. }) | Err(StoreError::Unknown) => Err(ApiError::WriteUnknown),
    }
}

pub(super) fn conflict(based_on: ConfigVersion, current: Option<Config>) -> ApiError {
    ApiError::ConfigConflict {
        based_on,
        current: current
            .as_ref()
            .map_or_else(ConfigVersion::default, |config| config.version),
        config: current.map(Box::new),
    }
}

pub(super) const fn unavailable() -> ApiError {
    ApiError::StoreUnavailable {
        retry_after_ms: STORE_RETRY_AFTER_MS,
    }
}
