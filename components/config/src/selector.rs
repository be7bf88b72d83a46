//! Label selectors.
//!
//! A selector is a comma-separated list of requirements, all of which must
//! match: `key=value`, `key!=value`, `key in (a, b)`, `key notin (a, b)`,
//! `key` (exists) and `!key` (does not exist).

use std::{fmt, str::FromStr};

use lycheelatch_prelude::{InvalidValue, LabelKey, LabelValue, Labels};
use serde::{Deserialize, Serialize};

/// Maximum length of a selector, in bytes.
const MAX_SELECTOR_BYTES: usize = 4096;

/// One requirement on a set of labels.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Requirement {
    /// The label exists and has one of the values.
    In(LabelKey, Vec<LabelValue>),
    /// The label is missing or has none of the values.
    NotIn(LabelKey, Vec<LabelValue>),
    /// The label exists.
    Exists(LabelKey),
    /// The label is missing.
    Missing(LabelKey),
}

impl Requirement {
    /// Returns whether `labels` match the requirement.
    pub fn matches(&self, labels: &Labels) -> bool {
        match self {
            Requirement::In(key, values) => {
                labels.get(key.as_str()).is_some_and(|v| values.contains(v))
            }
            Requirement::NotIn(key, values) => {
                labels.get(key.as_str()).is_none_or(|v| !values.contains(v))
            }
            Requirement::Exists(key) => labels.get(key.as_str()).is_some(),
            Requirement::Missing(key) => labels.get(key.as_str()).is_none(),
        }
    }
}

/// A label selector; an empty selector matches everything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector(Vec<Requirement>);

impl Selector {
    /// Creates a selector from its requirements.
    pub fn new(requirements: Vec<Requirement>) -> Selector {
        Selector(requirements)
    }

    /// Returns whether `labels` match all requirements.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.0.iter().all(|requirement| requirement.matches(labels))
    }

    /// Returns the requirements.
    pub fn requirements(&self) -> &[Requirement] {
        &self.0
    }
}

impl FromStr for Selector {
    type Err = InvalidValue;

    fn from_str(text: &str) -> Result<Selector, InvalidValue> {
        if text.len() > MAX_SELECTOR_BYTES {
            return Err(InvalidValue::new("selector", text, "is longer than 4096 bytes"));
        }
        if text.trim().is_empty() {
            return Ok(Selector::default());
        }
        split_outside_parens(text)
            .into_iter()
            .map(|part| parse_requirement(part.trim()))
            .collect::<Result<Vec<_>, _>>()
            .map(Selector)
    }
}

fn split_outside_parens(text: &str) -> Vec<&str> {
    let mut depth = 0_u32;
    let is_separator = |c: char| {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        c == ',' && depth == 0
    };
    text.split(is_separator).collect()
}

fn parse_requirement(part: &str) -> Result<Requirement, InvalidValue> {
    if let Some((key, value)) = part.split_once("!=") {
        return Ok(Requirement::NotIn(key.trim().parse()?, vec![value.trim().parse()?]));
    }
    if let Some((key, value)) = part.split_once('=') {
        let value = value.strip_prefix('=').unwrap_or(value);
        return Ok(Requirement::In(key.trim().parse()?, vec![value.trim().parse()?]));
    }
    if let Some((key, rest)) = part.split_once(char::is_whitespace) {
        return parse_set(part, key, rest.trim());
    }
    match part.strip_prefix('!') {
        Some(key) => Ok(Requirement::Missing(key.trim().parse()?)),
        None => Ok(Requirement::Exists(part.parse()?)),
    }
}

fn parse_set(part: &str, key: &str, rest: &str) -> Result<Requirement, InvalidValue> {
    let invalid = || {
        let reason = "must have the form key, !key, key=value, key!=value, \
                      key in (a, b) or key notin (a, b)";
        InvalidValue::new("selector", part, reason)
    };
    let (is_in, list) = match (rest.strip_prefix("in"), rest.strip_prefix("notin")) {
        (Some(list), None) => (true, list),
        (None, Some(list)) => (false, list),
        _ => return Err(invalid()),
    };
    let list = list.trim().strip_prefix('(').and_then(|list| list.strip_suffix(')'));
    let values = list
        .ok_or_else(invalid)?
        .split(',')
        .map(|value| value.trim().parse())
        .collect::<Result<Vec<LabelValue>, _>>()?;
    let key = key.trim().parse()?;
    Ok(if is_in { Requirement::In(key, values) } else { Requirement::NotIn(key, values) })
}

impl TryFrom<String> for Selector {
    type Error = InvalidValue;

    fn try_from(text: String) -> Result<Selector, InvalidValue> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> String {
        selector.to_string()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, requirement) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str(",")?;
            }
            fmt::Display::fmt(requirement, f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Requirement::In(key, values) if values.len() == 1 => write!(f, "{key}={}", values[0]),
            Requirement::NotIn(key, values) if values.len() == 1 => {
                write!(f, "{key}!={}", values[0])
            }
            Requirement::In(key, values) => write!(f, "{key} in ({})", join(values)),
            Requirement::NotIn(key, values) => write!(f, "{key} notin ({})", join(values)),
            Requirement::Exists(key) => write!(f, "{key}"),
            Requirement::Missing(key) => write!(f, "!{key}"),
        }
    }
}

fn join(values: &[LabelValue]) -> String {
    values.iter().map(LabelValue::as_str).collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn matches(selector: &str, labels: &str) -> bool {
        selector.parse::<Selector>().unwrap().matches(&labels.parse().unwrap())
    }

    #[test]
    fn matches_each_operator() {
        assert!(matches("tier=gold", "tier=gold"));
        assert!(matches("tier==gold", "tier=gold"));
        assert!(!matches("tier=gold", ""));
        assert!(matches("tier!=gold", ""));
        assert!(matches("tier in (gold, silver),craft", "tier=silver,craft=rush"));
        assert!(matches("tier notin (gold)", "tier=silver"));
        assert!(matches("!tier", "craft=rush"));
        assert!(!matches("tier", "craft=rush"));
        assert!(matches("", "craft=rush"));
    }

    #[test]
    fn display_round_trips() {
        let text = "tier in (gold, silver),craft!=reed,!spare,zone";
        let selector: Selector = text.parse().unwrap();
        assert_eq!(selector.to_string(), text);
    }

    #[test]
    fn parse_invalid_reports_requirement() {
        let err = "a=1,tier within (gold)".parse::<Selector>().unwrap_err();
        assert_eq!(err.value, "tier within (gold)");
    }
}
