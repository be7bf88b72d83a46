//! `lycheelatch drain`: drains a node or an upstream.

use clap::ArgMatches;
use lycheelatch_operator::{DrainResponse, DrainTarget};

use super::client;
use crate::{
    CliError, Output,
    cli::{output_format, parse_arg},
};

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let target = match parse_arg(args, "upstream")? {
        Some(upstream) => DrainTarget::Upstream(upstream),
        None => DrainTarget::Node,
    };
    let response: DrainResponse = client(args)?.post("/v1/drain", &target).await?;
    let table = |response: &DrainResponse| format!("draining, {} in flight\n", response.in_flight);
    Ok(Output::success(output_format(args).render(&response, table)))
}
