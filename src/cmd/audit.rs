//! `lycheelatch audit`: shows the audit trail of configuration changes.

use clap::ArgMatches;
use lycheelatch_config::AuditPage;

use super::client;
use crate::{
    CliError, Output,
    cli::{number_arg, output_format, string_arg},
    output::format_record,
};

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let params = [
        ("before", number_arg(args, "before")),
        ("limit", number_arg(args, "limit")),
        ("author", string_arg(args, "author")),
        ("kind", string_arg(args, "kind")),
        ("name", string_arg(args, "name")),
    ];
    let page: AuditPage = client(args)?.get("/v1/audit", &params).await?;
    Ok(Output::success(output_format(args).render(&page, table)))
}

fn table(page: &AuditPage) -> String {
    let records: String = page.records.iter().map(format_record).collect();
    let more = page.next.map(|next| format!("more: --before {next}\n")).unwrap_or_default();
    format!("{records}{more}")
}
