//! `lycheelatch route`: explains which upstream a request would be routed to, and why.

use clap::ArgMatches;
use lycheelatch_operator::{RouteExplanation, RouteQuery};
use lycheelatch_prelude::ServiceName;

use super::client;
use crate::{
    CliError, Output,
    cli::{output_format, parse_arg},
    output::Table,
};

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let service: Option<ServiceName> = parse_arg(args, "service")?;
    let query = RouteQuery {
        service: service.expect("clap requires a service"),
        workspace: parse_arg(args, "workspace")?,
        labels: parse_arg(args, "labels")?.unwrap_or_default(),
    };
    let explanation: RouteExplanation = client(args)?.post("/v1/route", &query).await?;
    Ok(Output::success(output_format(args).render(&explanation, table)))
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
