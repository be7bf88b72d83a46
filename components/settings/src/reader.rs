//! Reads a JSON object field by field and collects every error.

use std::{cell::RefCell, time::Duration};

use lycheelatch_prelude::InvalidValue;
use serde_json::{Map, Value};

use crate::{parse_duration, parse_size};

/// Errors collected during one read.
#[derive(Default)]
pub(crate) struct Errors(RefCell<Vec<InvalidValue>>);

impl Errors {
    /// Adds an error; a value that may contain a token is hidden.
    pub(crate) fn push(&self, mut err: InvalidValue) {
        let is_plain = err.field.ends_with(".name") || err.field.ends_with(".role");
        let is_token = err.field.contains("token") || err.value.contains("token");
        if is_token && !is_plain && !err.value.is_empty() {
            err.value = "(hidden)".to_owned();
        }
        self.0.borrow_mut().push(err);
    }

    pub(crate) fn into_vec(self) -> Vec<InvalidValue> {
        self.0.into_inner()
    }
}

/// A JSON object being read; fields not taken before [`Reader::finish`] are errors.
pub(crate) struct Reader<'a> {
    path: String,
    fields: Map<String, Value>,
    errors: &'a Errors,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(path: &str, value: Value, errors: &'a Errors) -> Reader<'a> {
        let fields = match value {
            Value::Object(fields) => fields,
            other => {
                let shown = if path.is_empty() { "(root)" } else { path };
                errors.push(InvalidValue::new(shown, &other.to_string(), "must be an object"));
                Map::new()
            }
        };
        Reader { path: path.to_owned(), fields, errors }
    }

    fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() { field.to_owned() } else { format!("{}.{field}", self.path) }
    }

    fn push(&self, field: &str, value: &str, reason: &str) {
        self.errors.push(InvalidValue::new(self.path_of(field), value, reason));
    }

    /// Takes an optional object; a missing one is read as empty.
    pub(crate) fn object(&mut self, field: &str) -> Reader<'a> {
        let value = self.fields.remove(field).unwrap_or_else(|| Value::Object(Map::new()));
        Reader::new(&self.path_of(field), value, self.errors)
    }

    /// Takes an optional object.
    pub(crate) fn optional_object(&mut self, field: &str) -> Option<Reader<'a>> {
        let value = self.fields.remove(field)?;
        Some(Reader::new(&self.path_of(field), value, self.errors))
    }

    /// Takes an optional array of objects.
    pub(crate) fn objects(&mut self, field: &str) -> Vec<Reader<'a>> {
        self.array(field)
            .into_iter()
            .map(|(path, value)| Reader::new(&path, value, self.errors))
            .collect()
    }

    fn array(&mut self, field: &str) -> Vec<(String, Value)> {
        let path = self.path_of(field);
        match self.fields.remove(field) {
            None => Vec::new(),
            Some(Value::Array(values)) => {
                let with_path = |(i, value)| (format!("{path}[{i}]"), value);
                values.into_iter().enumerate().map(with_path).collect()
            }
            Some(other) => {
                self.push(field, &other.to_string(), "must be an array");
                Vec::new()
            }
        }
    }

    fn string(&mut self, field: &str) -> Option<String> {
        match self.fields.remove(field)? {
            Value::String(text) => Some(text),
            other => {
                self.push(field, &other.to_string(), "must be a string");
                None
            }
        }
    }

    /// Takes and parses an optional string.
    pub(crate) fn optional<T>(
        &mut self,
        field: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let text = self.string(field)?;
        parse(&text).map_err(|reason| self.push(field, &text, &reason)).ok()
    }

    /// Takes and parses a required string.
    pub(crate) fn required<T>(
        &mut self,
        field: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        if !self.fields.contains_key(field) {
            self.push(field, "", "is missing");
            return None;
        }
        self.optional(field, parse)
    }

    /// Takes an optional array of strings and parses each.
    pub(crate) fn list<T>(
        &mut self,
        field: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Vec<T> {
        let mut parsed = Vec::new();
        for (path, value) in self.array(field) {
            let result = match value.as_str() {
                Some(text) => parse(text),
                None => Err("must be a string".to_owned()),
            };
            match result {
                Ok(item) => parsed.push(item),
                Err(reason) => {
                    let shown = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                    self.errors.push(InvalidValue::new(path, &shown, reason));
                }
            }
        }
        parsed
    }

    /// Takes a duration; `default` if missing.
    pub(crate) fn duration(&mut self, field: &str, default: Duration) -> Duration {
        let parse = |text: &str| parse_duration(field, text).map_err(|err| err.reason);
        self.optional(field, parse).unwrap_or(default)
    }

    /// Takes a size in bytes; `default` if missing.
    pub(crate) fn size(&mut self, field: &str, default: u64) -> u64 {
        let parse = |text: &str| parse_size(field, text).map_err(|err| err.reason);
        self.optional(field, parse).unwrap_or(default)
    }

    /// Takes an integer within `range`; `default` if missing.
    pub(crate) fn number(
        &mut self,
        field: &str,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(value) = self.fields.remove(field) else { return default };
        match value.as_u64() {
            Some(n) if range.contains(&n) => n,
            _ => {
                let reason =
                    format!("must be an integer from {} to {}", range.start(), range.end());
                self.push(field, &value.to_string(), &reason);
                default
            }
        }
    }

    /// Adds an error for each remaining, unknown field.
    pub(crate) fn finish(self) {
        for (field, value) in &self.fields {
            self.push(field, &value.to_string(), "is an unknown field");
        }
    }
}
