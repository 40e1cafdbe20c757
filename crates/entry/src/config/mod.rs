//! Configuration: compare-and-set on the table, polling, push between peers and the local out.

mod config_actor;
mod config_status;
mod config_view;
mod overlay;
mod proposal;
mod service_change;

pub(crate) use config_actor::{ConfigActor, FetchFrom, Pushed, PutConfig, ReadConfig, SetService};
pub(crate) use config_status::config_status;
pub use config_status::{ConfigStatus, DataCentreConfig, InForce, InstanceConfig};
pub(crate) use config_view::ConfigView;
pub use service_change::{ServiceChange, ServiceState};
