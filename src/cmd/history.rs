//! `lycheelatch history`: lists the changes of the configuration.

use clap::ArgMatches;
use lycheelatch_config::{Action, ChangedObject, HistoryPage};

use super::client;
use crate::{
    CliError, Output,
    cli::{number_arg, output_format},
    output::{Table, format_timestamp},
};

/// Maximum number of objects listed for one change in a table.
const MAX_LISTED_OBJECTS: usize = 4;

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let params = [("before", number_arg(args, "before")), ("limit", number_arg(args, "limit"))];
    let page: HistoryPage = client(args)?.get("/v1/history", &params).await?;
    Ok(Output::success(output_format(args).render(&page, table)))
}

fn table(page: &HistoryPage) -> String {
    let mut table = Table::new(&["REVISION", "AT", "BY", "CHANGES"]);
    for entry in &page.entries {
        table.row([
            entry.revision.to_string(),
            format_timestamp(entry.at),
            entry.author.to_string(),
            format_objects(&entry.objects),
        ]);
    }
    let more = page.next.map(|next| format!("more: --before {next}\n")).unwrap_or_default();
    format!("{}{more}", table.render())
}

fn format_objects(objects: &[ChangedObject]) -> String {
    let listed = objects.iter().take(MAX_LISTED_OBJECTS).map(|changed| {
        let sign = match changed.action {
            Action::Add => '+',
            Action::Replace => '~',
            Action::Remove => '-',
        };
        format!("{sign}{}", changed.object)
    });
    let mut text = listed.collect::<Vec<_>>().join(" ");
    if objects.len() > MAX_LISTED_OBJECTS {
        text.push_str(&format!(" and {} more", objects.len() - MAX_LISTED_OBJECTS));
    }
    text
}
