//! `lycheelatch history`: lists the changes.

use clap::ArgMatches;
use lycheelatch_config::{Action, ChangedObject, HistoryPage};

use super::client;
use crate::{
    CliError, Output,
    cli::{format_of, number},
    output::{Table, moment},
};

/// Most objects of one change that a table names.
const MAX_NAMED_OBJECTS: usize = 4;

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let params = [("before", number(args, "before")), ("limit", number(args, "limit"))];
    let page: HistoryPage = client(args)?.get("/v1/history", &params).await?;
    Ok(Output::done(format_of(args).show(&page, table)))
}

fn table(page: &HistoryPage) -> String {
    let mut table = Table::new(&["REVISION", "AT", "BY", "CHANGES"]);
    for entry in &page.entries {
        table.row([
            entry.revision.to_string(),
            moment(entry.at),
            entry.author.to_string(),
            objects(&entry.objects),
        ]);
    }
    let more = page.next.map(|next| format!("more: --before {next}\n")).unwrap_or_default();
    format!("{}{more}", table.render())
}

fn objects(objects: &[ChangedObject]) -> String {
    let named = objects.iter().take(MAX_NAMED_OBJECTS).map(|changed| {
        let sign = match changed.action {
            Action::Add => '+',
            Action::Replace => '~',
            Action::Remove => '-',
        };
        format!("{sign}{}", changed.object)
    });
    let mut text = named.collect::<Vec<_>>().join(" ");
    if objects.len() > MAX_NAMED_OBJECTS {
        text.push_str(&format!(" and {} more", objects.len() - MAX_NAMED_OBJECTS));
    }
    text
}
