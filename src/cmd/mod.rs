//! Subcommands, one per module.

mod apply;
mod audit;
mod check;
mod completions;
mod delete;
mod diff;
mod drain;
mod explain;
mod get;
mod hash_token;
mod history;
mod rollout;
mod route;
mod status;
mod version;

use std::io::Read;

use clap::ArgMatches;
use lycheelatch_operator::{ChangeEffect, ChangeOptions, ChangeResponse};
use lycheelatch_prelude::{ChangeId, InvalidValue, Revision};
use serde_json::Value;

use crate::{
    CliError, Output,
    client::NodeClient,
    output::format_changes,
    settings::{ClientSettings, read_file},
};

/// Runs the subcommand selected in `matches`.
pub(crate) async fn run(matches: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    match matches.subcommand() {
        Some(("apply", args)) => apply::run(args, stdin).await,
        Some(("get", args)) => get::run(args).await,
        Some(("delete", args)) => delete::run(args).await,
        Some(("diff", args)) => diff::run(args, stdin).await,
        Some(("history", args)) => history::run(args).await,
        Some(("audit", args)) => audit::run(args).await,
        Some(("status", args)) => status::run(args).await,
        Some(("route", args)) => route::run(args).await,
        Some(("drain", args)) => drain::run(args).await,
        Some(("check", args)) => check::run(args, stdin),
        Some(("explain", args)) => explain::run(args, stdin),
        Some(("rollout", args)) => rollout::run(args, stdin),
        Some(("hash-token", args)) => hash_token::run(args, stdin),
        Some(("version", args)) => version::run(args).await,
        Some(("completions", args)) => Ok(completions::run(args)),
        _ => unreachable!("clap requires a known subcommand"),
    }
}

fn client(args: &ArgMatches) -> Result<NodeClient, CliError> {
    Ok(NodeClient::new(ClientSettings::from_args(args)?))
}

/// Reads a file, or the standard input if `path` is `-`.
fn read_text(path: &str, stdin: &mut dyn Read) -> Result<String, CliError> {
    if path != "-" {
        return read_file(path);
    }
    let mut text = String::new();
    let read = stdin.read_to_string(&mut text);
    read.map_err(|err| CliError::File { path: "-".into(), reason: err.to_string() })?;
    Ok(text)
}

/// Reads and parses the JSON file given by `--file`.
fn read_json(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Value, CliError> {
    let path = crate::cli::string_arg(args, "file").unwrap_or_default();
    serde_json::from_str(&read_text(&path, stdin)?).map_err(|err| CliError::Invalid {
        path,
        errors: vec![InvalidValue::new("document", "", err.to_string())],
    })
}

/// Returns the options of a change, with a generated id if `--change-id` is absent.
fn change_options(args: &ArgMatches) -> Result<(ChangeId, ChangeOptions), CliError> {
    let id = match crate::cli::string_arg(args, "change-id") {
        Some(text) => parse_change_id(&text)?,
        None => ChangeId::new_unique(),
    };
    let options = ChangeOptions {
        change_id: Some(id),
        expect_revision: args.get_one::<u64>("expect-revision").copied().map(Revision),
        dry_run: args.get_flag("dry-run"),
    };
    Ok((id, options))
}

fn parse_change_id(text: &str) -> Result<ChangeId, CliError> {
    let id = serde_json::from_value(Value::from(text));
    let reason = "must be the change id printed by an earlier call";
    id.map_err(|_| CliError::Argument(InvalidValue::new("change-id", text, reason)))
}

fn format_change(response: &ChangeResponse) -> String {
    let ChangeResponse { effect, revision, changes } = response;
    let summary = match effect {
        ChangeEffect::Committed => format!("applied at revision {revision}"),
        ChangeEffect::Unchanged => format!("nothing to change at revision {revision}"),
        ChangeEffect::AlreadyApplied => format!("applied before, at revision {revision}"),
        ChangeEffect::DryRun if changes.is_empty() => {
            format!("nothing would change at revision {revision}")
        }
        ChangeEffect::DryRun => format!("would be applied at revision {revision}"),
    };
    format!("{}{summary}\n", format_changes(changes))
}
