//! `lycheelatch get`: shows objects.

use clap::ArgMatches;
use lycheelatch_config::ObjectKind;
use lycheelatch_operator::ObjectsAnswer;
use serde_json::Value;

use super::client;
use crate::{
    CliError, Output,
    cli::{format_of, text},
    output::Table,
};

/// Longest summary of an object in a table, in characters.
const MAX_SUMMARY_CHARS: usize = 100;

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let params = [("kind", text(args, "kind")), ("name", text(args, "name"))];
    let answer: ObjectsAnswer = client(args)?.get("/v1/objects", &params).await?;
    Ok(Output::done(format_of(args).show(&answer, table)))
}

fn table(answer: &ObjectsAnswer) -> String {
    let mut table = Table::new(&["KIND", "NAME", "SUMMARY"]);
    for kind in ObjectKind::ALL {
        for object in answer.document.list(kind) {
            let name = object["name"].as_str().unwrap_or_default().to_owned();
            table.row([kind.plural().to_owned(), name, summary(kind, object)]);
        }
    }
    format!("{}revision {}\n", table.render(), answer.revision)
}

fn summary(kind: ObjectKind, object: &Value) -> String {
    let summary = match kind {
        ObjectKind::Service => match object["model"]["model"].as_str() {
            Some(model) => format!("{}, {model}", plain(&object["kind"])),
            None => plain(&object["kind"]),
        },
        ObjectKind::Workspace => {
            let tokens = object["tokens"].as_array().map_or(0, Vec::len);
            format!("weight {}, {tokens} tokens", plain(&object["weight"]))
        }
        ObjectKind::Rule => format!(
            "[{}] {} [{}]",
            plain(&object["requests"]),
            plain(&object["effect"]),
            plain(&object["upstreams"])
        ),
    };
    summary.chars().take(MAX_SUMMARY_CHARS).collect()
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
