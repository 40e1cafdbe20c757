//! Interfaces to the store and the workers that adapters implement, with their types.

mod condition;
mod feed_error;
mod fleet;
mod operator_change;
mod own_row;
mod page;
mod place;
mod put;
mod renew_error;
mod store;
mod store_error;
mod target;
mod txn;
mod txn_error;
mod worker_change;
mod workers;

pub use condition::Condition;
pub use feed_error::FeedError;
pub use fleet::Fleet;
pub use operator_change::{OperatorChange, OperatorPage};
pub use own_row::OwnRow;
pub use page::{Page, RowsPage};
pub use place::Place;
pub use put::Put;
pub use renew_error::RenewError;
pub use store::Store;
pub use store_error::StoreError;
pub use target::Target;
pub use txn::Txn;
pub use txn_error::TxnError;
pub use worker_change::{WorkerChange, WorkerPage};
pub use workers::Workers;
