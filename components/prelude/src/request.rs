//! Attributes and outcomes of requests.

use std::{fmt, str::FromStr, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::InvalidValue;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Outcome of a request, as in the `Lycheelatch-Outcome` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// complete
    Complete,
    /// failed
    Failed,
    /// not-run
    NotRun,
    /// unknown
    Unknown,
}

impl Outcome {
    /// Returns the value of the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::Failed => "failed",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Whether a request may be retried after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
}

/// A caller's `Idempotency-Key`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// Returns the key as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for IdempotencyKey {
    type Err = InvalidValue;

    fn from_str(text: &str) -> Result<IdempotencyKey, InvalidValue> {
        let fits = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len());
        if !fits || !text.bytes().all(|b| b.is_ascii_graphic()) {
            let reason = "must be 1 to 255 visible ASCII characters";
            return Err(InvalidValue::new("Idempotency-Key", text, reason));
        }
        Ok(IdempotencyKey(text.into()))
    }
}

/// Attempt number of a request, counted by the caller from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u32);

impl Attempt {
    /// The first attempt.
    pub const FIRST: Attempt = Attempt(1);

    /// Returns whether this is the first attempt.
    pub fn is_fresh(self) -> bool {
        self.0 <= 1
    }
}

impl Default for Attempt {
    fn default() -> Attempt {
        Attempt::FIRST
    }
}

impl FromStr for Attempt {
    type Err = InvalidValue;

    fn from_str(text: &str) -> Result<Attempt, InvalidValue> {
        match text.parse() {
            Ok(n) if n >= 1 => Ok(Attempt(n)),
            _ => Err(InvalidValue::new("Lycheelatch-Attempt", text, "must be a number from 1")),
        }
    }
}

/// Priority of a request within its workspace, applied by the engines.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Background work; no user waits for the result.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Interactive work; a user waits for the result.
    High,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::High => "high",
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_attempt_zero_is_refused() {
        assert!("0".parse::<Attempt>().is_err());
        assert!(!"2".parse::<Attempt>().unwrap().is_fresh());
    }

    #[test]
    fn parse_idempotency_key_space_is_refused() {
        assert!("a b".parse::<IdempotencyKey>().is_err());
        assert!("order-17".parse::<IdempotencyKey>().is_ok());
    }
}
