//! Parses JSON objects field by field and collects all errors.

use lycheelatch_prelude::InvalidValue;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

/// The fields of a JSON object that have not been read yet.
pub(crate) struct Fields<'a> {
    path: String,
    map: Map<String, Value>,
    errors: &'a mut Vec<InvalidValue>,
}

impl<'a> Fields<'a> {
    /// Creates a reader of a JSON object; records an error if `value` is not an object.
    pub(crate) fn from_value(
        path: String,
        value: Value,
        errors: &'a mut Vec<InvalidValue>,
    ) -> Option<Fields<'a>> {
        match value {
            Value::Object(map) => Some(Fields { path, map, errors }),
            value => {
                errors.push(invalid(path, &value, "must be a JSON object"));
                None
            }
        }
    }

    /// Removes and returns the value of a field; `null` counts as missing.
    pub(crate) fn take(&mut self, name: &str) -> Option<Value> {
        self.map.remove(name).filter(|value| !value.is_null())
    }

    /// Reads a required field.
    pub(crate) fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let Some(value) = self.take(name) else {
            self.errors.push(InvalidValue::new(self.path_of(name), "", "is missing"));
            return None;
        };
        self.read(name, value)
    }

    /// Reads an optional field; returns `None` if its value is invalid.
    pub(crate) fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<Option<T>> {
        match self.take(name) {
            Some(value) => self.read(name, value).map(Some),
            None => Some(None),
        }
    }

    /// Reads an optional field, with the type's default if it is missing.
    pub(crate) fn or_default<T: DeserializeOwned + Default>(&mut self, name: &str) -> Option<T> {
        self.optional(name).map(Option::unwrap_or_default)
    }

    /// Reads a JSON object with independent, optional fields; records an error per invalid field.
    pub(crate) fn each_or_default<T>(&mut self, name: &str) -> Option<T>
    where
        T: DeserializeOwned + Default,
    {
        let Some(value) = self.take(name) else { return Some(T::default()) };
        let Value::Object(map) = &value else { return self.read(name, value) };
        let before = self.errors.len();
        for (field, value) in map {
            if let Err(err) = serde_json::from_value::<T>(json!({ field: value })) {
                let path = format!("{}.{field}", self.path_of(name));
                self.errors.push(invalid(path, value, &err.to_string()));
            }
        }
        if self.errors.len() > before { None } else { self.read(name, value) }
    }

    /// Reads an optional nested JSON object.
    pub(crate) fn nested<T>(
        &mut self,
        name: &str,
        read: impl FnOnce(Fields<'_>) -> Option<T>,
    ) -> Option<Option<T>> {
        let Some(value) = self.take(name) else { return Some(None) };
        let fields = Fields::from_value(self.path_of(name), value, self.errors)?;
        read(fields).map(Some)
    }

    /// Reads an optional list; records an error per invalid item and skips it.
    pub(crate) fn list<T>(
        &mut self,
        name: &str,
        mut read: impl FnMut(String, Value, &mut Vec<InvalidValue>) -> Option<T>,
    ) -> Option<Vec<T>> {
        match self.take(name)? {
            Value::Array(items) => {
                let path = self.path_of(name);
                let read_item = |(i, item)| read(format!("{path}[{i}]"), item, self.errors);
                Some(items.into_iter().enumerate().filter_map(read_item).collect())
            }
            value => {
                self.errors.push(invalid(self.path_of(name), &value, "must be a list"));
                None
            }
        }
    }

    /// Records an error for each remaining, unknown field.
    pub(crate) fn finish(self) {
        for (name, value) in &self.map {
            let path = path_of(&self.path, name);
            self.errors.push(invalid(path, value, "is not a known field"));
        }
    }

    fn read<T: DeserializeOwned>(&mut self, name: &str, value: Value) -> Option<T> {
        let original = value.clone();
        match serde_json::from_value(value) {
            Ok(parsed) => Some(parsed),
            Err(err) => {
                let path = self.path_of(name);
                self.errors.push(invalid(path, &original, &err.to_string()));
                None
            }
        }
    }

    fn path_of(&self, name: &str) -> String {
        path_of(&self.path, name)
    }
}

fn path_of(parent: &str, name: &str) -> String {
    if parent.is_empty() { name.to_owned() } else { format!("{parent}.{name}") }
}

/// Creates an error about a JSON value; hides the value if it may contain a token.
pub(crate) fn invalid(path: impl Into<String>, value: &Value, reason: &str) -> InvalidValue {
    let path = path.into();
    match value {
        value if path.contains("token") || value.to_string().contains("token") => {
            InvalidValue::new(path, "(hidden)", reason)
        }
        Value::String(text) => InvalidValue::new(path, text, reason),
        value => InvalidValue::new(path, &value.to_string(), reason),
    }
}
