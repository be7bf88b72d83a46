//! `lycheelatch get`: shows the objects of the configuration.

use clap::ArgMatches;
use lycheelatch_config::ObjectKind;
use lycheelatch_operator::ObjectsResponse;
use serde_json::Value;

use super::client;
use crate::{
    CliError, Output,
    cli::{output_format, string_arg},
    output::Table,
};

/// Maximum length of an object summary in a table, in characters.
const MAX_SUMMARY_CHARS: usize = 100;

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let params = [("kind", string_arg(args, "kind")), ("name", string_arg(args, "name"))];
    let response: ObjectsResponse = client(args)?.get("/v1/objects", &params).await?;
    Ok(Output::success(output_format(args).render(&response, table)))
}

fn table(response: &ObjectsResponse) -> String {
    let mut table = Table::new(&["KIND", "NAME", "SUMMARY"]);
    for kind in ObjectKind::ALL {
        for object in response.document.list(kind) {
            let name = object["name"].as_str().unwrap_or_default().to_owned();
            table.row([kind.plural().to_owned(), name, summarize(kind, object)]);
        }
    }
    format!("{}revision {}\n", table.render(), response.revision)
}

fn summarize(kind: ObjectKind, object: &Value) -> String {
    let summary = match kind {
        ObjectKind::Service => match object["model"]["model"].as_str() {
            Some(model) => format!("{}, {model}", without_quotes(&object["kind"])),
            None => without_quotes(&object["kind"]),
        },
        ObjectKind::Workspace => {
            let tokens = object["tokens"].as_array().map_or(0, Vec::len);
            format!("weight {}, {tokens} tokens", without_quotes(&object["weight"]))
        }
        ObjectKind::Rule => format!(
            "[{}] {} [{}]",
            without_quotes(&object["requests"]),
            without_quotes(&object["effect"]),
            without_quotes(&object["upstreams"])
        ),
    };
    summary.chars().take(MAX_SUMMARY_CHARS).collect()
}

/// Formats a JSON value, without quotes if it is a string.
fn without_quotes(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
