//! `lycheelatch apply`: adds or replaces the objects of a file.

use std::io::Read;

use clap::ArgMatches;
use lycheelatch_operator::ApplyRequest;

use super::{change_options, client, format_change, read_json};
use crate::{CliError, Output, cli::output_format};

pub(super) async fn run(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let document = read_json(args, stdin)?;
    let (id, options) = change_options(args)?;
    let request = ApplyRequest { options, document };
    let response = client(args)?.change("/v1/apply", id, &request).await?;
    Ok(Output::success(output_format(args).render(&response, format_change)))
}
