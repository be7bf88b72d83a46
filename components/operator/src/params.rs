//! Parsing of query parameters; collects an error for every invalid one.

use std::{collections::HashMap, str::FromStr};

use actix_web::{HttpRequest, web::Query};
use lycheelatch_prelude::InvalidValue;

use crate::{Problem, ProblemKind};

/// Query parameters that have not been read yet, and the errors so far.
pub(crate) struct Params {
    values: HashMap<String, String>,
    errors: Vec<InvalidValue>,
}

impl Params {
    pub(crate) fn from_request(req: &HttpRequest) -> Result<Params, Problem> {
        let values = Query::<HashMap<String, String>>::from_query(req.query_string());
        let values = values
            .map_err(|err| Problem::new(ProblemKind::Malformed, format!("query string: {err}")))?;
        Ok(Params { values: values.into_inner(), errors: Vec::new() })
    }

    /// Reads an optional parameter.
    pub(crate) fn optional<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: ToString,
    {
        let value = self.values.remove(name)?;
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(err) => {
                self.errors.push(InvalidValue::new(name, &value, err.to_string()));
                None
            }
        }
    }

    /// Reads a required parameter.
    pub(crate) fn required<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: ToString,
    {
        if !self.values.contains_key(name) {
            self.errors.push(InvalidValue::new(name, "", "is missing"));
        }
        self.optional(name)
    }

    /// Fails if any parameter was missing, invalid or unknown.
    pub(crate) fn finish(mut self) -> Result<(), Problem> {
        let unknown = self.values.iter();
        self.errors.extend(
            unknown.map(|(name, value)| InvalidValue::new(name, value, "is not a known parameter")),
        );
        if self.errors.is_empty() {
            return Ok(());
        }
        Err(Problem::with_errors(ProblemKind::Malformed, self.errors))
    }
}
