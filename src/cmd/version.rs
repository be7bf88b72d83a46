//! `lycheelatch version`: shows the versions of this program and of the node.

use clap::ArgMatches;
use lycheelatch_operator::VersionResponse;
use serde::Serialize;

use super::client;
use crate::{CliError, Output, cli::output_format};

/// Versions of this program and of the node.
#[derive(Serialize)]
struct Versions {
    client: String,
    /// `None` if no server or no token is configured.
    node: Option<String>,
}

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let node = match client(args) {
        Ok(client) => Some(client.get::<VersionResponse>("/v1/version", &[]).await?.version),
        Err(CliError::NoServer | CliError::NoToken) => None,
        Err(err) => return Err(err),
    };
    let versions = Versions { client: env!("CARGO_PKG_VERSION").to_owned(), node };
    Ok(Output::success(output_format(args).render(&versions, table)))
}

fn table(versions: &Versions) -> String {
    let node = versions.node.as_deref().unwrap_or("not asked");
    format!("lycheelatch {}\nnode {node}\n", versions.client)
}
