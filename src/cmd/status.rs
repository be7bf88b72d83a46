//! `lycheelatch status`: shows the state of a node and its view of the cluster.

use clap::ArgMatches;
use lycheelatch_operator::{NodeStatus, Readiness};

use super::client;
use crate::{CliError, Output, cli::output_format, output::Table};

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let status: NodeStatus = client(args)?.get("/v1/status", &[]).await?;
    Ok(Output::success(output_format(args).render(&status, table)))
}

fn table(status: &NodeStatus) -> String {
    let readiness = match &status.readiness {
        Readiness::Ready => "ready".to_owned(),
        Readiness::NotReady(reason) => format!("not ready: {reason}"),
    };
    let mut node = Table::new(&["NODE", &status.node.to_string()]);
    for (name, value) in [
        ("availability zone", status.zone.to_string()),
        ("region", status.region.to_string()),
        ("version", status.version.clone()),
        ("state", readiness),
        ("revision", status.revision.to_string()),
        ("key-value service", if status.key_value_up { "up" } else { "down" }.to_owned()),
        ("requests in flight", status.in_flight.to_string()),
    ] {
        node.row([name.to_owned(), value]);
    }
    let mut members = Table::new(&["MEMBER", "ZONE", "STATE", "ADDRESS"]);
    for member in &status.members {
        let (node, zone) = (member.node.to_string(), member.zone.to_string());
        members.row([node, zone, member.state.clone(), member.addr.clone()]);
    }
    let mut upstreams = Table::new(&["UPSTREAM", "SERVICE", "ZONE", "STATE", "IN FLIGHT"]);
    for upstream in &status.upstreams {
        upstreams.row([
            upstream.upstream.to_string(),
            upstream.service.to_string(),
            upstream.zone.to_string(),
            upstream.state.clone(),
            upstream.in_flight.to_string(),
        ]);
    }
    format!("{}\n{}\n{}", node.render(), members.render(), upstreams.render())
}
