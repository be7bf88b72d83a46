//! `lycheelatch diff`: shows what a file would change, or the differences between two revisions.

use std::io::Read;

use clap::ArgMatches;
use lycheelatch_operator::{ApplyRequest, ChangeOptions, ChangeResponse, DiffResponse};

use super::{client, read_json};
use crate::{
    CliError, Code, Output,
    cli::{number_arg, output_format},
    output::format_changes,
};

pub(super) async fn run(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let format = output_format(args);
    let (stdout, is_empty) = if args.contains_id("from") {
        let params = [("from", number_arg(args, "from")), ("to", number_arg(args, "to"))];
        let response: DiffResponse = client(args)?.get("/v1/diff", &params).await?;
        let stdout = format.render(&response, |response| format_changes(&response.changes));
        (stdout, response.changes.is_empty())
    } else {
        let document = read_json(args, stdin)?;
        let options = ChangeOptions { dry_run: true, ..ChangeOptions::default() };
        let request = ApplyRequest { options, document };
        let response: ChangeResponse = client(args)?.post("/v1/apply", &request).await?;
        let stdout = format.render(&response, |response| format_changes(&response.changes));
        (stdout, response.changes.is_empty())
    };
    let code = if is_empty { Code::Done } else { Code::Differs };
    Ok(Output { code, ..Output::success(stdout) })
}
