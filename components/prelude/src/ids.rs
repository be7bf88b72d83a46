//! Identifiers and counters that order changes.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::InvalidValue;

/// Longest request id taken from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Identity of one request: the caller's `X-Request-Id`, or a new UUID version 7.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Creates a new, unique id.
    pub fn new_unique() -> RequestId {
        RequestId(Uuid::now_v7().to_string().into())
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> String {
        id.0.as_ref().to_owned()
    }
}

impl TryFrom<String> for RequestId {
    type Error = InvalidValue;

    fn try_from(text: String) -> Result<RequestId, InvalidValue> {
        text.parse()
    }
}

impl FromStr for RequestId {
    type Err = InvalidValue;

    fn from_str(text: &str) -> Result<RequestId, InvalidValue> {
        let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"._-:".contains(&b);
        if text.is_empty() || text.len() > MAX_REQUEST_ID_BYTES {
            return Err(InvalidValue::new("X-Request-Id", text, "must be 1 to 128 bytes long"));
        }
        if !text.bytes().all(is_plain) {
            let reason = "may hold only letters, digits and . _ - :";
            return Err(InvalidValue::new("X-Request-Id", text, reason));
        }
        Ok(RequestId(text.into()))
    }
}

/// Identity of one change of configuration, made by the operator's client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub Uuid);

impl ChangeId {
    /// Creates a new, unique id.
    pub fn new_unique() -> ChangeId {
        ChangeId(Uuid::now_v7())
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $ty:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $ty(pub u64);

        impl $ty {
            /// Returns the value that follows this one; the highest one follows itself.
            ///
            /// Other nodes send counters, so that any value may come here.
            pub fn next(self) -> $ty {
                $ty(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $ty {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

counters! {
    /// Position in the linear history of the configuration; 0 is the empty one.
    Revision;
    /// Fencing number on an order; an upstream that checks refuses a lower one.
    Fence;
    /// Number of a node's own claim to be alive, raised to refute a suspicion.
    Incarnation;
    /// Position in a stream of events.
    Sequence;
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_request_id_unique_is_valid() {
        let id = RequestId::new_unique();
        assert_eq!(id.as_str().parse::<RequestId>().unwrap(), id);
    }

    #[test]
    fn next_of_the_highest_counter() {
        assert_eq!(Incarnation(7).next(), Incarnation(8));
        assert_eq!(Incarnation(u64::MAX).next(), Incarnation(u64::MAX));
    }

    #[test]
    fn parse_request_id_bad_bytes() {
        assert!("a\r\nb".parse::<RequestId>().is_err());
        assert!("".parse::<RequestId>().is_err());
        assert!("x".repeat(129).parse::<RequestId>().is_err());
    }
}
