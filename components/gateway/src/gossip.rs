//! Sends and takes the datagrams between nodes.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use lycheelatch_prelude::{ServiceName, UpstreamId, ZoneName};
use tokio::{
    net::UdpSocket,
    time::{Instant, MissedTickBehavior, interval},
};

use crate::{
    decision::{Belief, note},
    directory::Upstream,
    engine_load::InFlight,
    gateway::{Demand, Gateway, Read},
    peers::{
        Addresses, Datagram, Digest, ReadPrompt, SentNotice, ServiceDemand, UpstreamUse, WindowUse,
        from_wire, to_wire,
    },
};

#[cfg(test)]
mod tests;

/// Time between two datagrams to each node of a small cluster.
pub(crate) const INTERVAL: Duration = Duration::from_millis(200);

/// Most nodes of the own availability zone that get a datagram in one round.
const MAX_NEAR_PER_ROUND: usize = 24;

/// Most nodes of other availability zones that get a datagram in one round.
const MAX_FAR_PER_ROUND: usize = 12;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Sends this node's state to the others, and takes theirs, until the node ends.
pub(crate) async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let _set_before = gateway.datagrams.set(socket.clone());
    let incarnation = rand::random();
    actix_rt::spawn(receive(gateway.clone(), socket.clone()));
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0;
    let mut recent: VecDeque<Vec<Read>> = VecDeque::new();
    loop {
        ticks.tick().await;
        sequence += 1;
        let now = Instant::now();
        let targets = targets(&gateway, sequence);
        recent.push_front(gateway.reads.take());
        recent.truncate(targets.turns);
        let near = recent.iter().take(1).flatten();
        tell(&gateway, &socket, incarnation, sequence, near, &targets.near).await;
        let far = recent.iter().flatten();
        tell(&gateway, &socket, incarnation, sequence, far, &targets.far).await;
        share_in_flight(&gateway, now);
    }
}

/// Sends this node's state to some of the others.
async fn tell(
    gateway: &Gateway,
    socket: &UdpSocket,
    incarnation: u64,
    sequence: u64,
    reads: impl Iterator<Item = &Read>,
    targets: &[SocketAddr],
) {
    if targets.is_empty() {
        return;
    }
    let reads = reads.map(ReadPrompt::from).collect();
    let digest = digest(gateway, incarnation, sequence, reads);
    let bytes = match postcard::to_stdvec(&Datagram::State(digest)) {
        Ok(bytes) => bytes,
        Err(err) => {
            log::error!("peers: the state can't be encoded: {err}");
            return;
        }
    };
    for target in targets {
        if let Err(err) = socket.send_to(&bytes, target).await {
            log::debug!("peers: no datagram to {target}: {err}");
        }
    }
}

/// Whom one round's datagrams go to.
struct Targets {
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    /// Rounds until every far node had one.
    turns: usize,
}

/// Returns whom this round's datagrams go to: near nodes first, far ones by turns.
fn targets(gateway: &Gateway, sequence: u64) -> Targets {
    let Addresses { near, far } = gateway.peers.borrow().addresses(&gateway.settings.zone);
    if near.is_empty() && far.is_empty() {
        let own = gateway.settings.peers;
        let near = gateway.seeds().into_iter().filter(|seed| *seed != own).collect();
        return Targets { near, far, turns: 1 };
    }
    let sequence = usize::try_from(sequence).unwrap_or(0);
    let turns = far.len().div_ceil(MAX_FAR_PER_ROUND).max(1);
    Targets {
        near: by_turns(near, MAX_NEAR_PER_ROUND, sequence),
        far: by_turns(far, MAX_FAR_PER_ROUND, sequence),
        turns,
    }
}

/// Returns at most `most` of the addresses, others in the next rounds.
fn by_turns(all: Vec<SocketAddr>, most: usize, sequence: usize) -> Vec<SocketAddr> {
    let turns = all.len().div_ceil(most).max(1);
    all.into_iter().skip(sequence % turns).step_by(turns).collect()
}

/// Returns the time between two datagrams from a node of another availability zone.
pub(crate) fn cross_zone_interval(far_nodes: usize) -> Duration {
    let turns = far_nodes.div_ceil(MAX_FAR_PER_ROUND).max(1);
    INTERVAL * u32::try_from(turns).unwrap_or(u32::MAX)
}

fn digest(gateway: &Gateway, incarnation: u64, sequence: u64, reads: Vec<ReadPrompt>) -> Digest {
    let upstreams = gateway.directory.all();
    let upstreams = upstreams.iter().filter(|up| up.running.get() > 0).map(|up| {
        let own = up.load.borrow().own;
        UpstreamUse {
            upstream: up.id(),
            requests: up.running.get(),
            unread_tokens: own.unread_tokens,
            memory_tokens: own.memory_tokens,
        }
    });
    let usage = gateway.usage.borrow();
    let usage = usage.windows().iter().map(|(window, counts)| WindowUse {
        window: *window,
        counts: counts.iter().map(|(name, count)| (name.clone(), *count)).collect(),
    });
    Digest {
        node: gateway.settings.node.clone(),
        zone: gateway.settings.zone.clone(),
        incarnation,
        sequence,
        time_ms: u64::try_from(gateway.time.now().as_millis()).unwrap_or(u64::MAX),
        is_leader: gateway.is_leader.get(),
        quota_use: gateway.quota_use(Instant::now()),
        upstreams: upstreams.collect(),
        reads,
        usage: usage.collect(),
        demand: gateway.arrivals.borrow().iter().map(service_demand).collect(),
    }
}

fn service_demand((service, demand): (&ServiceName, &Demand)) -> ServiceDemand {
    ServiceDemand {
        service: service.clone(),
        requests: demand.requests,
        read_tokens: demand.read_tokens,
        generated_tokens: demand.generated_tokens,
        refused: demand.refused,
    }
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                log::debug!("peers: no datagram: {err}");
                tokio::time::sleep(INTERVAL).await;
                continue;
            }
        };
        match postcard::from_bytes::<Datagram>(&buf[..len]) {
            Ok(Datagram::State(digest)) => take(&gateway, from, digest),
            Ok(Datagram::Sent(notice)) => take_sent(&gateway, notice),
            Ok(Datagram::Absent(upstream)) => take_absent(&gateway, &upstream),
            Err(err) => log::warn!("peers: a datagram of {from} can't be read: {err}"),
        }
    }
}

fn take(gateway: &Gateway, from: SocketAddr, digest: Digest) {
    let now = Instant::now();
    let reads = digest.reads.clone();
    if !gateway.peers.borrow_mut().heard(from, digest, now, gateway.time.since_start()) {
        return;
    }
    for read in reads {
        if let Some(upstream) = gateway.directory.get(&read.upstream) {
            remember(gateway, &upstream, &read.links, now);
        }
    }
}

/// Takes note of a prompt that an engine reads for another node.
fn remember(gateway: &Gateway, upstream: &Upstream, links: &[(u64, u32)], now: Instant) {
    let Some(table) = gateway.table() else { return };
    let service = upstream.entry.borrow().service.clone();
    let engine = table.service(&service).and_then(|service| service.engine.as_ref());
    let memory = engine.map_or(0, |engine| engine.memory_tokens);
    upstream.load.borrow_mut().remember(&from_wire(links), memory, now);
}

/// Takes note of a request that another node has just sent.
fn take_sent(gateway: &Gateway, notice: SentNotice) {
    let SentNotice { used, links, .. } = notice.clone();
    if !gateway.peers.borrow_mut().heard_sent(notice) {
        return;
    }
    let Some(upstream) = gateway.directory.get(&used.upstream) else { return };
    upstream.running_elsewhere.set(upstream.running_elsewhere.get() + used.requests);
    upstream.load.borrow_mut().others += InFlight::from(&used);
    remember(gateway, &upstream, &links, Instant::now());
}

/// Tells the nodes that choose among the same engines of a request that is being sent.
pub(crate) fn announce_request(
    gateway: &Gateway,
    service: &ServiceName,
    zone: &ZoneName,
    read: &Read,
    work: InFlight,
) {
    let Some(socket) = gateway.datagrams.get() else { return };
    let notice = SentNotice {
        node: gateway.settings.node.clone(),
        used: UpstreamUse {
            upstream: read.upstream.clone(),
            requests: work.requests,
            unread_tokens: work.unread_tokens,
            memory_tokens: work.memory_tokens,
        },
        links: to_wire(&read.links),
    };
    send_notice(socket, &Datagram::Sent(notice), choosers(gateway, service, zone));
}

/// Tells the nodes that choose among the same upstreams that one is not at its address.
pub(crate) fn announce_absence(gateway: &Gateway, upstream: &Upstream) {
    let Some(socket) = gateway.datagrams.get() else { return };
    let entry = upstream.entry.borrow();
    let targets = choosers(gateway, &entry.service, &entry.zone);
    send_notice(socket, &Datagram::Absent(entry.id.clone()), targets);
}

fn take_absent(gateway: &Gateway, upstream: &UpstreamId) {
    let Some(known) = gateway.directory.get(upstream) else { return };
    if known.health.borrow_mut().record_remote_absence(Instant::now()) {
        note(&Belief::UpstreamAbsent { upstream });
    }
}

fn send_notice(socket: &UdpSocket, notice: &Datagram, targets: BTreeSet<SocketAddr>) {
    let bytes = match postcard::to_stdvec(notice) {
        Ok(bytes) => bytes,
        Err(err) => {
            log::error!("peers: a notice can't be encoded: {err}");
            return;
        }
    };
    for target in targets {
        if let Err(err) = socket.try_send_to(&bytes, target) {
            log::debug!("peers: no notice to {target}: {err}");
        }
    }
}

/// Returns the nodes that choose among the engines of an availability zone.
///
/// These are the nodes of this zone and of that one, and those whose own zone has no engines.
fn choosers(gateway: &Gateway, service: &ServiceName, zone: &ZoneName) -> BTreeSet<SocketAddr> {
    let peers = gateway.peers.borrow();
    let own = &gateway.settings.zone;
    let Addresses { near, far } = peers.addresses(own);
    let mut told: BTreeSet<_> = near.into_iter().take(MAX_NEAR_PER_ROUND).collect();
    if far.len() <= MAX_FAR_PER_ROUND {
        told.extend(far);
        return told;
    }
    if zone != own {
        told.extend(peers.addresses(zone).near.into_iter().take(MAX_NEAR_PER_ROUND));
    }
    told.extend(peers.addresses_outside(&zones_with(gateway, service)));
    told
}

/// Returns the availability zones in which a service has upstreams that take work.
fn zones_with(gateway: &Gateway, service: &ServiceName) -> BTreeSet<ZoneName> {
    let upstreams = gateway.directory.available(service);
    upstreams.iter().map(|up| up.entry.borrow().zone.clone()).collect()
}

/// Writes what the other nodes have in flight into the directory, and compares clocks.
fn share_in_flight(gateway: &Gateway, now: Instant) {
    let mut peers = gateway.peers.borrow_mut();
    peers.forget_silent(now);
    let sums = peers.in_flight(now);
    for upstream in gateway.directory.all() {
        let others = sums.get(&upstream.id()).copied().unwrap_or_default();
        upstream.running_elsewhere.set(others.requests);
        upstream.load.borrow_mut().others = others;
    }
    let times = peers.times(gateway.time.since_start());
    gateway.time.compare(times);
}
