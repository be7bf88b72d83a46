//! `lycheelatch apply`: adds or replaces the objects of a file.

use std::io::Read;

use clap::ArgMatches;
use lycheelatch_operator::ApplyRequest;

use super::{change_options, change_table, client, read_json};
use crate::{CliError, Output, cli::format_of};

pub(super) async fn run(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let document = read_json(args, stdin)?;
    let (id, options) = change_options(args)?;
    let request = ApplyRequest { options, document };
    let answer = client(args)?.change("/v1/apply", id, &request).await?;
    Ok(Output::done(format_of(args).show(&answer, change_table)))
}
