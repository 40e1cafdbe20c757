//! Settings of a process (JSON with comments) and the operators' sheet (CSV).
//!
//! ```
//! use conf::Settings;
//!
//! let settings = Settings::parse(
//!     r#"{
//!         // One of the two instances of dc1.
//!         "instance": "entry-1",
//!         "data_centre": "dc1",
//!         "http_address": "127.0.0.1:7001",
//!         "peer_address": "127.0.0.1:7101",
//!         "platform_url": "http://127.0.0.1:7900",
//!     }"#,
//! )?;
//! assert_eq!(settings.heartbeat_interval_ms, 1_000);
//! # Ok::<(), conf::SettingsError>(())
//! ```

mod change;
mod column;
mod domain_settings;
mod intake_settings;
mod peer_address;
mod settings;
mod settings_error;
mod sheet;
mod sheet_cells;
mod sheet_error;
mod sheet_fault;

pub use change::{Change, ChangeKind};
pub use column::Column;
pub use domain_settings::DomainSettings;
pub use intake_settings::IntakeSettings;
pub use peer_address::PeerAddress;
pub use settings::Settings;
pub use settings_error::SettingsError;
pub use sheet::Sheet;
pub use sheet_error::{SheetError, SheetErrors};
pub use sheet_fault::SheetFault;
