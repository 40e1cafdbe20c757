//! HTTP interface for callers and operators; `docs/api.md` describes it.

mod config;
mod data_centres;
mod http_interface;
mod jobs;
mod operations;
mod read_json;
mod routes;
mod state;
mod track;

use routes::routes;

pub(crate) use http_interface::HttpInterface;
pub(crate) use state::{ApiState, OpenRequests};
