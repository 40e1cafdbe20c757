use std::future::Future;

use tokio::signal::unix::{SignalKind, signal};

use crate::daemon_error::DaemonError;

/// Returns a future that ends with the first SIGTERM or SIGINT.
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
