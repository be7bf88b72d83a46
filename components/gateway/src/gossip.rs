//! Sends and receives the gossip datagrams between nodes.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc};

use lycheelatch_prelude::ServiceName;
use tokio::{
    net::UdpSocket,
    time::{Instant, MissedTickBehavior, interval},
};

use crate::{
    StoreRevision,
    cache_exchange::record_prompt,
    crash_evidence::{handle_evidence, log_refused_parts, repair_evidence},
    departures::Departure,
    gateway::{Demand, Gateway, SentPrompt},
    messages::{Datagram, Digest, PromptNotice, ServiceDemand, UpstreamLoad, WindowUsage},
    notices::{handle_absent, handle_sent},
    peers::Addresses,
    schedule::{INTERVAL, LEADER_ROUNDS, MAX_OTHER_ZONES_PER_ROUND, MAX_SAME_ZONE_PER_ROUND},
    upstream_limits::{handle_limits, repair_limits, update_fingerprint},
    upstream_speeds::{SpeedNotice, handle_speed_notices},
    zone_usage::UsageSum,
};

#[cfg(test)]
mod tests;

/// `MAX_OTHER_ZONES_PER_ROUND` of the leader, which many nodes have to know.
const MAX_OTHER_ZONES_OF_LEADER: usize = 60;

/// Number of nodes from which on digests to other availability zones are brief and the zones' usage
/// is told as sums.
const LARGE_CLUSTER: u32 = 16;

/// Nodes of an availability zone that send its usage to other zones.
const ZONE_REPORTERS: usize = 2;

/// Nodes of each other availability zone that receive it. Some of the first ones may be down.
const ZONE_RECEIVERS: usize = 3;

/// Maximum number of samples of speed in one datagram, those of the last rounds included.
const MAX_SPEED_NOTICES: usize = 24;

/// The same for nodes in other availability zones, which place few requests on the same upstreams.
const MAX_SPEED_NOTICES_ELSEWHERE: usize = 6;

/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Sends this node's state to the others and receives theirs until the task is dropped.
pub(crate) async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let _already_set = gateway.datagrams.set(socket.clone());
    actix_rt::spawn(receive(gateway.clone(), socket.clone()));
    let mut ticker = interval(INTERVAL);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sender = Sender {
        gateway,
        socket,
        incarnation: rand::random(),
        sequence: 0,
        recent: VecDeque::new(),
        recent_speeds: VecDeque::new(),
    };
    loop {
        ticker.tick().await;
        let now = Instant::now();
        sender.send_round(now).await;
        apply_in_flight(&sender.gateway, now);
    }
}

/// Sends this node's state in rounds.
struct Sender {
    gateway: Rc<Gateway>,
    socket: Rc<UdpSocket>,
    incarnation: u64,
    sequence: u64,
    /// Prompts sent in the last rounds, newest round first.
    recent: VecDeque<Vec<SentPrompt>>,
    /// Samples of upstreams' speed of the last rounds, newest round first.
    recent_speeds: VecDeque<Vec<SpeedNotice>>,
}

impl Sender {
    async fn send_round(&mut self, now: Instant) {
        self.sequence += 1;
        let targets = targets(&self.gateway, self.sequence);
        self.recent.push_front(self.gateway.sent_prompts.take());
        self.recent.truncate(targets.rounds);
        self.recent_speeds.push_front(self.gateway.speed_notices.take());
        self.recent_speeds.truncate(targets.rounds);
        log_refused_parts(&self.gateway);
        let digest = digest(&self.gateway, self.incarnation, self.sequence);
        self.send(self.with_prompts(&digest, 1), &targets.same_zone).await;
        let mut for_other_zones = self.with_prompts(&digest, targets.rounds);
        if self.gateway.nodes() < LARGE_CLUSTER {
            self.send(for_other_zones, &targets.other_zones).await;
            return;
        }
        for_other_zones.leave_out_details();
        for_other_zones.speed_notices.truncate(MAX_SPEED_NOTICES_ELSEWHERE);
        self.send(for_other_zones, &targets.other_zones).await;
        let is_reporter = reports_zone(&self.gateway, now);
        let zone_sum = is_reporter.then(|| self.zone_sum(&digest, now));
        self.send_to_leader(digest, is_reporter, now).await;
        send_zone_usage(&self.gateway, &self.socket, zone_sum, &targets.same_zone, now).await;
    }

    async fn send(&self, digest: Digest, targets: &[SocketAddr]) {
        send(&self.socket, &Datagram::State(Box::new(digest)), targets).await;
    }

    /// Returns a digest with the prompts and the samples of speed of the last rounds.
    fn with_prompts(&self, digest: &Digest, rounds: usize) -> Digest {
        let prompts = self.recent.iter().take(rounds).flatten();
        let speeds = self.recent_speeds.iter().take(rounds).flatten().take(MAX_SPEED_NOTICES);
        Digest {
            sent_prompts: prompts.map(PromptNotice::from).collect(),
            speed_notices: speeds.copied().collect(),
            ..digest.clone()
        }
    }

    /// Returns the usage of this availability zone.
    fn zone_sum(&self, digest: &Digest, now: Instant) -> UsageSum {
        let mut sum = self.gateway.peers.borrow().usage_in_zone(&digest.zone, now);
        sum.add(1, digest.quota_use.iter().map(|(name, used)| (name, used)));
        sum
    }

    /// Sends the complete digest to a leader in another availability zone, in some of the rounds.
    async fn send_to_leader(&self, mut digest: Digest, is_reporter: bool, now: Instant) {
        if !self.sequence.is_multiple_of(LEADER_ROUNDS) {
            return;
        }
        if is_reporter {
            let oldest = self.gateway.oldest_usage_window();
            let mut peers = self.gateway.peers.borrow_mut();
            peers.remove_usage_before(oldest);
            digest.ended_usage = peers.ended_in_zone(&digest.zone);
        }
        let leader = self.gateway.peers.borrow().leader_outside(&digest.zone, now);
        self.send(digest, leader.as_slice()).await;
    }
}

/// Sends a datagram to `targets`.
async fn send(socket: &UdpSocket, datagram: &Datagram, targets: &[SocketAddr]) {
    if targets.is_empty() {
        return;
    }
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) => bytes,
        Err(err) => {
            log::error!("peers: failed to encode a datagram: {err}");
            return;
        }
    };
    for target in targets {
        if let Err(err) = socket.send_to(&bytes, target).await {
            log::debug!("peers: failed to send a datagram to {target}: {err}");
        }
    }
}

/// Sends the usage of this availability zone to the other zones, if `zone_sum` is given, and passes
/// on theirs to `same_zone`, if it has received them.
async fn send_zone_usage(
    gateway: &Gateway,
    socket: &UdpSocket,
    zone_sum: Option<UsageSum>,
    same_zone: &[SocketAddr],
    now: Instant,
) {
    let zone = &gateway.settings.zone;
    if let Some(sum) = zone_sum {
        let targets = gateway.peers.borrow().first_of_other_zones(zone, ZONE_RECEIVERS);
        send(socket, &Datagram::ZoneUsage(zone.clone(), sum), &targets).await;
    }
    let zones = gateway.peers.borrow().other_zones(zone);
    let passed_on = gateway.peers.borrow().zone_usage.sum_to_pass_on(zones, now);
    if let Some(sum) = passed_on {
        gateway.peers.borrow_mut().zone_usage.record_other_zones(sum.clone(), now);
        send(socket, &Datagram::OtherZonesUsage(sum), same_zone).await;
    }
}

/// Returns whether this node is among the first live ones of its availability zone.
fn reports_zone(gateway: &Gateway, now: Instant) -> bool {
    gateway.peers.borrow().rank_in_zone(&gateway.settings.zone, now) < ZONE_REPORTERS
}

/// Receivers of one round's datagrams.
struct Targets {
    same_zone: Vec<SocketAddr>,
    other_zones: Vec<SocketAddr>,
    /// Rounds until every node in another availability zone has got a datagram.
    rounds: usize,
}

/// Returns the receivers of this round's datagrams; many receivers rotate between rounds.
fn targets(gateway: &Gateway, sequence: u64) -> Targets {
    let Addresses { same_zone, other_zones } =
        gateway.peers.borrow().addresses(&gateway.settings.zone);
    if same_zone.is_empty() && other_zones.is_empty() {
        let own = gateway.settings.peers;
        let same_zone = gateway.seeds().into_iter().filter(|seed| *seed != own).collect();
        return Targets { same_zone, other_zones, rounds: 1 };
    }
    let sequence = usize::try_from(sequence).unwrap_or(0);
    let max_other_zones = match gateway.is_leader.get() {
        true => MAX_OTHER_ZONES_OF_LEADER,
        false => MAX_OTHER_ZONES_PER_ROUND,
    };
    let rounds = other_zones.len().div_ceil(MAX_OTHER_ZONES_PER_ROUND).max(1);
    Targets {
        same_zone: rotate(same_zone, MAX_SAME_ZONE_PER_ROUND, sequence),
        other_zones: rotate(other_zones, max_other_zones, sequence),
        rounds,
    }
}

/// Returns at most `max` of the addresses, others in the next rounds.
fn rotate(addresses: Vec<SocketAddr>, max: usize, sequence: usize) -> Vec<SocketAddr> {
    let rounds = addresses.len().div_ceil(max).max(1);
    addresses.into_iter().skip(sequence % rounds).step_by(rounds).collect()
}

/// Returns this node's complete digest, without prompts.
fn digest(gateway: &Gateway, incarnation: u64, sequence: u64) -> Digest {
    let upstreams = gateway.directory.all();
    let upstreams = upstreams.iter().filter(|up| up.running.get() > 0).map(|up| {
        let own = up.load.borrow().own;
        UpstreamLoad {
            upstream: up.id(),
            requests: up.running.get(),
            prefill_tokens: own.prefill_tokens,
            memory_tokens: own.memory_tokens,
            shared_tokens: own.shared_tokens,
        }
    });
    let usage = gateway.usage.borrow();
    let windows = usage.windows().iter().map(|(window, counts)| WindowUsage {
        window: *window,
        counts: counts.iter().map(|(name, count)| (name.clone(), *count)).collect(),
    });
    Digest {
        node: gateway.settings.node.clone(),
        zone: gateway.settings.zone.clone(),
        incarnation,
        sequence,
        time_ms: u64::try_from(gateway.clock.now().as_millis()).unwrap_or(u64::MAX),
        is_leader: gateway.is_leader.get(),
        is_brief: false,
        quota_use: gateway.quota_use(Instant::now()),
        upstreams: upstreams.collect(),
        sent_prompts: Vec::new(),
        usage: windows.collect(),
        ended_usage: Vec::new(),
        demand: gateway.demand.borrow().iter().map(service_demand).collect(),
        config_version: gateway.table().map_or(0, |table| table.version),
        departures: gateway.departures.borrow_mut().announcement(Instant::now()),
        crash_evidence: gateway.crash_suspects.borrow().fingerprint(),
        limits: gateway.limits_fingerprint.get(),
        rollouts: gateway.rollout_reports(Instant::now()),
        rollout_notices: match gateway.is_leader.get() {
            true => gateway.rollouts.borrow().notices(Instant::now()),
            false => Vec::new(),
        },
        speed_notices: Vec::new(),
    }
}

fn service_demand((service, demand): (&ServiceName, &Demand)) -> ServiceDemand {
    ServiceDemand {
        service: service.clone(),
        requests: demand.requests,
        prompt_tokens: demand.prompt_tokens,
        prefill_tokens: demand.prefill_tokens,
        refused: demand.refused,
        speed: demand.speed,
    }
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                log::debug!("peers: failed to receive a datagram: {err}");
                tokio::time::sleep(INTERVAL).await;
                continue;
            }
        };
        handle_datagram(&gateway, from, &buf[..len]);
    }
}

fn handle_datagram(gateway: &Gateway, from: SocketAddr, bytes: &[u8]) {
    match postcard::from_bytes::<Datagram>(bytes) {
        Ok(Datagram::State(digest)) => handle_state(gateway, from, *digest),
        Ok(Datagram::Sent(notice)) => handle_sent(gateway, notice),
        Ok(Datagram::Absent(upstream)) => handle_absent(gateway, &upstream),
        Ok(Datagram::StreamBegan(origin)) => gateway.record_origin(origin),
        Ok(Datagram::Limits(notices)) => handle_limits(gateway, &notices),
        Ok(Datagram::CrashEvidence(evidence)) => handle_evidence(gateway, evidence),
        Ok(Datagram::ZoneUsage(zone, sum)) => {
            let now = Instant::now();
            gateway.peers.borrow_mut().zone_usage.record_zone(zone, sum, now);
        }
        Ok(Datagram::OtherZonesUsage(sum)) => {
            gateway.peers.borrow_mut().zone_usage.record_other_zones(sum, Instant::now());
        }
        Err(err) => log::warn!("peers: failed to decode a datagram from {from}: {err}"),
    }
}

fn handle_state(gateway: &Gateway, from: SocketAddr, digest: Digest) {
    let now = Instant::now();
    let sent_prompts = digest.sent_prompts.clone();
    let speed_notices = digest.speed_notices.clone();
    apply_departures(gateway, &digest.departures, now);
    repair_evidence(gateway, from, digest.crash_evidence, now);
    repair_limits(gateway, from, digest.limits, now);
    gateway.apply_rollouts(&digest, now);
    if !gateway.peers.borrow_mut().record_digest(from, digest, now, gateway.clock.since_boot()) {
        return;
    }
    handle_speed_notices(gateway, &speed_notices, now);
    for prompt in sent_prompts {
        if let Some(upstream) = gateway.directory.get(&prompt.upstream) {
            record_prompt(gateway, &upstream, &prompt.links, now);
        }
    }
}

/// Stops using upstreams that another node saw leave, and passes the news on.
fn apply_departures(gateway: &Gateway, departures: &[Departure], now: Instant) {
    for Departure { upstream, revision } in departures {
        let revision = StoreRevision::from(*revision);
        if gateway.directory.mark_departed(upstream, revision) {
            gateway.departures.borrow_mut().record(upstream.clone(), revision, now);
        }
    }
}

/// Updates the directory with the requests that other nodes have in flight, and compares clocks.
fn apply_in_flight(gateway: &Gateway, now: Instant) {
    let mut peers = gateway.peers.borrow_mut();
    peers.remove_silent(now);
    let sums = peers.in_flight(now);
    for upstream in gateway.directory.all() {
        let others = sums.get(&upstream.id()).copied().unwrap_or_default();
        upstream.running_elsewhere.set(others.requests);
        let mut smoothed = upstream.smoothed_elsewhere.get();
        smoothed.record(others.requests);
        upstream.smoothed_elsewhere.set(smoothed);
        upstream.load.borrow_mut().others = others;
    }
    update_fingerprint(gateway);
    gateway.update_engine_speeds(peers.live_digests(now));
    let estimated_times = peers.estimated_times(gateway.clock.since_boot());
    gateway.clock.adjust_to_peers(estimated_times);
}
