//! Stand-in for many workers in one process.

mod execution_log;
mod lease;
mod log_entry;
mod log_page;
mod task;
mod task_answer;
mod task_payload;
mod worker_commands;
mod worker_fault_request;
mod worker_faults;
mod worker_state;
mod workers_options;
mod workers_routes;
mod workers_server;
mod workers_shared;

pub use log_entry::{LogEntry, LogEvent};
pub use log_page::LogPage;
pub use task_answer::TaskAnswer;
pub use task_payload::TaskPayload;
pub use worker_fault_request::WorkerFaultRequest;
pub use worker_faults::WorkerFaults;
pub use workers_options::WorkersOptions;
pub use workers_server::Workers;
