//! What the nodes of a cluster tell each other, by datagrams.
//!
//! A datagram holds the whole state that the others need, so that a lost one
//! costs nothing but age. What lasts goes through the store.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use lycheelatch_prelude::{NodeId, ServiceName, UpstreamId, WorkspaceName, ZoneName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    engine_load::{ChainHash, InFlight},
    gossip::cross_zone_interval,
    quota::{OthersUse, PartUse},
    usage::UsageWindow,
};

/// Age from which a node is taken for not heard, beyond two intervals of its datagrams.
const HEARD: Duration = Duration::from_millis(1000);

/// Age from which a node that the store does not list is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(20);

/// Work of one node at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamUse {
    pub(crate) upstream: UpstreamId,
    pub(crate) requests: u32,
    pub(crate) unread_tokens: u64,
    pub(crate) memory_tokens: u64,
}

impl From<&UpstreamUse> for InFlight {
    fn from(used: &UpstreamUse) -> InFlight {
        InFlight {
            requests: used.requests,
            unread_tokens: used.unread_tokens,
            memory_tokens: used.memory_tokens,
        }
    }
}

/// A prompt that an engine began to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReadPrompt {
    pub(crate) upstream: UpstreamId,
    pub(crate) links: Vec<(u64, u32)>,
}

/// Counts of one usage window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WindowUse {
    pub(crate) window: UsageWindow,
    pub(crate) counts: Vec<(WorkspaceName, u64)>,
}

/// Work asked of one service since the start of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServiceDemand {
    pub(crate) service: ServiceName,
    pub(crate) requests: u64,
    pub(crate) read_tokens: u64,
    pub(crate) generated_tokens: u64,
    pub(crate) refused: u64,
}

/// A request that a node has just sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SentNotice {
    pub(crate) node: NodeId,
    pub(crate) used: UpstreamUse,
    /// The prompt that is read there.
    pub(crate) links: Vec<(u64, u32)>,
}

/// A datagram between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// The whole state of a node, now and then.
    State(Digest),
    /// One request, at once.
    Sent(SentNotice),
    /// An upstream that is certainly not at its address any more.
    Absent(UpstreamId),
}

/// What one node tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Digest {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneName,
    /// Drawn at the start of the process.
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    /// Milliseconds since 1970.
    pub(crate) time_ms: u64,
    /// Whether it holds the duties of one node for all.
    pub(crate) is_leader: bool,
    /// What workspaces were let through in the window of their limits.
    pub(crate) quota_use: Vec<(WorkspaceName, PartUse)>,
    pub(crate) upstreams: Vec<UpstreamUse>,
    pub(crate) reads: Vec<ReadPrompt>,
    pub(crate) usage: Vec<WindowUse>,
    pub(crate) demand: Vec<ServiceDemand>,
}

/// One other node.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    heard: Option<Instant>,
    /// When it was heard, as time since the machine's start.
    heard_boot: Duration,
    digest: Option<Digest>,
    /// What it sent since its last state.
    sent: Vec<UpstreamUse>,
}

impl Peer {
    fn new(address: SocketAddr) -> Peer {
        Peer { address, heard: None, heard_boot: Duration::ZERO, digest: None, sent: Vec::new() }
    }

    /// Returns the time since it was heard, if that is below a limit.
    fn age_below(&self, limit: Duration, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.heard?);
        (age < limit).then_some(age)
    }
}

/// Addresses of other nodes.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Addresses {
    /// In this node's availability zone, or in an unknown one.
    pub(crate) near: Vec<SocketAddr>,
    /// In other availability zones.
    pub(crate) far: Vec<SocketAddr>,
}

/// What this node knows of the others.
#[derive(Debug)]
pub(crate) struct PeerTable {
    own: NodeId,
    peers: HashMap<NodeId, Peer>,
    /// Counts of processes that ended, for the usage report.
    ended: BTreeMap<(NodeId, u64), Vec<WindowUse>>,
}

impl PeerTable {
    pub(crate) fn new(own: NodeId) -> PeerTable {
        PeerTable { own, peers: HashMap::new(), ended: BTreeMap::new() }
    }

    /// Returns the age from which a node is taken for not heard.
    fn heard_limit(&self) -> Duration {
        HEARD + 2 * cross_zone_interval(self.peers.len())
    }

    /// Takes over which nodes the store lists.
    pub(crate) fn listed(&mut self, nodes: Vec<(NodeId, SocketAddr)>, now: Instant) {
        let limit = self.heard_limit();
        self.keep(|id, peer| {
            peer.age_below(limit, now).is_some() || nodes.iter().any(|(known, _)| known == id)
        });
        let own = &self.own;
        for (id, address) in nodes.into_iter().filter(|(id, _)| id != own) {
            let peer = self.peers.entry(id).or_insert_with(|| Peer::new(address));
            peer.address = address;
        }
    }

    /// Forgets the other nodes, but for their counts of usage.
    fn keep(&mut self, is_kept: impl Fn(&NodeId, &Peer) -> bool) {
        let ended = &mut self.ended;
        self.peers.retain(|id, peer| {
            let kept = is_kept(id, peer);
            if let (false, Some(digest)) = (kept, &peer.digest) {
                ended.insert((id.clone(), digest.incarnation), digest.usage.clone());
            }
            kept
        });
    }

    /// Takes over a datagram; returns whether it is newer than what was known.
    pub(crate) fn heard(
        &mut self,
        from: SocketAddr,
        digest: Digest,
        now: Instant,
        boot: Duration,
    ) -> bool {
        if digest.node == self.own {
            return false;
        }
        let peer = self.peers.entry(digest.node.clone());
        let peer = peer.or_insert_with(|| Peer::new(from));
        if let Some(known) = &peer.digest {
            if known.incarnation == digest.incarnation && known.sequence >= digest.sequence {
                return false;
            }
            if known.incarnation != digest.incarnation {
                let key = (known.node.clone(), known.incarnation);
                self.ended.insert(key, known.usage.clone());
            }
        }
        // A process that was taken for ended goes on: its own word holds these counts too.
        self.ended.remove(&(digest.node.clone(), digest.incarnation));
        peer.address = from;
        peer.heard = Some(now);
        peer.heard_boot = boot;
        peer.digest = Some(digest);
        peer.sent.clear();
        true
    }

    /// Takes over that a node sent a request; returns whether the node is known.
    pub(crate) fn heard_sent(&mut self, notice: SentNotice) -> bool {
        let Some(peer) = self.peers.get_mut(&notice.node) else { return false };
        peer.sent.push(notice.used);
        true
    }

    /// Forgets nodes that were not heard for long.
    pub(crate) fn forget_silent(&mut self, now: Instant) {
        self.keep(|_, peer| {
            peer.heard.is_none_or(|at| now.saturating_duration_since(at) < FORGOTTEN)
        });
    }

    /// Returns the number of nodes, this one included.
    pub(crate) fn node_count(&self) -> u32 {
        u32::try_from(self.peers.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns the addresses of the other nodes, those of an availability zone first.
    pub(crate) fn addresses(&self, zone: &ZoneName) -> Addresses {
        let is_near = |peer: &&Peer| peer.digest.as_ref().is_none_or(|said| said.zone == *zone);
        let (near, far): (Vec<&Peer>, Vec<&Peer>) = self.peers.values().partition(is_near);
        let of = |peers: Vec<&Peer>| {
            let mut addresses: Vec<_> = peers.iter().map(|peer| peer.address).collect();
            addresses.sort();
            addresses
        };
        Addresses { near: of(near), far: of(far) }
    }

    /// Returns the addresses of the other nodes outside of some availability zones.
    pub(crate) fn addresses_outside(&self, zones: &BTreeSet<ZoneName>) -> Vec<SocketAddr> {
        let is_outside =
            |peer: &&Peer| peer.digest.as_ref().is_some_and(|said| !zones.contains(&said.zone));
        self.peers.values().filter(is_outside).map(|peer| peer.address).collect()
    }

    /// Returns the nodes that are heard.
    fn heard_peers(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &Peer)> {
        let limit = self.heard_limit();
        self.peers.iter().filter(move |(_, peer)| peer.age_below(limit, now).is_some())
    }

    /// Returns the last word of the nodes that are heard.
    pub(crate) fn heard_digests(&self, now: Instant) -> impl Iterator<Item = &Digest> {
        self.heard_peers(now).filter_map(|(_, peer)| peer.digest.as_ref())
    }

    /// Returns the true time now, as each node that is heard says it.
    ///
    /// Ages go by the clock that counts the time of a suspension: after one, no earlier word
    /// may set the clock back.
    pub(crate) fn times(&self, boot: Duration) -> Vec<Duration> {
        let limit = self.heard_limit();
        let time_of = |peer: &Peer| {
            let age = boot.saturating_sub(peer.heard_boot);
            let said = Duration::from_millis(peer.digest.as_ref()?.time_ms);
            (age < limit).then_some(said + age)
        };
        self.peers.values().filter_map(time_of).collect()
    }

    /// Returns the nodes of an availability zone that are heard, in the order of their names.
    pub(crate) fn near(&self, zone: &ZoneName, now: Instant) -> Vec<(NodeId, SocketAddr)> {
        let is_near = |peer: &Peer| peer.digest.as_ref().is_some_and(|said| said.zone == *zone);
        let near = self.heard_peers(now).filter(|(_, peer)| is_near(peer));
        let mut near: Vec<_> = near.map(|(id, peer)| (id.clone(), peer.address)).collect();
        near.sort();
        near
    }

    /// Returns whether a node that holds the duties is heard.
    ///
    /// The nodes of its own availability zone hear it most often, and miss it first.
    pub(crate) fn hears_holder(&self, zone: &ZoneName, now: Instant) -> bool {
        let far = self.heard_limit();
        self.peers.values().any(|peer| {
            let Some(digest) = peer.digest.as_ref().filter(|said| said.is_leader) else {
                return false;
            };
            let limit = if digest.zone == *zone { HEARD } else { far };
            peer.age_below(limit, now).is_some()
        })
    }

    /// Returns the time between two datagrams from a node of another availability zone.
    pub(crate) fn cross_zone_interval(&self) -> Duration {
        cross_zone_interval(self.peers.len())
    }

    /// Returns the addresses of nodes that are heard.
    pub(crate) fn heard_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        self.heard_peers(now).map(|(_, peer)| peer.address).collect()
    }

    /// Returns what the other nodes let through of a workspace.
    pub(crate) fn quota_use_of_others(
        &self,
        workspace: &WorkspaceName,
        window: Duration,
        now: Instant,
    ) -> OthersUse {
        let mut heard = PartUse::default();
        let mut heard_nodes = 0;
        let limit = self.heard_limit();
        for peer in self.peers.values() {
            let Some(age) = peer.age_below(limit, now) else { continue };
            let Some(digest) = &peer.digest else { continue };
            heard_nodes += 1;
            let used = digest.quota_use.iter().find(|(name, _)| name == workspace);
            heard += used.map_or(PartUse::default(), |(_, used)| used.after(age, window));
        }
        let nodes = self.node_count();
        let met = self.peers.values().filter(|peer| peer.heard.is_some()).count();
        let met = u32::try_from(met).unwrap_or(u32::MAX);
        OthersUse {
            heard,
            unheard_nodes: met.saturating_sub(heard_nodes),
            unmet_nodes: (nodes - 1).saturating_sub(met),
            nodes,
        }
    }

    /// Returns the work of the nodes that are heard, by upstream.
    pub(crate) fn in_flight(&self, now: Instant) -> HashMap<UpstreamId, InFlight> {
        let mut sums: HashMap<UpstreamId, InFlight> = HashMap::new();
        let told = self.heard_peers(now).flat_map(|(_, peer)| {
            let in_state = peer.digest.iter().flat_map(|digest| &digest.upstreams);
            in_state.chain(&peer.sent)
        });
        for used in told {
            *sums.entry(used.upstream.clone()).or_default() += InFlight::from(used);
        }
        sums
    }

    /// Returns the other nodes' counts of a window, also of processes that ended.
    pub(crate) fn usage(&self, window: UsageWindow) -> BTreeMap<WorkspaceName, u64> {
        let mut sums = BTreeMap::new();
        let live = self.peers.values().filter_map(|peer| peer.digest.as_ref());
        let live = live.flat_map(|digest| &digest.usage);
        let ended = self.ended.values().flatten();
        for (name, count) in
            live.chain(ended).filter(|used| used.window == window).flat_map(|used| &used.counts)
        {
            *sums.entry(name.clone()).or_default() += count;
        }
        sums
    }

    /// Forgets counts of ended processes before a window.
    pub(crate) fn forget_usage(&mut self, before: UsageWindow) {
        self.ended.retain(|_, uses| uses.iter().any(|used| used.window >= before));
    }
}

impl From<&crate::gateway::Read> for ReadPrompt {
    fn from(read: &crate::gateway::Read) -> ReadPrompt {
        ReadPrompt { upstream: read.upstream.clone(), links: to_wire(&read.links) }
    }
}

/// Encodes the beginnings of a prompt.
pub(crate) fn to_wire(links: &[(ChainHash, u32)]) -> Vec<(u64, u32)> {
    links.iter().map(|(hash, tokens)| (hash.0, *tokens)).collect()
}

/// Decodes the beginnings of a prompt.
pub(crate) fn from_wire(links: &[(u64, u32)]) -> Vec<(ChainHash, u32)> {
    links.iter().map(|(hash, tokens)| (ChainHash(*hash), *tokens)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::test_support;

    fn digest(node: &str, sequence: u64, time_ms: u64) -> Digest {
        let counts = vec![("ws".parse().unwrap(), 5)];
        let usage = vec![WindowUse { window: UsageWindow(7), counts }];
        Digest { sequence, time_ms, usage, ..test_support::digest(node, "zone-a") }
    }

    fn heard(view: &mut PeerTable, digest: Digest, boot_ms: u64) -> bool {
        let from = "127.0.0.1:1".parse().unwrap();
        view.heard(from, digest, Instant::now(), Duration::from_millis(boot_ms))
    }

    #[test]
    fn times_count_the_age_of_the_word() {
        let mut view = PeerTable::new("node-1".parse().unwrap());
        heard(&mut view, digest("node-2", 1, 50_000), 1000);
        assert_eq!(view.times(Duration::from_millis(1600)), [Duration::from_millis(50_600)]);
    }

    #[test]
    fn times_after_a_suspension_are_none() {
        let mut view = PeerTable::new("node-1".parse().unwrap());
        heard(&mut view, digest("node-2", 1, 50_000), 1000);
        assert!(view.times(Duration::from_millis(5500)).is_empty());
    }

    #[test]
    fn heard_older_word_replaces_nothing() {
        let mut view = PeerTable::new("node-1".parse().unwrap());
        assert!(heard(&mut view, digest("node-2", 2, 0), 0));
        assert!(!heard(&mut view, digest("node-2", 1, 0), 0));
    }

    #[test]
    fn usage_of_a_process_that_ended_counts() {
        let mut view = PeerTable::new("node-1".parse().unwrap());
        heard(&mut view, digest("node-2", 9, 0), 0);
        let mut again = digest("node-2", 1, 0);
        again.incarnation = 2;
        heard(&mut view, again, 0);
        assert_eq!(view.usage(UsageWindow(7)).values().sum::<u64>(), 10);
        view.listed(Vec::new(), Instant::now() + Duration::from_secs(60));
        assert_eq!(view.usage(UsageWindow(7)).values().sum::<u64>(), 10, "forgotten nodes too");
    }

    #[test]
    fn usage_of_a_node_that_is_heard_again_counts_once() {
        let mut view = PeerTable::new("node-1".parse().unwrap());
        heard(&mut view, digest("node-2", 1, 0), 0);
        view.forget_silent(Instant::now() + Duration::from_secs(60));
        heard(&mut view, digest("node-2", 2, 0), 0);
        assert_eq!(view.usage(UsageWindow(7)).values().sum::<u64>(), 5);
    }
}
