use bytes::Bytes;

use crate::StoreError;

/// Object store of the platform. Writing the same object again is idempotent.
#[expect(
    async_fn_in_trait,
    reason = "futures stay on the thread of the actor that awaits them"
)]
pub trait Objects {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if the store does not reply.
    async fn get(&self, key: &str) -> Result<Option<Bytes>, StoreError>;

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the write is not known to have taken effect.
    async fn put(&self, key: &str, body: Bytes) -> Result<(), StoreError>;
}
