use crate::{Listing, StoreError};

/// Platform's list of live and draining instances and workers; it can be stale.
#[expect(
    async_fn_in_trait,
    reason = "futures stay on the thread of the actor that awaits them"
)]
pub trait Directory {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if the platform does not answer.
    async fn list(&self) -> Result<Listing, StoreError>;
}
