//! `lycheelatch route`: explains where a request would go, and why.

use clap::ArgMatches;
use lycheelatch_operator::{RouteExplanation, RouteQuery};
use lycheelatch_prelude::ServiceName;

use super::client;
use crate::{
    CliError, Output,
    cli::{format_of, parsed},
    output::Table,
};

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let service: Option<ServiceName> = parsed(args, "service")?;
    let query = RouteQuery {
        service: service.expect("clap requires a service"),
        workspace: parsed(args, "workspace")?,
        labels: parsed(args, "labels")?.unwrap_or_default(),
    };
    let explanation: RouteExplanation = client(args)?.post("/v1/route", &query).await?;
    Ok(Output::done(format_of(args).show(&explanation, table)))
}

fn table(explanation: &RouteExplanation) -> String {
    let mut table = Table::new(&["UPSTREAM", "ZONE", "ALLOWED", "WHY"]);
    for candidate in &explanation.candidates {
        table.row([
            candidate.upstream.to_string(),
            candidate.zone.to_string(),
            if candidate.is_allowed { "yes" } else { "no" }.to_owned(),
            candidate.reasons.join("; "),
        ]);
    }
    let chosen = match &explanation.chosen {
        Some(upstream) => format!("goes to {upstream}"),
        None => "would be refused".to_owned(),
    };
    let rules = explanation.rules.join(", ");
    let (revision, labels) = (explanation.revision, &explanation.labels);
    format!(
        "labels: {labels}\nrules: {rules}\n{}{chosen}, by revision {revision}\n",
        table.render()
    )
}
