//! HTTP interface for callers and operators; `docs/api.md` describes it.

mod config;
mod data_centres;
mod jobs;
mod operations;
mod routes;
mod state;
mod track;

pub(crate) use routes::routes;
pub(crate) use state::{ApiState, OpenRequests};
