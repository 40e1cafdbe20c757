use crate::{Listing, StoreError};

/// List of live and leaving instances that the platform keeps; it lags.
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
