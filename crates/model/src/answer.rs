use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::RequestId;
use crate::job_spec::hex;

/// Complete answer to one request, with the length and digest that verify it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Request that the answer belongs to.
    pub request_id: RequestId,
    /// Length of the body in bytes.
    pub length_bytes: u64,
    /// SHA-256 of the body as lower-case hex.
    pub sha256: String,
    /// Body as produced by the task.
    pub body: String,
}

impl Answer {
    /// Creates an answer and computes its length and digest.
    pub fn new(request_id: RequestId, body: impl Into<String>) -> Self {
        let body = body.into();
        Self {
            request_id,
            length_bytes: body.len() as u64,
            sha256: hex(&Sha256::digest(body.as_bytes())),
            body,
        }
    }

    /// Checks that the answer belongs to `request_id` and is complete and unaltered.
    ///
    /// # Errors
    ///
    /// Returns [`AnswerError`] if the request id, the length or the digest does not match.
    pub fn verify(&self, request_id: &RequestId) -> Result<(), AnswerError> {
        if self.request_id != *request_id {
            return Err(AnswerError::OtherRequest {
                got: self.request_id.clone(),
                expected: request_id.clone(),
            });
        }
        let got_bytes = self.body.len() as u64;
        if got_bytes != self.length_bytes {
            return Err(AnswerError::Length {
                got_bytes,
                expected_bytes: self.length_bytes,
            });
        }
        if hex(&Sha256::digest(self.body.as_bytes())) != self.sha256 {
            return Err(AnswerError::Digest);
        }
        Ok(())
    }
}

/// Error for an answer that is incomplete, altered or belongs to another request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// The answer belongs to another request.
    #[error("answer belongs to request {got}, expected {expected}")]
    OtherRequest {
        /// Request id in the answer.
        got: RequestId,
        /// Expected request id.
        expected: RequestId,
    },
    /// The body length differs from the declared length.
    #[error("answer body has {got_bytes} bytes, expected {expected_bytes}")]
    Length {
        /// Length of the received body in bytes.
        got_bytes: u64,
        /// Declared length in bytes.
        expected_bytes: u64,
    },
    /// The body does not match its digest.
    #[error("answer body does not match its SHA-256 digest")]
    Digest,
}
