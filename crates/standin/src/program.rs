use tokio::signal::unix::{SignalKind, signal};

use crate::{RunningServer, StandinError};

/// Runs a stand-in as a program: prints its address and stops on SIGTERM or SIGINT.
///
/// Signals are handled before the address is printed, so that a process that reads it can stop the program at once.
///
/// # Errors
///
/// Returns [`StandinError`] if the stand-in does not start or fails.
pub async fn run_program(start: impl FnOnce() -> Result<RunningServer, StandinError>) -> Result<(), StandinError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StandinError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StandinError::Signals)?;
    let mut server = start()?;
    println!("listening on {}", server.address());
    tokio::select! {
        result = server.wait() => return result,
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    server.stop(true).await;
    server.wait().await
}
