//! Keeps the limits that upstreams name, together with the other nodes.

use std::{cell::OnceCell, net::SocketAddr, rc::Rc, time::Duration};

use lycheelatch_policy::{HeardLimit, LimitSharers};
use lycheelatch_prelude::NodeId;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    NamedLimit, ResponseInfo,
    directory::Upstream,
    event_log::log_event,
    gateway::Gateway,
    messages::Datagram,
    node_event::NodeEvent,
    notices::send_notice,
    upstream_notices::{Willing, willing},
};

/// Time after which it is forgotten that an upstream names a limit no more.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of limits in one datagram.
const MAX_NOTICES: usize = 400;

/// A limit that an upstream named in a response to some node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitNotice {
    pub(crate) upstream: lycheelatch_prelude::UpstreamId,
    /// Requests a second; `None` if it named none.
    pub(crate) per_second: Option<f64>,
    /// Time of the response, since the Unix epoch.
    pub(crate) at: Duration,
}

/// Records what an upstream named in a response, and tells the other nodes of a change.
pub(crate) fn record_named_limit(gateway: &Gateway, upstream: &Upstream, info: &ResponseInfo) {
    let per_second = match info.limit {
        NamedLimit::PerSecond(per_second) => Some(per_second),
        NamedLimit::Invalid => {
            log_event(&NodeEvent::LimitInvalid { upstream: &upstream.id() });
            return;
        }
        // Only a response to a request that ran says that there is no limit.
        NamedLimit::None if info.is_signed && !info.is_not_run => None,
        NamedLimit::None => return,
    };
    let at = gateway.clock.now();
    let notice = LimitNotice { upstream: upstream.id(), per_second, at };
    if apply(gateway, upstream, &notice)
        && let Some(socket) = gateway.datagrams.get()
    {
        let targets = gateway.peers.borrow().all_addresses();
        send_notice(socket, &Datagram::Limits(vec![notice]), targets);
    }
}

/// Records limits that other nodes heard of.
pub(crate) fn handle_limits(gateway: &Gateway, notices: &[LimitNotice]) {
    for notice in notices {
        let is_valid = notice.per_second.is_none_or(|limit| limit.is_finite() && limit >= 0.0);
        if let (true, Some(upstream)) = (is_valid, gateway.directory.get(&notice.upstream)) {
            apply(gateway, &upstream, notice);
        }
    }
}

/// Applies a notice; returns whether it changed the upstream's limit.
fn apply(gateway: &Gateway, upstream: &Upstream, notice: &LimitNotice) -> bool {
    let heard = HeardLimit { per_second: notice.per_second, at: notice.at };
    let is_changed = upstream.limit.borrow_mut().record(heard);
    if is_changed {
        update_fingerprint(gateway);
        log_event(&NodeEvent::LimitNamed {
            upstream: &notice.upstream,
            per_second: notice.per_second,
        });
    }
    is_changed
}

/// Computes the hash of all limits anew; upstreams that were removed no longer count.
pub(crate) fn update_fingerprint(gateway: &Gateway) {
    let upstreams = gateway.directory.all();
    let hashes = upstreams.iter().map(|up| up.limit.borrow().fingerprint(&up.id()));
    gateway.limits_fingerprint.set(hashes.fold(0, |sum, hash| sum ^ hash));
}

/// Sends all limits to a node whose digest shows that it knows others.
pub(crate) fn repair_limits(gateway: &Gateway, to: SocketAddr, fingerprint: u64, now: Instant) {
    if gateway.limits_fingerprint.get() == fingerprint {
        return;
    }
    let notices = notices(gateway);
    if notices.is_empty() || !gateway.limits_sent.borrow_mut().try_send(to, now) {
        return;
    }
    let Some(socket) = gateway.datagrams.get() else { return };
    send_notice(socket, &Datagram::Limits(notices), [to].into());
}

/// Returns the limits of all upstreams, and the upstreams that lately stopped to name one.
fn notices(gateway: &Gateway) -> Vec<LimitNotice> {
    let now = gateway.clock.now();
    let notice = |up: &Rc<Upstream>| {
        let HeardLimit { per_second, at } = up.limit.borrow().heard()?;
        let is_told = per_second.is_some() || at + REMOVAL_RETENTION > now;
        is_told.then(|| LimitNotice { upstream: up.id(), per_second, at })
    };
    gateway.directory.all().iter().filter_map(notice).take(MAX_NOTICES).collect()
}

/// Upstreams split by whether they and their limits let this node send to them now.
pub(crate) struct WithinLimits {
    /// Upstreams to which a request may be sent.
    pub(crate) allowed: Vec<Rc<Upstream>>,
    /// Shortest time until a request may be sent to one of the others.
    pub(crate) next: Option<Duration>,
}

/// Splits upstreams by whether they and their limits let this node send to them now.
pub(crate) fn within_limits(gateway: &Gateway, upstreams: Vec<Rc<Upstream>>) -> WithinLimits {
    let now = gateway.clock.now();
    let nodes: OnceCell<Vec<NodeId>> = OnceCell::new();
    let Willing { willing: upstreams, mut next } = willing(gateway, upstreams);
    let mut is_allowed = |up: &Rc<Upstream>| {
        let mut limit = up.limit.borrow_mut();
        if limit.per_second().is_none() {
            return true;
        }
        let nodes = nodes.get_or_init(|| gateway.peers.borrow().sharing_nodes(Instant::now()));
        let sharers = LimitSharers { upstream: &up.id(), node: &gateway.settings.node, nodes };
        let wait = limit.time_to_send(&sharers, now);
        if !wait.is_zero() {
            next = Some(next.map_or(wait, |next| next.min(wait)));
        }
        wait.is_zero()
    };
    let allowed = upstreams.into_iter().filter(|up| is_allowed(up)).collect();
    WithinLimits { allowed, next }
}
