//! Labels that operators attach to upstreams and requests.

use std::{borrow::Borrow, collections::BTreeMap, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::InvalidValue;

/// Maximum length of a label key or value, in bytes.
const MAX_LABEL_BYTES: usize = 63;

/// Maximum number of labels of one upstream or request.
const MAX_LABELS: usize = 32;

macro_rules! label_parts {
    ($($(#[$doc:meta])* $ty:ident = $kind:literal, $min:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $ty(Arc<str>);

        impl $ty {
            /// Returns the string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $ty {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $ty {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl Borrow<str> for $ty {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<$ty> for String {
            fn from(part: $ty) -> String {
                part.0.as_ref().to_owned()
            }
        }

        impl TryFrom<String> for $ty {
            type Error = InvalidValue;

            fn try_from(text: String) -> Result<$ty, InvalidValue> {
                text.parse()
            }
        }

        impl FromStr for $ty {
            type Err = InvalidValue;

            fn from_str(text: &str) -> Result<$ty, InvalidValue> {
                let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"._-/".contains(&b);
                if !($min..=MAX_LABEL_BYTES).contains(&text.len()) {
                    let reason = concat!("must be ", $min, " to 63 bytes long");
                    return Err(InvalidValue::new($kind, text, reason));
                }
                if !text.bytes().all(is_plain) {
                    let reason = "may hold only letters, digits and . _ - /";
                    return Err(InvalidValue::new($kind, text, reason));
                }
                Ok($ty(text.into()))
            }
        }
    )*};
}

label_parts! {
    /// Key of a label.
    LabelKey = "label key", 1;
    /// Value of a label; may be empty.
    LabelValue = "label value", 0;
}

/// A set of labels, ordered by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Labels(BTreeMap<LabelKey, LabelValue>);

impl Labels {
    /// Returns the value of the label `key`.
    pub fn get(&self, key: &str) -> Option<&LabelValue> {
        self.0.get(key)
    }

    /// Sets a label and returns its previous value.
    pub fn insert(&mut self, key: LabelKey, value: LabelValue) -> Option<LabelValue> {
        self.0.insert(key, value)
    }

    /// Returns the labels in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&LabelKey, &LabelValue)> {
        self.0.iter()
    }

    /// Returns the number of labels.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no labels.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<(LabelKey, LabelValue)> for Labels {
    fn from_iter<T: IntoIterator<Item = (LabelKey, LabelValue)>>(iter: T) -> Labels {
        Labels(iter.into_iter().collect())
    }
}

impl FromStr for Labels {
    type Err = InvalidValue;

    /// Parses `key=value,key=value`; an empty string gives no labels.
    fn from_str(text: &str) -> Result<Labels, InvalidValue> {
        let mut labels = Labels::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let Some((key, value)) = part.split_once('=') else {
                return Err(InvalidValue::new("labels", part, "must have the form key=value"));
            };
            let previous = labels.insert(key.trim().parse()?, value.trim().parse()?);
            if previous.is_some() {
                return Err(InvalidValue::new("labels", key, "is given twice"));
            }
            if labels.len() > MAX_LABELS {
                return Err(InvalidValue::new("labels", text, "holds more than 32 labels"));
            }
        }
        Ok(labels)
    }
}

impl fmt::Display for Labels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (key, value)) in self.0.iter().enumerate() {
            let comma = if i == 0 { "" } else { "," };
            write!(f, "{comma}{key}={value}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_labels_pairs() {
        let labels: Labels = "tier=gold, craft=rush".parse().unwrap();
        assert_eq!(labels.get("tier").unwrap().as_str(), "gold");
        assert_eq!(labels.to_string(), "craft=rush,tier=gold");
    }

    #[test]
    fn parse_labels_error_has_invalid_part() {
        let err = "tier".parse::<Labels>().unwrap_err();
        assert_eq!(err.value, "tier");
        assert!("a=1,a=2".parse::<Labels>().is_err());
        assert!("a b=1".parse::<Labels>().is_err());
    }
}
