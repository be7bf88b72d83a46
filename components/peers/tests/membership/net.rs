//! Membership state machines connected by a simulated lossy network in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use lycheelatch_peers::{Destination, MemberRecord, Membership, Message, Outgoing, TICK_INTERVAL};
use lycheelatch_prelude::{Incarnation, NodeId};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

/// Maximum size of a message sent as a datagram, which may be lost, in bytes.
const MAX_DATAGRAM: usize = 1_100;
/// Bytes added to a message: IP and UDP headers (28), QUIC header, frame and AEAD tag (40).
const OVERHEAD: usize = 28 + 40;

/// Faults of the simulated network.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    pub(crate) max_delay: Duration,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults { loss: 0.0, duplication: 0.0, max_delay: Duration::from_millis(10) }
    }
}

/// A simulated node with its state machine.
pub(crate) struct Node {
    pub(crate) membership: Membership,
    pub(crate) record: MemberRecord,
    pub(crate) paused_until: Instant,
    pub(crate) is_crashed: bool,
    pub(crate) bytes_out: u64,
    pub(crate) bytes_in: u64,
    pub(crate) messages_out: u64,
    next_tick: Instant,
    pending: Vec<(NodeId, Message)>,
}

/// A message in flight: delivery time, sequence number, sender and receiver.
type InFlight = Reverse<(Instant, u64, NodeId, NodeId)>;

/// The simulated network with its nodes and the messages in flight.
pub(crate) struct Net {
    pub(crate) now: Instant,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) faults: Faults,
    pub(crate) regions_partitioned: bool,
    /// Whether nodes are started with the addresses of nodes 0 and 1 as seeds.
    pub(crate) has_seeds: bool,
    in_flight: BinaryHeap<InFlight>,
    messages: BTreeMap<u64, Message>,
    by_addr: BTreeMap<SocketAddr, NodeId>,
    sent: u64,
    rng: StdRng,
}

impl Net {
    pub(crate) fn new(seed: u64, faults: Faults) -> Net {
        Net {
            now: Instant::now(),
            nodes: BTreeMap::new(),
            faults,
            regions_partitioned: false,
            has_seeds: true,
            in_flight: BinaryHeap::new(),
            messages: BTreeMap::new(),
            by_addr: BTreeMap::new(),
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts node `n` in one of six zones in two regions.
    pub(crate) fn start(&mut self, n: usize) -> NodeId {
        let addr = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7946));
        let record = MemberRecord {
            id: format!("node-{n:04}").parse().unwrap(),
            addr: addr(n),
            zone: format!("zone-{}", n % 6).parse().unwrap(),
            region: format!("region-{}", n % 2).parse().unwrap(),
            incarnation: Incarnation(0),
            leaving: false,
        };
        let id = record.id.clone();
        let seeds = if self.has_seeds { vec![addr(0), addr(1)] } else { Vec::new() };
        let membership = Membership::new(record.clone(), seeds, self.now, self.rng.random());
        let node = Node {
            membership,
            record,
            paused_until: self.now,
            is_crashed: false,
            bytes_out: 0,
            bytes_in: 0,
            messages_out: 0,
            next_tick: self.now + TICK_INTERVAL.mul_f64(self.rng.random()),
            pending: Vec::new(),
        };
        self.by_addr.insert(node.record.addr, id.clone());
        self.nodes.insert(id.clone(), node);
        id
    }

    /// Advances the simulation by `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulation by a quarter of a tick.
    pub(crate) fn step(&mut self) {
        self.now += TICK_INTERVAL / 4;
        while self.in_flight.peek().is_some_and(|f| f.0.0 <= self.now) {
            let Some(Reverse((_, number, from, to))) = self.in_flight.pop() else { break };
            if let Some(msg) = self.messages.remove(&number) {
                self.deliver(from, to, msg);
            }
        }
        let due: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.is_due(self.now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.tick(&id);
        }
    }

    fn tick(&mut self, id: &NodeId) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.next_tick = now + TICK_INTERVAL;
        let pending = std::mem::take(&mut node.pending);
        let out = node.membership.tick(now);
        self.send(id, out);
        // After a pause, a process runs its timers before it reads its socket.
        for (from, msg) in pending {
            self.transmit(&from, id, msg);
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, msg: Message) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to).filter(|n| !n.is_crashed) else { return };
        if node.paused_until > now {
            node.pending.push((from, msg));
            return;
        }
        node.bytes_in += size(&msg) as u64;
        let out = node.membership.handle(now, &from, msg);
        self.send(&to, out);
    }

    pub(crate) fn send(&mut self, from: &NodeId, out: Vec<Outgoing>) {
        for outgoing in out {
            let bytes = size(&outgoing.msg);
            if let Some(node) = self.nodes.get_mut(from) {
                node.bytes_out += bytes as u64;
                node.messages_out += 1;
            }
            let to = match outgoing.to {
                Destination::Node(id, _) => Some(id),
                Destination::Addr(addr) => self.by_addr.get(&addr).cloned(),
            };
            let Some(to) = to.filter(|to| self.is_connected(from, to)) else { continue };
            let is_datagram = bytes <= MAX_DATAGRAM + OVERHEAD;
            if !(is_datagram && self.rng.random_bool(self.faults.loss)) {
                self.transmit(from, &to, outgoing.msg.clone());
            }
            if is_datagram && self.rng.random_bool(self.faults.duplication) {
                self.transmit(from, &to, outgoing.msg);
            }
        }
    }

    fn transmit(&mut self, from: &NodeId, to: &NodeId, msg: Message) {
        let delay = self.faults.max_delay.mul_f64(self.rng.random());
        self.sent += 1;
        self.messages.insert(self.sent, msg);
        self.in_flight.push(Reverse((self.now + delay, self.sent, from.clone(), to.clone())));
    }

    fn is_connected(&self, a: &NodeId, b: &NodeId) -> bool {
        let region = |id: &NodeId| self.nodes.get(id).map(|n| &n.record.region);
        !self.regions_partitioned || region(a) == region(b)
    }

    /// Sets the discovered seeds of every node.
    pub(crate) fn set_discovered_seeds(&mut self, seeds: &[SocketAddr]) {
        let now = self.now;
        for node in self.nodes.values_mut() {
            node.membership.set_discovered_seeds(now, seeds.to_vec());
        }
    }

    /// Returns the nodes that are neither crashed nor paused.
    pub(crate) fn running(&self) -> impl Iterator<Item = (&NodeId, &Node)> {
        self.nodes.iter().filter(|(_, n)| !n.is_crashed && n.paused_until <= self.now)
    }
}

impl Node {
    fn is_due(&self, now: Instant) -> bool {
        !self.is_crashed && self.paused_until <= now && self.next_tick <= now
    }
}

fn size(msg: &Message) -> usize {
    postcard::to_allocvec(msg).unwrap().len() + OVERHEAD
}
