//! Client of the platform: transactional table, object store and list of instances.
//!
//! The rest of the system uses the traits [`Table`], [`Objects`] and [`Directory`], which tests replace by small fakes.
//! [`PlatformClient`] implements them over HTTP with rate limits and a circuit breaker.
//!
//! ```no_run
//! use store::{Expected, PlatformClient, PlatformClientOptions, Table, Txn, Urgency};
//!
//! # async fn example() -> Result<(), store::StoreError> {
//! let client = PlatformClient::new(PlatformClientOptions::new("http://127.0.0.1:7400"));
//! let txn = Txn::new().put("job/clyde-koi/quote-17", Expected::Absent, serde_json::json!({"state": "queued"}));
//! let versions = client.commit(&txn, Urgency::Job).await?;
//! assert_eq!(versions.len(), 1);
//! # Ok(())
//! # }
//! ```
//!
//! [`commit_resolved`] reads back a write whose reply was lost and reports whether it took effect.

mod commit_resolved;
mod directory;
mod expected;
mod listed;
mod objects;
mod platform;
mod put;
mod resolved;
mod row;
mod store_error;
mod table;
mod txn;
mod urgency;

pub use commit_resolved::{commit_resolved, resolve};
pub use directory::Directory;
pub use expected::Expected;
pub use listed::{ListedInstance, ListedState, ListedWorker, Listing};
pub use objects::Objects;
pub use platform::{
    ConflictBody, IDLE_KEEP_ALIVE, NoReply, PlatformClient, PlatformClientOptions, PlatformClientStats, Reply,
    Transport, TxnReply, exchange,
};
pub use put::Put;
pub use resolved::Resolved;
pub use row::Row;
pub use store_error::StoreError;
pub use table::Table;
pub use txn::Txn;
pub use urgency::Urgency;
