//! `lycheelatch check`: validates a file without contacting a node.

use std::io::Read;

use clap::ArgMatches;
use lycheelatch_config::{Document, ObjectKind, TokenHash};
use lycheelatch_prelude::InvalidValue;
use lycheelatch_settings::{NodeSettings, Settings, SettingsError};
use serde::Serialize;
use serde_json::Value;

use super::read_text;
use crate::{
    CliError, Output,
    cli::{output_format, string_arg},
};

/// Type of a valid file.
#[derive(Serialize)]
#[serde(tag = "file", rename_all = "kebab-case")]
enum Checked {
    Configuration { objects: usize },
    Settings,
}

pub(super) fn run(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let path = string_arg(args, "file").unwrap_or_default();
    let content = read_text(&path, stdin)?;
    let is_configuration = match string_arg(args, "as").as_deref() {
        Some(kind) => kind == "configuration",
        None => looks_like_configuration(&content),
    };
    let checked =
        if is_configuration { check_configuration(&content) } else { check_settings(&content) };
    let checked = checked.map_err(|errors| CliError::Invalid { path, errors })?;
    Ok(Output::success(output_format(args).render(&checked, table)))
}

fn looks_like_configuration(content: &str) -> bool {
    let value: Value = serde_json::from_str(content).unwrap_or_default();
    ObjectKind::ALL.iter().any(|kind| value.get(kind.plural()).is_some())
}

fn check_configuration(content: &str) -> Result<Checked, Vec<InvalidValue>> {
    let document = Document::from_json(content.as_bytes())?;
    let errors = document.check();
    if errors.is_empty() {
        return Ok(Checked::Configuration { objects: document.len() });
    }
    Err(errors)
}

fn check_settings(content: &str) -> Result<Checked, Vec<InvalidValue>> {
    match NodeSettings::from_json(content) {
        Ok(NodeSettings::Proxy(settings)) => check_tokens(&settings).map(|()| Checked::Settings),
        Ok(NodeSettings::Gateway(_)) => Ok(Checked::Settings),
        Err(SettingsError::Invalid(errors)) => Err(errors),
        Err(SettingsError::Syntax(reason)) => Err(vec![InvalidValue::new("file", "", reason)]),
    }
}

/// Checks the token hashes of operators, which are plain strings in the settings.
fn check_tokens(settings: &Settings) -> Result<(), Vec<InvalidValue>> {
    let tokens = settings.operators.tokens.iter().enumerate();
    let errors: Vec<InvalidValue> = tokens
        .filter_map(|(i, token)| {
            let err = TokenHash::try_from(token.hash.clone()).err()?;
            Some(InvalidValue { field: format!("operators.tokens[{i}].hash"), ..err })
        })
        .collect();
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

fn table(checked: &Checked) -> String {
    match checked {
        Checked::Configuration { objects } => {
            format!("a configuration of {objects} objects, no errors\n")
        }
        Checked::Settings => "settings of a node, no errors\n".to_owned(),
    }
}
