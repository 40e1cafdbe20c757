//! Instance of a scheduling domain.
//!
//! Every instance accepts, shows and cancels jobs: the [`Desk`] writes rows of the store and reads them. One instance
//! holds the scheduling lease and drives [`domain::Engine`]; the others are ready to take over. Instances do not talk to
//! each other: the store carries jobs to the holder, and its feed wakes it.
//!
//! The outside is behind two ports, [`Store`] and [`Workers`]; an adapter implements them and calls the desk.

mod clock;
mod desk;
mod holder;
mod inquiry;
mod lease;
mod log;
mod metrics;
mod node_handle;
mod ports;
mod rows;
mod settings;
mod shared;
mod view;

pub use clock::{boot_ms, unix_ms};
pub use desk::{CancelReply, Desk, JobRequest, OpenCall, Refused, Submission, SubmitReply};
pub use inquiry::{Inquiry, InstanceReport, JobReport};
pub use metrics::Metrics;
pub use node_handle::Node;
pub use ports::{
    Condition, FeedError, Fleet, OperatorChange, OperatorPage, OwnRow, Page, Place, Put, RenewError, RowsPage, Store,
    StoreError, Target, Txn, TxnError, WorkerChange, WorkerPage, Workers,
};
pub use settings::NodeSettings;
pub use view::View;
