use tokio::signal::unix::{SignalKind, signal};

use crate::{Running, StandinError};

/// Runs a stand-in as a program: prints its address and stops it at SIGTERM or SIGINT.
///
/// Signals are handled before the address is printed, so that who reads it can stop the program at once.
///
/// # Errors
///
/// Returns [`StandinError`] if the stand-in does not start or fails.
pub async fn run_program(start: impl FnOnce() -> Result<Running, StandinError>) -> Result<(), StandinError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StandinError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StandinError::Signals)?;
    let mut running = start()?;
    println!("listening on {}", running.address());
    tokio::select! {
        result = running.wait() => return result,
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    running.stop(true).await;
    running.wait().await
}
