//! Helpers of this crate's unit tests.

use std::{rc::Rc, time::Duration};

use actix_http::{ResponseHead, header::HeaderMap};
use bytes::Bytes;
use lycheelatch_prelude::{InvalidValue, ServiceName};
use lycheelatch_settings::{GatewaySettings, NodeSettings, RolloutBounds};

use crate::{
    CallerLimits, ClusterClock, Dialect, ForwardParams, Gateway, GatewayMetrics, Priority,
    RequestInfo, ResponseInfo, RolloutOrder, RolloutState, RolloutStatus, Route, RouteKind,
    RoutingTable, StoreEra, StoreRevision, TableSource, UpstreamEntry, WeightedService,
    messages::Digest,
};

/// Dialect for tests that process no requests.
struct NoDialect;

impl Dialect for NoDialect {
    fn parse_request(&self, _: &HeaderMap) -> Result<RequestInfo, InvalidValue> {
        unreachable!("no requests are processed")
    }

    fn parse_response(&self, _: &ResponseHead) -> ResponseInfo {
        unreachable!("no requests are processed")
    }

    fn upstream_headers(&self, _: &HeaderMap, _: ForwardParams<'_>) -> HeaderMap {
        unreachable!("no requests are processed")
    }

    fn response_headers(&self, _: &HeaderMap) -> HeaderMap {
        unreachable!("no requests are processed")
    }

    fn set_request_id(&self, _: &mut HeaderMap, _: &str) {
        unreachable!("no requests are processed")
    }
}

/// Returns a revision of a store that never came back from a copy.
pub(crate) fn first_era(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(0), number)
}

/// Returns a gateway whose node has a number.
pub(crate) fn gateway(node: usize, time: ClusterClock) -> Gateway {
    let metrics = GatewayMetrics::new(&prometheus::Registry::new()).unwrap();
    Gateway::new(settings(node), Rc::new(NoDialect), metrics, Rc::new(time))
}

/// Returns a gateway that acts upon orders of roll-outs.
pub(crate) fn gateway_with_rollouts(time: ClusterClock) -> Gateway {
    let bounds = RolloutBounds { exposure: 0.1, extra: 50, rollback: Duration::from_secs(5) };
    let settings = GatewaySettings { rollout: Some(bounds), ..settings(1) };
    let metrics = GatewayMetrics::new(&prometheus::Registry::new()).unwrap();
    Gateway::new(settings, Rc::new(NoDialect), metrics, Rc::new(time))
}

/// Returns the entry of an engine of the service `svc`.
pub(crate) fn engine_entry(id: &str, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().unwrap(),
        service: "svc".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 4,
        is_ready: true,
        is_reclaimable: true,
        shutdown_in: None,
        started_at_ms: None,
        version: None,
    }
}

/// Returns a configuration with one route, whose streams can be resumed, and its services.
pub(crate) fn table(version: u64, shares: &[(&str, u32)]) -> RoutingTable {
    let service = |name: &str| -> ServiceName { name.parse().unwrap() };
    let shares = shares.iter();
    let shares =
        shares.map(|(name, weight)| WeightedService { service: service(name), weight: *weight });
    let route = Route {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind: RouteKind::ResumableStream,
        timeout: Duration::from_secs(5),
        target: Duration::from_secs(1),
        event_gap_target: Duration::from_secs(1),
        priority: Priority(0),
        shares: shares.collect(),
        max_attempts: 3,
        is_public: true,
    };
    RoutingTable::from(TableSource {
        version,
        routes: vec![route],
        services: Vec::new(),
        workspaces: Vec::new(),
        limits: CallerLimits::default(),
    })
}

/// Parses an order whose value is the version and the seconds until the deadline.
pub(crate) fn parse_rollout(
    service: &ServiceName,
    value: &[u8],
) -> Result<RolloutOrder, InvalidValue> {
    let text = String::from_utf8_lossy(value);
    let invalid = || InvalidValue::new("order", &text, "must be a version and seconds");
    let (to, seconds) = text.split_once(' ').ok_or_else(invalid)?;
    let duration = Duration::from_secs(seconds.parse().map_err(|_| invalid())?);
    Ok(RolloutOrder { service: service.clone(), to: to.into(), duration })
}

/// Parses a status whose value is the state, the version and the revision of the order.
pub(crate) fn parse_rollout_status(value: &[u8]) -> Result<RolloutStatus, InvalidValue> {
    let text = String::from_utf8_lossy(value);
    let parts: Vec<_> = text.split(' ').collect();
    let state = match parts[0] {
        "Running" => RolloutState::Running,
        "Completed" => RolloutState::Completed,
        "RolledBack" => RolloutState::RolledBack,
        other => return Err(InvalidValue::new("state", other, "is unknown")),
    };
    Ok(RolloutStatus {
        state,
        to: parts[1].into(),
        order: parts[2].parse().ok().map(first_era),
        ordered_at_ms: None,
    })
}

/// Encodes a status for [`parse_rollout_status`].
pub(crate) fn encode_rollout_status(status: &RolloutStatus) -> Bytes {
    let order = status.order.map_or_else(String::new, |order| order.number.to_string());
    format!("{:?} {} {order}", status.state, status.to).into()
}

/// Returns the first digest of a node without load.
pub(crate) fn digest(node: &str, zone: &str) -> Digest {
    Digest {
        node: node.parse().unwrap(),
        zone: zone.parse().unwrap(),
        incarnation: 1,
        sequence: 1,
        time_ms: 0,
        is_leader: false,
        is_brief: false,
        quota_use: Vec::new(),
        upstreams: Vec::new(),
        sent_prompts: Vec::new(),
        usage: Vec::new(),
        ended_usage: Vec::new(),
        demand: Vec::new(),
        config_version: 0,
        departures: Vec::new(),
        crash_evidence: 0,
        limits: 0,
        rollouts: Vec::new(),
        rollout_notices: Vec::new(),
        speed_notices: Vec::new(),
    }
}

/// Returns the settings of the node with a number.
fn settings(node: usize) -> GatewaySettings {
    let text = format!(
        r#"{{"gateway": {{"node": "node-{node}", "zone": "zone-a", "callers": "127.0.0.1:1",
            "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4",
            "seeds": [], "store": "127.0.0.1:5", "duties": "127.0.0.1:6", "duty_lease": "3s",
            "usage_window": "5s", "usage_due": "10s"}}}}"#
    );
    match NodeSettings::from_json(&text) {
        Ok(NodeSettings::Gateway(settings)) => settings,
        other => panic!("not the settings of a gateway: {other:?}"),
    }
}
