//! Settings of a node that serves routed requests on a platform's instances.

use std::{net::SocketAddr, time::Duration};

use lycheelatch_prelude::{NodeId, ZoneName};

use crate::{
    LogSettings,
    reader::Reader,
    settings::{address, parsed, read_log},
};

/// The limit on sends beyond the first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Share of the requests.
    pub ratio: f64,
    /// Sends beyond that, over all nodes.
    pub extra: f64,
    /// Window that the limit holds in.
    pub window: Duration,
}

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Identity of the node.
    pub node: NodeId,
    /// Availability zone that the node runs in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub readiness: SocketAddr,
    /// Where other nodes send datagrams and ask for what this one holds.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Nodes to ask before the store has named any.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The platform's store.
    pub store: SocketAddr,
    /// The platform's calls that one node makes for all.
    pub duties: SocketAddr,
    /// Limit on sends beyond the first.
    pub retry: RetryLimit,
    /// Window that workspaces' limits hold in.
    pub quota_window: Duration,
    /// Time from the signal to stop to the end of the process.
    pub grace: Duration,
    /// Time for which two holders of duties must not alternate.
    pub duty_lease: Duration,
    /// Shortest lease that the store grants.
    pub shortest_lease: Duration,
    /// Length of a window of the usage report.
    pub usage_window: Duration,
    /// Time after a window within which its report is due.
    pub usage_due: Duration,
    /// Logs.
    pub log: LogSettings,
}

pub(crate) fn read_gateway(mut r: Reader<'_>) -> Option<GatewaySettings> {
    let node = r.required("node", parsed);
    let zone = r.required("zone", parsed);
    let callers = r.required("callers", address);
    let readiness = r.required("readiness", address);
    let peers = r.required("peers", address);
    let metrics = r.required("metrics", address);
    let seeds = r.list("seeds", address);
    let first_start = r.optional("first_start", flag);
    let store = r.required("store", address);
    let duties = r.required("duties", address);
    let retry = read_retry(r.object("retry"));
    let quota_window = r.duration("quota_window", Duration::from_secs(8));
    let grace = r.duration("grace", Duration::from_secs(8));
    let duty_lease = r.duration("duty_lease", Duration::from_secs(3));
    let shortest_lease = r.duration("shortest_lease", Duration::from_secs(1));
    let usage_window = r.duration("usage_window", Duration::from_secs(5));
    let usage_due = r.duration("usage_due", Duration::from_secs(10));
    let log = read_log(r.object("log"));
    r.finish();
    let peers: SocketAddr = peers?;
    // Nodes use the same ports, so that a seed's address is enough.
    let on_peers_port = |seed: SocketAddr| SocketAddr::new(seed.ip(), peers.port());
    Some(GatewaySettings {
        node: node?,
        zone: zone?,
        callers: callers?,
        readiness: readiness?,
        peers,
        metrics: metrics?,
        seeds: seeds.into_iter().map(on_peers_port).collect(),
        is_first_start: first_start.unwrap_or(false),
        store: store?,
        duties: duties?,
        retry,
        quota_window,
        grace,
        duty_lease,
        shortest_lease,
        usage_window,
        usage_due,
        log,
    })
}

fn read_retry(mut r: Reader<'_>) -> RetryLimit {
    let ratio = r.optional("ratio", amount).unwrap_or(0.2);
    let extra = r.optional("extra", amount).unwrap_or(0.0);
    let window = r.duration("window", Duration::from_secs(10));
    r.finish();
    RetryLimit { ratio, extra, window }
}

fn flag(text: &str) -> Result<bool, String> {
    text.parse().map_err(|_| "must be true or false".to_owned())
}

fn amount(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
        _ => Err("must be a number of at least 0".to_owned()),
    }
}
