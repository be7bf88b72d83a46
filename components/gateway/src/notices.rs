//! Notices that a node sends to others at once, besides its regular datagrams.

use std::{collections::BTreeSet, net::SocketAddr};

use lycheelatch_prelude::{ServiceName, UpstreamId, ZoneName};
use tokio::{net::UdpSocket, time::Instant};

use crate::{
    cache_exchange::record_prompt,
    directory::Upstream,
    engine_load::InFlight,
    event_log::log_event,
    gateway::{Gateway, SentPrompt},
    messages::{Datagram, SentNotice, UpstreamLoad, encode_links},
    node_event::NodeEvent,
    peers::Addresses,
    schedule::{MAX_OTHER_ZONES_PER_ROUND, MAX_SAME_ZONE_PER_ROUND},
};

/// Handles the notice of a request that another node has just sent.
pub(crate) fn handle_sent(gateway: &Gateway, notice: SentNotice) {
    let SentNotice { load, links, .. } = notice.clone();
    if !gateway.peers.borrow_mut().record_sent(notice) {
        return;
    }
    let Some(upstream) = gateway.directory.get(&load.upstream) else { return };
    upstream.running_elsewhere.set(upstream.running_elsewhere.get().saturating_add(load.requests));
    upstream.load.borrow_mut().others += InFlight::from(&load);
    record_prompt(gateway, &upstream, &links, Instant::now());
}

/// Notifies the nodes that place requests on the same engines of a request that is being sent.
pub(crate) fn announce_request(
    gateway: &Gateway,
    service: &ServiceName,
    zone: &ZoneName,
    prompt: &SentPrompt,
    work: InFlight,
) {
    let Some(socket) = gateway.datagrams.get() else { return };
    let notice = SentNotice {
        node: gateway.settings.node.clone(),
        load: UpstreamLoad {
            upstream: prompt.upstream.clone(),
            requests: work.requests,
            prefill_tokens: work.prefill_tokens,
            memory_tokens: work.memory_tokens,
            shared_tokens: work.shared_tokens,
        },
        links: encode_links(&prompt.links),
    };
    send_notice(socket, &Datagram::Sent(notice), notice_receivers(gateway, service, zone));
}

/// Notifies the nodes that place requests on the same upstreams that one is not at its address.
pub(crate) fn announce_absence(gateway: &Gateway, upstream: &Upstream) {
    let Some(socket) = gateway.datagrams.get() else { return };
    let entry = upstream.entry.borrow();
    let targets = notice_receivers(gateway, &entry.service, &entry.zone);
    send_notice(socket, &Datagram::Absent(entry.id.clone()), targets);
}

/// Handles the notice that an upstream is not at its address.
pub(crate) fn handle_absent(gateway: &Gateway, id: &UpstreamId) {
    let Some(upstream) = gateway.directory.get(id) else { return };
    if upstream.health.borrow_mut().record_remote_absence(Instant::now()) {
        log_event(&NodeEvent::UpstreamReportedAbsent { upstream: id });
    }
}

/// Sends a notice without waiting; it may be lost.
pub(crate) fn send_notice(socket: &UdpSocket, notice: &Datagram, targets: BTreeSet<SocketAddr>) {
    let bytes = match postcard::to_stdvec(notice) {
        Ok(bytes) => bytes,
        Err(err) => {
            log::error!("peers: failed to encode a notice: {err}");
            return;
        }
    };
    for target in targets {
        if let Err(err) = socket.try_send_to(&bytes, target) {
            log::debug!("peers: failed to send a notice to {target}: {err}");
        }
    }
}

/// Returns the nodes that place requests on the engines of an availability zone.
///
/// These are the nodes in this node's zone and in that zone, and the nodes whose own zone has no
/// engines.
pub(crate) fn notice_receivers(
    gateway: &Gateway,
    service: &ServiceName,
    zone: &ZoneName,
) -> BTreeSet<SocketAddr> {
    let peers = gateway.peers.borrow();
    let own = &gateway.settings.zone;
    let Addresses { same_zone, other_zones } = peers.addresses(own);
    let mut targets: BTreeSet<_> = same_zone.into_iter().take(MAX_SAME_ZONE_PER_ROUND).collect();
    if other_zones.len() <= MAX_OTHER_ZONES_PER_ROUND {
        targets.extend(other_zones);
        return targets;
    }
    if zone != own {
        targets.extend(peers.addresses(zone).same_zone.into_iter().take(MAX_SAME_ZONE_PER_ROUND));
    }
    targets.extend(peers.addresses_outside_zones(&zones_of(gateway, service)));
    targets
}

/// Returns the availability zones in which a service has upstreams that accept requests.
fn zones_of(gateway: &Gateway, service: &ServiceName) -> BTreeSet<ZoneName> {
    let upstreams = gateway.directory.available(service);
    upstreams.iter().map(|up| up.entry.borrow().zone.clone()).collect()
}
