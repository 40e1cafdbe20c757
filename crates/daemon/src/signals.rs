use std::future::Future;
use std::path::PathBuf;

use conf::Settings;

use tokio::signal::unix::{SignalKind, signal};

use crate::daemon_error::DaemonError;
use crate::machine_limits::MachineLimits;
use crate::run::read_settings;

/// Returns a future that completes on the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns [`DaemonError::Signals`] if the handlers cannot be installed.
pub(crate) fn stop_signal() -> Result<impl Future<Output = ()>, DaemonError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(DaemonError::Signals)?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// Returns a future that reads the settings again on each SIGHUP. A running process can apply none of them, so a change
/// is only logged and takes effect at the next start.
///
/// # Errors
///
/// Returns [`DaemonError::Signals`] if the handler cannot be installed.
pub(crate) fn reload_on_hangup(
    path: PathBuf,
    machine: MachineLimits,
    mut settings: Settings,
) -> Result<impl Future<Output = ()>, DaemonError> {
    let mut hangup = signal(SignalKind::hangup()).map_err(DaemonError::Signals)?;
    Ok(async move {
        while hangup.recv().await.is_some() {
            match read_settings(&path, machine) {
                Ok(read) => {
                    let is_changed = read != settings;
                    spdlog::info!("settings_reloaded", kv: { is_changed });
                    settings = read;
                }
                Err(error) => spdlog::error!("settings_not_reloaded", kv: { cause = error.to_string() }),
            }
        }
    })
}
