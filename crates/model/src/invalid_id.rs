use compact_str::CompactString;
use thiserror::Error;

/// Error for a text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{kind} {text:?} is not valid: use 1 to {max_len} characters out of A-Z a-z 0-9 . _ -", max_len = InvalidId::MAX_LEN)]
pub struct InvalidId {
    /// Kind of identifier that was expected, such as `worker id`.
    pub kind: &'static str,
    /// Rejected text, truncated to 80 characters.
    pub text: CompactString,
}

impl InvalidId {
    /// Maximum length of an identifier, in characters.
    pub const MAX_LEN: usize = 64;

    /// Creates the error for `text`.
    pub fn new(kind: &'static str, text: &str) -> Self {
        Self {
            kind,
            text: text.chars().take(80).collect(),
        }
    }
}
