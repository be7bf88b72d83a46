//! `lycheelatch check`: validates a file, and shows what it would change at a node if asked to.

use std::{fmt::Write, io::Read};

use clap::ArgMatches;
use lycheelatch_config::{Document, ObjectChange, ObjectKind, TokenHash, Warning};
use lycheelatch_operator::{ApplyRequest, ChangeOptions, ChangeResponse};
use lycheelatch_prelude::InvalidValue;
use lycheelatch_settings::{NodeSettings, Settings, SettingsError};
use serde::Serialize;
use serde_json::Value;

use super::{client, read_text};
use crate::{
    CliError, Code, Output,
    cli::{output_format, string_arg},
    output::format_changes,
};

/// Type of a valid file.
#[derive(Serialize)]
#[serde(tag = "file", rename_all = "kebab-case")]
enum Checked {
    Configuration {
        objects: usize,
        warnings: Vec<Warning>,
        /// Differences from the configuration in force, if they were asked for.
        #[serde(skip_serializing_if = "Option::is_none")]
        changes: Option<Vec<ObjectChange>>,
    },
    Settings,
}

pub(super) async fn run(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let path = string_arg(args, "file").unwrap_or_default();
    let content = read_text(&path, stdin)?;
    let is_configuration = match string_arg(args, "as").as_deref() {
        Some(kind) => kind == "configuration",
        None => looks_like_configuration(&content),
    };
    let checked =
        if is_configuration { check_configuration(&content) } else { check_settings(&content) };
    let mut checked = checked.map_err(|errors| CliError::Invalid { path, errors })?;
    if let Checked::Configuration { changes, .. } = &mut checked
        && args.get_flag("in-force")
    {
        *changes = Some(changes_in_force(args, &content).await?);
    }
    let code = match &checked {
        Checked::Configuration { warnings, .. } if args.get_flag("strict") => {
            if warnings.is_empty() { Code::Done } else { Code::Invalid }
        }
        _ => Code::Done,
    };
    Ok(Output { code, ..Output::success(output_format(args).render(&checked, table)) })
}

/// Asks the node what the file would change there.
async fn changes_in_force(args: &ArgMatches, content: &str) -> Result<Vec<ObjectChange>, CliError> {
    let document = serde_json::from_str(content).unwrap_or_default();
    let options = ChangeOptions { dry_run: true, ..ChangeOptions::default() };
    let request = ApplyRequest { options, document };
    let response: ChangeResponse = client(args)?.post("/v1/apply", &request).await?;
    Ok(response.changes)
}

fn looks_like_configuration(content: &str) -> bool {
    let value: Value = serde_json::from_str(content).unwrap_or_default();
    ObjectKind::ALL.iter().any(|kind| value.get(kind.plural()).is_some())
}

fn check_configuration(content: &str) -> Result<Checked, Vec<InvalidValue>> {
    let document = Document::from_json(content.as_bytes())?;
    let errors = document.check();
    if errors.is_empty() {
        let warnings = document.warnings();
        return Ok(Checked::Configuration { objects: document.len(), warnings, changes: None });
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
        Checked::Configuration { objects, warnings, changes } => {
            format_configuration(*objects, warnings, changes.as_deref())
        }
        Checked::Settings => "settings of a node, no errors\n".to_owned(),
    }
}

fn format_configuration(
    objects: usize,
    warnings: &[Warning],
    changes: Option<&[ObjectChange]>,
) -> String {
    let mut text = format!("a configuration of {objects} objects, no errors\n");
    for Warning { field, reason } in warnings {
        // Writing to a `String` can't fail.
        let _written = writeln!(text, "warning: {field} {reason}");
    }
    match changes {
        Some([]) => text.push_str("nothing differs from the configuration in force\n"),
        Some(changes) => text.push_str(&format_changes(changes)),
        None => {}
    }
    text
}
