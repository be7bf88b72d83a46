//! Table of the other nodes of a cluster and their latest digests.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use lycheelatch_prelude::{NodeId, UpstreamId, WorkspaceName, ZoneName};
use tokio::time::Instant;

use crate::{
    engine_load::InFlight,
    members::Member,
    messages::{Digest, EndedUsage, SentNotice, UpstreamLoad, WindowUsage},
    quota::{PeerUsage, SubwindowUsage},
    schedule::cross_zone_interval,
    usage::{UsageWindow, add_count},
    zone_usage::{UsageSum, ZoneUsageTable},
};

mod record_holders;
#[cfg(test)]
mod tests;

pub(crate) use record_holders::RecordHolders;

/// Time without a digest after which a node is not live, in addition to two of its intervals.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum number of ended processes in one digest.
const MAX_ENDED: usize = 40;

/// Time without a digest after which a node that is not registered in the store is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns whether a digest of the same process says more than the current one.
///
/// In one round the leader may get both a brief and a complete digest, with the same sequence
/// number and in any order.
fn is_newer(digest: &Digest, current: &Digest) -> bool {
    let completes = digest.sequence == current.sequence && current.is_brief && !digest.is_brief;
    digest.sequence > current.sequence || completes
}

/// One other node.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// Availability zone, once it is known.
    zone: Option<ZoneName>,
    last_seen: Option<Instant>,
    /// Arrival of the last digest, as time since the machine's boot.
    last_seen_since_boot: Duration,
    digest: Option<Digest>,
    /// Requests that it announced since its last digest.
    sent: Vec<UpstreamLoad>,
}

impl Peer {
    fn new(address: SocketAddr) -> Peer {
        Peer {
            address,
            zone: None,
            last_seen: None,
            last_seen_since_boot: Duration::ZERO,
            digest: None,
            sent: Vec::new(),
        }
    }

    /// Returns the age of the last digest, if it is below a limit.
    fn age_below(&self, limit: Duration, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.last_seen?);
        (age < limit).then_some(age)
    }
}

/// Addresses of other nodes.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Addresses {
    /// Nodes in this node's availability zone or in an unknown one.
    pub(crate) same_zone: Vec<SocketAddr>,
    /// Nodes in other availability zones.
    pub(crate) other_zones: Vec<SocketAddr>,
}

/// Table of the other nodes and their latest digests.
#[derive(Debug)]
pub(crate) struct PeerTable {
    own: NodeId,
    peers: HashMap<NodeId, Peer>,
    /// Request counts of processes that ended, for the usage report.
    ended_usage: BTreeMap<(NodeId, u64), Vec<WindowUsage>>,
    /// Sums of other availability zones, in a large cluster.
    pub(crate) zone_usage: ZoneUsageTable,
}

impl PeerTable {
    pub(crate) fn new(own: NodeId) -> PeerTable {
        PeerTable {
            own,
            peers: HashMap::new(),
            ended_usage: BTreeMap::new(),
            zone_usage: ZoneUsageTable::default(),
        }
    }

    /// Returns the time without a digest after which a node is not live.
    fn liveness_timeout(&self) -> Duration {
        LIVENESS_TIMEOUT + 2 * cross_zone_interval(self.peers.len())
    }

    /// Updates the table with the nodes that are registered in the store.
    pub(crate) fn update_members(&mut self, nodes: Vec<Member>, now: Instant) {
        let limit = self.liveness_timeout();
        let members: BTreeSet<_> = nodes.iter().map(|member| &member.id).collect();
        self.retain(|id, peer| peer.age_below(limit, now).is_some() || members.contains(id));
        let own = &self.own;
        for Member { id, address, zone } in nodes.into_iter().filter(|member| member.id != *own) {
            let peer = self.peers.entry(id).or_insert_with(|| Peer::new(address));
            peer.address = address;
            peer.zone = Some(zone);
        }
    }

    /// Removes the nodes that `should_keep` rejects; their usage counts stay in `ended_usage`.
    fn retain(&mut self, should_keep: impl Fn(&NodeId, &Peer) -> bool) {
        let ended_usage = &mut self.ended_usage;
        self.peers.retain(|id, peer| {
            let is_kept = should_keep(id, peer);
            if let (false, Some(digest)) = (is_kept, &peer.digest) {
                ended_usage.insert((id.clone(), digest.incarnation), digest.usage.clone());
            }
            is_kept
        });
    }

    /// Records a digest; returns whether it is newer than the last one.
    pub(crate) fn record_digest(
        &mut self,
        from: SocketAddr,
        mut digest: Digest,
        now: Instant,
        since_boot: Duration,
    ) -> bool {
        if digest.node == self.own {
            return false;
        }
        let peer = self.peers.entry(digest.node.clone());
        let peer = peer.or_insert_with(|| Peer::new(from));
        if let Some(current) = &mut peer.digest {
            if current.incarnation == digest.incarnation && !is_newer(&digest, current) {
                return false;
            }
            if current.incarnation != digest.incarnation {
                let key = (current.node.clone(), current.incarnation);
                self.ended_usage.insert(key, current.usage.clone());
            } else if digest.is_brief {
                digest.usage = std::mem::take(&mut current.usage);
                digest.demand = std::mem::take(&mut current.demand);
                digest.rollouts = std::mem::take(&mut current.rollouts);
            }
        }
        // A process that was considered ended still runs, and its digest includes these counts.
        self.ended_usage.remove(&(digest.node.clone(), digest.incarnation));
        peer.address = from;
        peer.zone = Some(digest.zone.clone());
        peer.last_seen = Some(now);
        peer.last_seen_since_boot = since_boot;
        let ended_usage = std::mem::take(&mut digest.ended_usage);
        peer.digest = Some(digest);
        peer.sent.clear();
        self.record_ended(ended_usage);
        true
    }

    /// Records the usage of processes that ended, unless this node knows better.
    fn record_ended(&mut self, ended_usage: Vec<EndedUsage>) {
        for EndedUsage { node, incarnation, usage } in ended_usage {
            let current = self.peers.get(&node).and_then(|peer| peer.digest.as_ref());
            if current.is_some_and(|digest| digest.incarnation == incarnation) || node == self.own {
                continue;
            }
            self.ended_usage.entry((node, incarnation)).or_insert(usage);
        }
    }

    /// Returns the usage of processes that ended in an availability zone.
    pub(crate) fn ended_in_zone(&self, zone: &ZoneName) -> Vec<EndedUsage> {
        let is_in_zone = |node: &NodeId| {
            self.peers.get(node).is_none_or(|peer| peer.zone.as_ref() == Some(zone))
        };
        let ended = self.ended_usage.iter().filter(|((node, _), _)| is_in_zone(node));
        let ended = ended.map(|((node, incarnation), usage)| EndedUsage {
            node: node.clone(),
            incarnation: *incarnation,
            usage: usage.clone(),
        });
        ended.take(MAX_ENDED).collect()
    }

    /// Records the notice of a request; returns whether its sender is in the table.
    pub(crate) fn record_sent(&mut self, notice: SentNotice) -> bool {
        let Some(peer) = self.peers.get_mut(&notice.node) else { return false };
        peer.sent.push(notice.load);
        true
    }

    /// Removes nodes whose last digest is older than `REMOVAL_TIMEOUT`.
    pub(crate) fn remove_silent(&mut self, now: Instant) {
        self.retain(|_, peer| {
            peer.last_seen.is_none_or(|at| now.saturating_duration_since(at) < REMOVAL_TIMEOUT)
        });
    }

    /// Returns the number of nodes, this one included.
    pub(crate) fn node_count(&self) -> u32 {
        u32::try_from(self.peers.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns the addresses of the other nodes, split by whether they are in `zone`.
    pub(crate) fn addresses(&self, zone: &ZoneName) -> Addresses {
        let is_in_zone = |peer: &&Peer| peer.zone.as_ref().is_none_or(|of_peer| of_peer == zone);
        let (same_zone, other_zones): (Vec<&Peer>, Vec<&Peer>) =
            self.peers.values().partition(is_in_zone);
        let sorted = |peers: Vec<&Peer>| {
            let mut addresses: Vec<_> = peers.iter().map(|peer| peer.address).collect();
            addresses.sort();
            addresses
        };
        Addresses { same_zone: sorted(same_zone), other_zones: sorted(other_zones) }
    }

    /// Returns the addresses of the other nodes outside of `zones`.
    pub(crate) fn addresses_outside_zones(&self, zones: &BTreeSet<ZoneName>) -> Vec<SocketAddr> {
        let is_outside =
            |peer: &&Peer| peer.digest.as_ref().is_some_and(|digest| !zones.contains(&digest.zone));
        self.peers.values().filter(is_outside).map(|peer| peer.address).collect()
    }

    /// Returns the live nodes.
    fn live_peers(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &Peer)> {
        let limit = self.liveness_timeout();
        self.peers.iter().filter(move |(_, peer)| peer.age_below(limit, now).is_some())
    }

    /// Returns the latest digests of the live nodes.
    pub(crate) fn live_digests(&self, now: Instant) -> impl Iterator<Item = &Digest> {
        self.live_peers(now).filter_map(|(_, peer)| peer.digest.as_ref())
    }

    /// Returns the latest digests of all nodes.
    pub(crate) fn digests(&self) -> impl Iterator<Item = &Digest> {
        self.peers.values().filter_map(|peer| peer.digest.as_ref())
    }

    /// Returns the current time by each live node's clock.
    ///
    /// Ages are measured with the clock that advances while the machine is suspended, so that
    /// after a suspension no earlier digest sets this node's clock back.
    pub(crate) fn estimated_times(&self, since_boot: Duration) -> Vec<Duration> {
        let limit = self.liveness_timeout();
        let time_of = |peer: &Peer| {
            let age = since_boot.saturating_sub(peer.last_seen_since_boot);
            let reported = Duration::from_millis(peer.digest.as_ref()?.time_ms);
            (age < limit).then_some(reported + age)
        };
        self.peers.values().filter_map(time_of).collect()
    }

    /// Returns the live nodes of an availability zone, sorted by identifier.
    pub(crate) fn live_in_zone(&self, zone: &ZoneName, now: Instant) -> Vec<(NodeId, SocketAddr)> {
        let is_in_zone =
            |peer: &Peer| peer.digest.as_ref().is_some_and(|digest| digest.zone == *zone);
        let live = self.live_peers(now).filter(|(_, peer)| is_in_zone(peer));
        let mut nodes: Vec<_> = live.map(|(id, peer)| (id.clone(), peer.address)).collect();
        nodes.sort();
        nodes
    }

    /// Returns the number of live nodes of an availability zone whose identifiers are below this
    /// node's.
    pub(crate) fn rank_in_zone(&self, zone: &ZoneName, now: Instant) -> usize {
        let is_in_zone =
            |peer: &Peer| peer.digest.as_ref().is_some_and(|digest| digest.zone == *zone);
        let live = self.live_peers(now).filter(|(_, peer)| is_in_zone(peer));
        live.filter(|(id, _)| **id < self.own).count()
    }

    /// Returns whether the leader is live.
    ///
    /// In the leader's availability zone its digests arrive more often, so that a shorter timeout
    /// applies there.
    pub(crate) fn has_live_leader(&self, zone: &ZoneName, now: Instant) -> bool {
        let other_zone_limit = self.liveness_timeout();
        self.peers.values().any(|peer| {
            let Some(digest) = peer.digest.as_ref().filter(|digest| digest.is_leader) else {
                return false;
            };
            let limit = if digest.zone == *zone { LIVENESS_TIMEOUT } else { other_zone_limit };
            peer.age_below(limit, now).is_some()
        })
    }

    /// Returns the time between two datagrams from a node of another availability zone.
    pub(crate) fn cross_zone_interval(&self) -> Duration {
        cross_zone_interval(self.peers.len())
    }

    /// Returns the addresses of the live nodes with a newer configuration than `version`.
    pub(crate) fn with_newer_config(&self, version: u64, now: Instant) -> Vec<SocketAddr> {
        let is_newer = |peer: &Peer| {
            peer.digest.as_ref().is_some_and(|digest| digest.config_version > version)
        };
        let newer = self.live_peers(now).filter(|(_, peer)| is_newer(peer));
        newer.map(|(_, peer)| peer.address).collect()
    }

    /// Returns the nodes that may send requests: this one, the live ones, and registered ones that
    /// have not been heard yet.
    pub(crate) fn sharing_nodes(&self, now: Instant) -> Vec<NodeId> {
        let limit = self.liveness_timeout();
        let may_send =
            |peer: &Peer| peer.last_seen.is_none() || peer.age_below(limit, now).is_some();
        let others = self.peers.iter().filter(|(_, peer)| may_send(peer)).map(|(id, _)| id);
        others.chain([&self.own]).cloned().collect()
    }

    /// Returns the addresses of all other nodes.
    pub(crate) fn all_addresses(&self) -> BTreeSet<SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }

    /// Returns whether an address is that of another node; at a port that nodes use, whether its
    /// host is another node's.
    pub(crate) fn has_address(&self, address: SocketAddr, is_node_port: bool) -> bool {
        let matches = |peer: &Peer| {
            peer.address == address || is_node_port && peer.address.ip() == address.ip()
        };
        self.peers.values().any(matches)
    }

    /// Returns the addresses of the live nodes.
    pub(crate) fn live_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        self.live_peers(now).map(|(_, peer)| peer.address).collect()
    }

    /// Returns the address of the leader outside of `zone`, if it is live.
    pub(crate) fn leader_outside(&self, zone: &ZoneName, now: Instant) -> Option<SocketAddr> {
        let is_leader = |peer: &Peer| {
            let digest = peer.digest.as_ref();
            digest.is_some_and(|digest| digest.is_leader && digest.zone != *zone)
        };
        let mut leaders = self.live_peers(now).filter(|(_, peer)| is_leader(peer));
        leaders.next().map(|(_, peer)| peer.address)
    }

    /// Returns the first `count` nodes of each availability zone but `zone`, by identifier.
    pub(crate) fn first_of_other_zones(&self, zone: &ZoneName, count: usize) -> Vec<SocketAddr> {
        let mut by_zone: BTreeMap<&ZoneName, BTreeMap<&NodeId, SocketAddr>> = BTreeMap::new();
        for (id, peer) in &self.peers {
            let Some(of_peer) = peer.zone.as_ref().filter(|of_peer| *of_peer != zone) else {
                continue;
            };
            by_zone.entry(of_peer).or_default().insert(id, peer.address);
        }
        by_zone.values().flat_map(|nodes| nodes.values().take(count)).copied().collect()
    }

    /// Returns the number of availability zones other than `zone`.
    pub(crate) fn other_zones(&self, zone: &ZoneName) -> usize {
        let zones: BTreeSet<_> =
            self.peers.values().filter_map(|peer| peer.zone.as_ref()).collect();
        zones.iter().filter(|of_peer| **of_peer != zone).count()
    }

    /// Returns the usage of the live nodes of an availability zone.
    pub(crate) fn usage_in_zone(&self, zone: &ZoneName, now: Instant) -> UsageSum {
        let mut sum = UsageSum::default();
        for digest in self.live_digests(now).filter(|digest| digest.zone == *zone) {
            sum.add(1, digest.quota_use.iter().map(|(name, used)| (name, used)));
        }
        sum
    }

    /// Returns the cost that the other nodes admitted for a workspace, estimated for now.
    ///
    /// For nodes outside of `zone`, the sums of their zones are used if they are known.
    pub(crate) fn quota_use_of_others(
        &self,
        zone: &ZoneName,
        workspace: &WorkspaceName,
        window: Duration,
        now: Instant,
    ) -> PeerUsage {
        let mut use_of_live = SubwindowUsage::default();
        let mut refused = 0;
        let mut live_nodes = 0;
        let limit = self.liveness_timeout();
        let other_zones = self.zone_usage.in_other_zones(workspace, window, now);
        if let Some((nodes, used)) = other_zones {
            live_nodes += nodes;
            use_of_live += used.admitted;
            refused = used.refused;
        }
        for peer in self.peers.values() {
            let Some(age) = peer.age_below(limit, now) else { continue };
            let Some(digest) = &peer.digest else { continue };
            let is_in_sum = other_zones.is_some() && digest.zone != *zone;
            if is_in_sum || digest.is_brief {
                continue;
            }
            live_nodes += 1;
            let used = digest.quota_use.iter().find(|(name, _)| name == workspace);
            let Some((_, used)) = used else { continue };
            use_of_live += used.admitted.extrapolate(age, window);
            refused = u64::saturating_add(refused, used.refused);
        }
        let nodes = self.node_count();
        let seen = self.peers.values().filter(|peer| peer.last_seen.is_some()).count();
        let seen = u32::try_from(seen).unwrap_or(u32::MAX);
        PeerUsage {
            reported: use_of_live,
            refused,
            silent_nodes: seen.saturating_sub(live_nodes),
            unseen_nodes: (nodes - 1).saturating_sub(seen),
            nodes,
        }
    }

    /// Returns the load of the live nodes, by upstream.
    pub(crate) fn in_flight(&self, now: Instant) -> HashMap<UpstreamId, InFlight> {
        let mut sums: HashMap<UpstreamId, InFlight> = HashMap::new();
        let loads = self.live_peers(now).flat_map(|(_, peer)| {
            let in_state = peer.digest.iter().flat_map(|digest| &digest.upstreams);
            in_state.chain(&peer.sent)
        });
        for load in loads {
            *sums.entry(load.upstream.clone()).or_default() += InFlight::from(load);
        }
        sums
    }

    /// Returns the other nodes' request counts of a window, also of processes that ended.
    pub(crate) fn usage(&self, window: UsageWindow) -> BTreeMap<WorkspaceName, u64> {
        let mut sums = BTreeMap::new();
        let live = self.peers.values().filter_map(|peer| peer.digest.as_ref());
        let live = live.flat_map(|digest| &digest.usage);
        let ended_usage = self.ended_usage.values().flatten();
        for (name, count) in live
            .chain(ended_usage)
            .filter(|usage| usage.window == window)
            .flat_map(|usage| &usage.counts)
        {
            add_count(&mut sums, name, *count);
        }
        sums
    }

    /// Removes usage counts of ended processes before a window.
    pub(crate) fn remove_usage_before(&mut self, before: UsageWindow) {
        self.ended_usage.retain(|_, windows| windows.iter().any(|usage| usage.window >= before));
    }
}
