//! Reads JSON objects field by field, so that every error is named.

use lycheelatch_prelude::InvalidValue;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

/// The fields of one JSON object that are yet to be read.
pub(crate) struct Fields<'a> {
    path: String,
    map: Map<String, Value>,
    errors: &'a mut Vec<InvalidValue>,
}

impl<'a> Fields<'a> {
    /// Opens a JSON object; records an error if `value` is none.
    pub(crate) fn open(
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

    /// Takes the value of a field; an explicit `null` counts as missing.
    pub(crate) fn take(&mut self, name: &str) -> Option<Value> {
        self.map.remove(name).filter(|value| !value.is_null())
    }

    /// Reads a field that must be there.
    pub(crate) fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let Some(value) = self.take(name) else {
            self.errors.push(InvalidValue::new(self.path_of(name), "", "is missing"));
            return None;
        };
        self.read(name, value)
    }

    /// Reads a field that may be missing; `None` if it is there and wrong.
    pub(crate) fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<Option<T>> {
        match self.take(name) {
            Some(value) => self.read(name, value).map(Some),
            None => Some(None),
        }
    }

    /// Reads a field that may be missing and then has the type's default.
    pub(crate) fn or_default<T: DeserializeOwned + Default>(&mut self, name: &str) -> Option<T> {
        self.optional(name).map(Option::unwrap_or_default)
    }

    /// Reads a JSON object each of whose fields stands alone, and names every wrong one.
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

    /// Opens a nested JSON object, if the field is there.
    pub(crate) fn nested<T>(
        &mut self,
        name: &str,
        read: impl FnOnce(Fields<'_>) -> Option<T>,
    ) -> Option<Option<T>> {
        let Some(value) = self.take(name) else { return Some(None) };
        let fields = Fields::open(self.path_of(name), value, self.errors)?;
        read(fields).map(Some)
    }

    /// Reads a list item by item, if the field is there; wrong items are named and left out.
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

    /// Records an error for every field that was not read.
    pub(crate) fn finish(self) {
        for (name, value) in &self.map {
            let path = path_of(&self.path, name);
            self.errors.push(invalid(path, value, "is not a known field"));
        }
    }

    fn read<T: DeserializeOwned>(&mut self, name: &str, value: Value) -> Option<T> {
        let shown = value.clone();
        match serde_json::from_value(value) {
            Ok(parsed) => Some(parsed),
            Err(err) => {
                let path = self.path_of(name);
                self.errors.push(invalid(path, &shown, &err.to_string()));
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

/// Creates an error about a JSON value; one that may hold a token is not repeated.
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
