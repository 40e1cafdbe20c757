//! TCP relay whose links can be cut, silenced and restored.

mod link;
mod link_mode;
mod link_mode_request;
mod link_options;
mod link_status;
mod relay_options;
mod relay_server;

pub use link_mode::LinkMode;
pub use link_mode_request::LinkModeRequest;
pub use link_options::LinkOptions;
pub use link_status::LinkStatus;
pub use relay_options::RelayOptions;
pub use relay_server::Relay;
