//! Client of the platform: transactional table, object store and list of instances.
//!
//! The traits [`Table`], [`Objects`] and [`Directory`] are what the rest of the system uses; tests put small fakes in
//! their place.

mod directory;
mod expected;
mod listed;
mod objects;
mod put;
mod row;
mod store_error;
mod table;
mod txn;
mod urgency;

pub use directory::Directory;
pub use expected::Expected;
pub use listed::{ListedEntry, ListedState, ListedWorker, Listing};
pub use objects::Objects;
pub use put::Put;
pub use row::Row;
pub use store_error::StoreError;
pub use table::Table;
pub use txn::Txn;
pub use urgency::Urgency;
