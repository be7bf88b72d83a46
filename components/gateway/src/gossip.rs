//! Sends and takes the datagrams between nodes.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use lycheelatch_prelude::ServiceName;
use tokio::{
    net::UdpSocket,
    time::{Instant, MissedTickBehavior, interval},
};

use crate::{
    gateway::{Demand, Gateway},
    peers::{Digest, ReadPrompt, ServiceDemand, UpstreamUse, WindowUse},
};

/// Time between two datagrams to each node of a small cluster.
const INTERVAL: Duration = Duration::from_millis(200);

/// Most datagrams that a node sends a second.
const MAX_PER_SECOND: usize = 100;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Sends this node's state to the others, and takes theirs, until the node ends.
pub(crate) async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let incarnation = rand::random();
    actix_rt::spawn(receive(gateway.clone(), socket.clone()));
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0;
    loop {
        ticks.tick().await;
        sequence += 1;
        let now = Instant::now();
        let targets = targets(&gateway, sequence);
        if targets.is_empty() {
            continue;
        }
        let digest = digest(&gateway, incarnation, sequence, now);
        match postcard::to_stdvec(&digest) {
            Ok(bytes) => send(&socket, &bytes, &targets).await,
            Err(err) => log::error!("peers: the state can't be encoded: {err}"),
        }
        share_in_flight(&gateway, now);
    }
}

async fn send(socket: &UdpSocket, bytes: &[u8], targets: &[SocketAddr]) {
    for target in targets {
        if let Err(err) = socket.send_to(bytes, target).await {
            log::debug!("peers: no datagram to {target}: {err}");
        }
    }
}

/// Returns whom this round's datagram goes to: a large cluster is served by turns.
fn targets(gateway: &Gateway, sequence: u64) -> Vec<SocketAddr> {
    let mut all = gateway.peers.borrow().addresses();
    if all.is_empty() {
        let own = gateway.settings.peers;
        all = gateway.settings.seeds.iter().copied().filter(|seed| *seed != own).collect();
    }
    let rounds = u128::try_from(MAX_PER_SECOND).unwrap_or(1) * INTERVAL.as_millis() / 1000;
    let most = usize::try_from(rounds).unwrap_or(1).max(1);
    if all.len() <= most {
        return all;
    }
    all.sort();
    let turns = all.len().div_ceil(most);
    let turn = usize::try_from(sequence).unwrap_or(0) % turns;
    all.into_iter().skip(turn).step_by(turns).collect()
}

fn digest(gateway: &Gateway, incarnation: u64, sequence: u64, now: Instant) -> Digest {
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
        incarnation,
        sequence,
        time_ms: u64::try_from(gateway.time.now().as_millis()).unwrap_or(u64::MAX),
        quota_use: gateway.quota_use(now),
        upstreams: upstreams.collect(),
        reads: gateway.reads.take().iter().map(ReadPrompt::from).collect(),
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
        match postcard::from_bytes::<Digest>(&buf[..len]) {
            Ok(digest) => take(&gateway, from, digest),
            Err(err) => log::warn!("peers: a datagram of {from} can't be read: {err}"),
        }
    }
}

fn take(gateway: &Gateway, from: SocketAddr, digest: Digest) {
    let now = Instant::now();
    let reads = digest.reads.clone();
    if !gateway.peers.borrow_mut().heard(from, digest, now) {
        return;
    }
    let Some(table) = gateway.table() else { return };
    for read in reads {
        let Some(upstream) = gateway.directory.get(&read.upstream) else { continue };
        let service = upstream.entry.borrow().service.clone();
        let engine = table.service(&service).and_then(|service| service.engine.as_ref());
        let memory = engine.map_or(0, |engine| engine.memory_tokens);
        upstream.load.borrow_mut().remember(&read.chain(), memory, now);
    }
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
    let times = peers.heard_digests(now).map(|digest| Duration::from_millis(digest.time_ms));
    let times: Vec<_> = times.collect();
    gateway.time.compare(times);
}
