//! `lycheelatch audit`: shows who changed what.

use clap::ArgMatches;
use lycheelatch_config::AuditPage;

use super::client;
use crate::{
    CliError, Output,
    cli::{format_of, number, text},
    output::record_lines,
};

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let params = [
        ("before", number(args, "before")),
        ("limit", number(args, "limit")),
        ("author", text(args, "author")),
        ("kind", text(args, "kind")),
        ("name", text(args, "name")),
    ];
    let page: AuditPage = client(args)?.get("/v1/audit", &params).await?;
    Ok(Output::done(format_of(args).show(&page, table)))
}

fn table(page: &AuditPage) -> String {
    let records: String = page.records.iter().map(record_lines).collect();
    let more = page.next.map(|next| format!("more: --before {next}\n")).unwrap_or_default();
    format!("{records}{more}")
}
