//! Names as shared immutable strings, with one wrapper type per kind.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::InvalidValue;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A name: 1 to 128 characters of `a-z A-Z 0-9 . _ - : /`, the first one a letter or digit.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// Returns the name as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    fn parse_as(kind: &str, text: &str) -> Result<Name, InvalidValue> {
        match validate(text) {
            Ok(()) => Ok(Name(text.into())),
            Err(reason) => Err(InvalidValue::new(kind, text, reason)),
        }
    }
}

fn validate(text: &str) -> Result<(), &'static str> {
    if text.is_empty() {
        return Err("must not be empty");
    }
    if text.len() > MAX_NAME_BYTES {
        return Err("must be at most 128 bytes long");
    }
    if !text.starts_with(|c: char| c.is_ascii_alphanumeric()) {
        return Err("must start with a letter or a digit");
    }
    if !text.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-:/".contains(&b)) {
        return Err("may hold only letters, digits and . _ - : /");
    }
    Ok(())
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().to_owned()
    }
}

impl TryFrom<String> for Name {
    type Error = InvalidValue;

    fn try_from(text: String) -> Result<Name, InvalidValue> {
        Name::parse_as("name", &text)
    }
}

impl FromStr for Name {
    type Err = InvalidValue;

    fn from_str(text: &str) -> Result<Name, InvalidValue> {
        Name::parse_as("name", text)
    }
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $ty:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $ty(Name);

        impl $ty {
            /// Returns the name as a string.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $ty {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl fmt::Debug for $ty {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl Borrow<str> for $ty {
            fn borrow(&self) -> &str {
                self.as_str()
            }
        }

        impl From<$ty> for String {
            fn from(name: $ty) -> String {
                name.0.into()
            }
        }

        impl TryFrom<String> for $ty {
            type Error = InvalidValue;

            fn try_from(text: String) -> Result<$ty, InvalidValue> {
                text.parse()
            }
        }

        impl TryFrom<&str> for $ty {
            type Error = InvalidValue;

            fn try_from(text: &str) -> Result<$ty, InvalidValue> {
                text.parse()
            }
        }

        impl FromStr for $ty {
            type Err = InvalidValue;

            fn from_str(text: &str) -> Result<$ty, InvalidValue> {
                Name::parse_as($kind, text).map($ty)
            }
        }
    )*};
}

name_types! {
    /// Name of a service: a model service or a plain one.
    ServiceName = "service";
    /// Name of a workspace, to which tokens, limits and shares belong.
    WorkspaceName = "workspace";
    /// Name of an availability zone.
    ZoneName = "availability zone";
    /// Name of a region, a group of availability zones.
    RegionName = "region";
    /// Identity of an upstream: one runner or one process of a plain service.
    UpstreamId = "upstream";
    /// Identity of one running `lycheelatchd` process; a replacement has a new one.
    NodeId = "node";
    /// Identity of an instance at the cloud provider.
    InstanceId = "instance";
    /// Machine class of an instance.
    InstanceClass = "instance class";
    /// Name of a model in the weight store.
    ModelName = "model";
    /// Version of a model.
    ModelVersion = "model version";
    /// Name of an adapter that is loaded with a model.
    AdapterName = "adapter";
    /// Name of an operator, as recorded in the audit trail.
    OperatorName = "operator";
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_name_plain() {
        assert_eq!("gwehydd-llm".parse::<ServiceName>().unwrap().as_str(), "gwehydd-llm");
    }

    #[test]
    fn parse_name_error_has_kind_and_value() {
        let err = "a b".parse::<ZoneName>().unwrap_err();
        assert_eq!(err.field, "availability zone");
        assert_eq!(err.value, "a b");
    }

    #[test]
    fn parse_name_empty_is_refused() {
        assert!("".parse::<Name>().is_err());
    }

    #[test]
    fn deserialize_name_validates() {
        assert!(serde_json::from_str::<ZoneName>("\"-x\"").is_err());
        assert!(serde_json::from_str::<ZoneName>("\"lima-a\"").is_ok());
    }
}
