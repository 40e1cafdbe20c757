//! Instance of a scheduling domain.
//!
//! Every instance submits, shows and cancels jobs: the [`RequestHandler`] reads and writes rows of the store. One
//! instance holds the scheduling lease and drives [`domain::Engine`]; the others are ready to take over. Instances do
//! not communicate with each other: jobs reach the lease holder through the store and its feed.
//!
//! The platform is behind two ports, [`Store`] and [`Workers`]; an adapter implements them and calls the
//! [`RequestHandler`].

mod clock;
mod diagnostics;
mod driver;
mod lease;
mod log;
mod metrics;
mod node_handle;
mod ports;
mod request_handler;
mod rows;
mod settings;
mod shared;
mod view;

pub use clock::{boot_ms, unix_ms};
pub use diagnostics::{Diagnostics, InstanceReport, JobReport};
pub use metrics::Metrics;
pub use node_handle::Node;
pub use ports::{
    Condition, FeedError, Fleet, OperatorChange, OperatorPage, OwnRow, Page, Place, Put, RenewError, RowsPage, Store,
    StoreError, Target, Txn, TxnError, WorkerChange, WorkerPage, Workers,
};
pub use request_handler::{CancelReply, JobRequest, OpenCall, Refused, RequestHandler, Submission, SubmitReply};
pub use settings::NodeSettings;
pub use view::View;
