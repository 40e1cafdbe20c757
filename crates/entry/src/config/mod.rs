//! Configuration: compare-and-set on its row, polling, push between peers, and the local out, with which operators take
//! the data centre of an instance out of service while the store is unreachable.

mod config_actor;
mod config_row;
mod config_status;
mod config_view;
mod overlay;
mod service_change;

pub(crate) use config_actor::{ApplyPushedConfig, ConfigActor, FetchConfigFrom, PutConfig, ReadConfig, SetService};
pub(crate) use config_status::config_status;
pub use config_status::{ConfigStatus, DataCentreConfig, InstanceConfig, OutProgress};
pub(crate) use config_view::ConfigView;
pub use service_change::{ServiceChange, ServiceState};
