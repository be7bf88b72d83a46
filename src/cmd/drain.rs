//! `lycheelatch drain`: lets a node or an upstream finish its requests.

use clap::ArgMatches;
use lycheelatch_operator::{DrainAnswer, DrainTarget};

use super::client;
use crate::{
    CliError, Output,
    cli::{format_of, parsed},
};

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let target = match parsed(args, "upstream")? {
        Some(upstream) => DrainTarget::Upstream(upstream),
        None => DrainTarget::Node,
    };
    let answer: DrainAnswer = client(args)?.post("/v1/drain", &target).await?;
    let table = |answer: &DrainAnswer| format!("draining, {} in flight\n", answer.in_flight);
    Ok(Output::done(format_of(args).show(&answer, table)))
}
