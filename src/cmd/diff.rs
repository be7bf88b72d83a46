//! `lycheelatch diff`: shows what a file would change, or what differs between two revisions.

use std::io::Read;

use clap::ArgMatches;
use lycheelatch_operator::{ApplyRequest, ChangeAnswer, ChangeOptions, DiffAnswer};

use super::{client, read_json};
use crate::{
    CliError, Code, Output,
    cli::{format_of, number},
    output::change_lines,
};

pub(super) async fn run(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let format = format_of(args);
    let (stdout, is_empty) = if args.contains_id("from") {
        let params = [("from", number(args, "from")), ("to", number(args, "to"))];
        let answer: DiffAnswer = client(args)?.get("/v1/diff", &params).await?;
        let stdout = format.show(&answer, |answer| change_lines(&answer.changes));
        (stdout, answer.changes.is_empty())
    } else {
        let document = read_json(args, stdin)?;
        let options = ChangeOptions { dry_run: true, ..ChangeOptions::default() };
        let request = ApplyRequest { options, document };
        let answer: ChangeAnswer = client(args)?.post("/v1/apply", &request).await?;
        let stdout = format.show(&answer, |answer| change_lines(&answer.changes));
        (stdout, answer.changes.is_empty())
    };
    let code = if is_empty { Code::Done } else { Code::Differs };
    Ok(Output { code, ..Output::done(stdout) })
}
