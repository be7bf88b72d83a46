//! State machines joined by a lossy net in virtual time.

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

/// Largest message that travels as a datagram and may be lost, in bytes.
const MAX_DATAGRAM: usize = 1_100;
/// Bytes that a datagram or a stream adds: IP, UDP, QUIC header, seal and frame.
const OVERHEAD: usize = 28 + 40;

/// How the net treats messages.
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

/// One node with its state machine.
pub(crate) struct Node {
    pub(crate) machine: Membership,
    pub(crate) record: MemberRecord,
    pub(crate) paused_until: Instant,
    pub(crate) is_crashed: bool,
    pub(crate) bytes_out: u64,
    pub(crate) bytes_in: u64,
    pub(crate) messages_out: u64,
    next_tick: Instant,
    waiting: Vec<(NodeId, Message)>,
}

/// A message under way: arrival, order of sending, sender, receiver.
type Flight = Reverse<(Instant, u64, NodeId, NodeId)>;

/// The nodes and the messages under way.
pub(crate) struct Net {
    pub(crate) now: Instant,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) faults: Faults,
    pub(crate) regions_cut: bool,
    /// Whether nodes have the first two as seeds in their settings.
    pub(crate) has_seeds: bool,
    flights: BinaryHeap<Flight>,
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
            regions_cut: false,
            has_seeds: true,
            flights: BinaryHeap::new(),
            messages: BTreeMap::new(),
            by_addr: BTreeMap::new(),
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts node `n`, of one of six zones in two regions, with node 0 as its seed.
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
        let machine = Membership::new(record.clone(), seeds, self.now, self.rng.random());
        let node = Node {
            machine,
            record,
            paused_until: self.now,
            is_crashed: false,
            bytes_out: 0,
            bytes_in: 0,
            messages_out: 0,
            next_tick: self.now + TICK_INTERVAL.mul_f64(self.rng.random()),
            waiting: Vec::new(),
        };
        self.by_addr.insert(node.record.addr, id.clone());
        self.nodes.insert(id.clone(), node);
        id
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets the time of a quarter of a tick pass.
    pub(crate) fn step(&mut self) {
        self.now += TICK_INTERVAL / 4;
        while self.flights.peek().is_some_and(|f| f.0.0 <= self.now) {
            let Some(Reverse((_, number, from, to))) = self.flights.pop() else { break };
            if let Some(msg) = self.messages.remove(&number) {
                self.arrive(from, to, msg);
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
        let waiting = std::mem::take(&mut node.waiting);
        let out = node.machine.tick(now);
        self.send(id, out);
        // A process that was paused reads its socket after its timers have fired.
        for (from, msg) in waiting {
            self.launch(&from, id, msg);
        }
    }

    fn arrive(&mut self, from: NodeId, to: NodeId, msg: Message) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to).filter(|n| !n.is_crashed) else { return };
        if node.paused_until > now {
            node.waiting.push((from, msg));
            return;
        }
        node.bytes_in += size(&msg) as u64;
        let out = node.machine.handle(now, &from, msg);
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
            let Some(to) = to.filter(|to| self.is_linked(from, to)) else { continue };
            let is_datagram = bytes <= MAX_DATAGRAM + OVERHEAD;
            if !(is_datagram && self.rng.random_bool(self.faults.loss)) {
                self.launch(from, &to, outgoing.msg.clone());
            }
            if is_datagram && self.rng.random_bool(self.faults.duplication) {
                self.launch(from, &to, outgoing.msg);
            }
        }
    }

    fn launch(&mut self, from: &NodeId, to: &NodeId, msg: Message) {
        let delay = self.faults.max_delay.mul_f64(self.rng.random());
        self.sent += 1;
        self.messages.insert(self.sent, msg);
        self.flights.push(Reverse((self.now + delay, self.sent, from.clone(), to.clone())));
    }

    fn is_linked(&self, a: &NodeId, b: &NodeId) -> bool {
        let region = |id: &NodeId| self.nodes.get(id).map(|n| &n.record.region);
        !self.regions_cut || region(a) == region(b)
    }

    /// Gives every node the seeds that a source found.
    pub(crate) fn set_discovered_seeds(&mut self, seeds: &[SocketAddr]) {
        let now = self.now;
        for node in self.nodes.values_mut() {
            node.machine.set_discovered_seeds(now, seeds.to_vec());
        }
    }

    /// Returns the nodes that run now.
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
