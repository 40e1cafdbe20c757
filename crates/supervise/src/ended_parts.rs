use std::future::pending;

use tokio::sync::mpsc::UnboundedReceiver;

/// Receives the names of parts that have ended.
#[derive(Debug)]
pub struct EndedParts(pub(crate) UnboundedReceiver<&'static str>);

impl EndedParts {
    /// Returns the name of the next part that ends. Waits forever once no supervisor is left.
    pub async fn next(&mut self) -> &'static str {
        match self.0.recv().await {
            Some(part) => part,
            None => pending().await,
        }
    }
}
