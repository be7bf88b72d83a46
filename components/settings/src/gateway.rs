//! Settings of a node that runs as a gateway to a platform's instances.

use std::{net::SocketAddr, time::Duration};

use lycheelatch_prelude::{NodeId, ZoneName};

use crate::{
    LogSettings,
    reader::Reader,
    settings::{address, parsed, read_log},
};

/// Limit on retries over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed on top of the ratio, over all nodes.
    pub extra: f64,
    /// Window over which requests and retries are counted.
    pub window: Duration,
}

/// Bounds on what a bad version may do to callers during a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Largest share of a service's requests that a bad version may get, above 0 and at most 1.
    pub exposure: f64,
    /// Requests that it may get besides, over all nodes.
    pub extra: u32,
    /// Time within which a version that is known to be bad gets no more requests.
    pub rollback: Duration,
}

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Identity of the node.
    pub node: NodeId,
    /// Availability zone that the node runs in.
    pub zone: ZoneName,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub readiness: SocketAddr,
    /// Address for datagrams and requests of other nodes.
    pub peers: SocketAddr,
    /// Address that serves the metrics.
    pub metrics: SocketAddr,
    /// Addresses of nodes to contact before the store has listed any.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub is_first_start: bool,
    /// Address of the platform's metadata store.
    pub store: SocketAddr,
    /// Address for the platform calls that the leader makes on behalf of all nodes.
    pub platform_api: SocketAddr,
    /// Limit on retries.
    pub retry: RetryLimit,
    /// Window over which the limits of workspaces apply.
    pub quota_window: Duration,
    /// Time from the termination signal to the end of the process.
    pub grace: Duration,
    /// Time within which a change of the configuration or of an upstream must be in force.
    pub change_bound: Duration,
    /// Duration of the leader's lease; leadership must not alternate between two nodes within it.
    pub leader_lease: Duration,
    /// Minimum duration of a lease that the store grants.
    pub min_lease: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a usage window within which its report is due.
    pub usage_due: Duration,
    /// Bounds of roll-outs; without them orders of roll-outs are not acted upon.
    pub rollout: Option<RolloutBounds>,
    /// Log settings.
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
    let first_start = r.optional("first_start", boolean);
    let store = r.required("store", address);
    let platform_api = r.required("duties", address);
    let retry = read_retry(r.object("retry"));
    let quota_window = r.duration("quota_window", Duration::from_secs(8));
    let grace = r.duration("grace", Duration::from_secs(8));
    let change_bound = r.duration("change_bound", Duration::from_secs(2));
    let leader_lease = r.duration("duty_lease", Duration::from_secs(3));
    let min_lease = r.duration("shortest_lease", Duration::from_secs(1));
    let usage_window = r.duration("usage_window", Duration::from_secs(5));
    let usage_due = r.duration("usage_due", Duration::from_secs(10));
    let rollout = r.optional_object("rollout").map(read_rollout);
    let log = read_log(r.object("log"));
    r.finish();
    let peers: SocketAddr = peers?;
    // All nodes use the same ports, so only the IP address of a seed is used.
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
        platform_api: platform_api?,
        retry,
        quota_window,
        grace,
        change_bound,
        leader_lease,
        min_lease,
        usage_window,
        usage_due,
        rollout: rollout.flatten(),
        log,
    })
}

fn read_retry(mut r: Reader<'_>) -> RetryLimit {
    let ratio = r.optional("ratio", non_negative).unwrap_or(0.2);
    let extra = r.optional("extra", non_negative).unwrap_or(0.0);
    let window = r.duration("window", Duration::from_secs(10));
    r.finish();
    RetryLimit { ratio, extra, window }
}

/// Time to roll back where the settings name none.
const DEFAULT_ROLLBACK: Duration = Duration::from_secs(5);

fn read_rollout(mut r: Reader<'_>) -> Option<RolloutBounds> {
    let exposure = r.required("exposure", share);
    let extra = r.optional("extra", whole).unwrap_or(0);
    let rollback = r.duration("rollback", DEFAULT_ROLLBACK);
    r.finish();
    Some(RolloutBounds { exposure: exposure?, extra, rollback })
}

fn share(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number > 0.0 && number <= 1.0 => Ok(number),
        _ => Err("must be a number above 0 and at most 1".to_owned()),
    }
}

fn whole(text: &str) -> Result<u32, String> {
    text.parse().map_err(|_| "must be a whole number of at least 0".to_owned())
}

fn boolean(text: &str) -> Result<bool, String> {
    text.parse().map_err(|_| "must be true or false".to_owned())
}

fn non_negative(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
        _ => Err("must be a number of at least 0".to_owned()),
    }
}
