use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::InvalidId;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Creates the id after checking its characters and length.
            ///
            /// # Errors
            ///
            /// Returns [`InvalidId`] if `text` is empty, too long or holds other characters than `A-Z a-z 0-9 . _ -`.
            pub fn new(text: impl AsRef<str>) -> Result<Self, InvalidId> {
                let text = text.as_ref();
                let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
                if text.is_empty() || text.len() > InvalidId::MAX_LEN || !text.chars().all(valid) {
                    return Err(InvalidId::new($kind, text));
                }
                Ok(Self(text.into()))
            }

            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(text: &str) -> Result<Self, InvalidId> {
                Self::new(text)
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = InvalidId;

            fn try_from(text: CompactString) -> Result<Self, InvalidId> {
                Self::new(text)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = InvalidId;

            fn try_from(text: &str) -> Result<Self, InvalidId> {
                Self::new(text)
            }
        }

        impl From<$name> for CompactString {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_id!(
    /// Name of an organisation, the customer that submits jobs and is charged for them.
    OrganisationId,
    "organisation id"
);
text_id!(
    /// Request id chosen by the caller; unique within its organisation.
    RequestId,
    "request id"
);
text_id!(
    /// Name of an entry instance.
    InstanceId,
    "instance id"
);
text_id!(
    /// Name of a worker; unique over all data centres.
    WorkerId,
    "worker id"
);
text_id!(
    /// Name of a rack; unique within its data centre.
    RackId,
    "rack id"
);
text_id!(
    /// Name of a data centre.
    DataCentreId,
    "data centre id"
);
