//! Error of a value that can't be parsed.

use displaydoc::Display;

/// Maximum length of the value in an error, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// Maximum length of the reason in an error, in characters; it may quote the input.
const MAX_REASON_CHARS: usize = 200;

/// {field} "{value}": {reason}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct InvalidValue {
    /// Path of the field, as in the input.
    pub field: String,
    /// The value as given, truncated if it is long.
    pub value: String,
    /// Why the value is invalid, truncated if it is long.
    pub reason: String,
}

impl InvalidValue {
    /// Creates an error about `value` in `field`.
    pub fn new(field: impl Into<String>, value: &str, reason: impl Into<String>) -> InvalidValue {
        InvalidValue {
            field: field.into(),
            value: truncate(value, MAX_SHOWN_CHARS),
            reason: truncate(&reason.into(), MAX_REASON_CHARS),
        }
    }

    /// Returns the error with `parent` prepended to the path of the field.
    pub fn below(mut self, parent: &str) -> InvalidValue {
        self.field = format!("{parent}.{}", self.field);
        self
    }
}

impl std::error::Error for InvalidValue {}

fn truncate(text: &str, max_chars: usize) -> String {
    match text.char_indices().nth(max_chars) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_owned(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn new_long_value_is_truncated() {
        let err = InvalidValue::new("service", &"x".repeat(500), "too long");
        assert_eq!(err.value.chars().count(), MAX_SHOWN_CHARS + 1);
    }

    #[test]
    fn display_names_field_and_value() {
        let err = InvalidValue::new("name", "A b", "has a space").below("services[0]");
        assert_eq!(err.to_string(), "services[0].name \"A b\": has a space");
    }
}
