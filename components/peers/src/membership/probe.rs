//! Failure detection by probes: direct, through other members and over a new connection.

use std::{net::SocketAddr, time::Duration};

use lycheelatch_prelude::{Incarnation, NodeId};
use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};
use tokio::time::Instant;

use super::{
    MAX_PIGGYBACK_BYTES, Membership,
    message::{Destination, MessageBody, Update},
};
use crate::MemberState;

/// Interval between probes by a healthy node.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a direct probe by a healthy node.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Number of members requested to probe the target indirectly.
const INDIRECT_PROBES: usize = 3;
/// One in this many probes goes to a random member instead of a neighbour.
const RANDOM_PROBE_EVERY: u32 = 10;
/// Maximum number of concurrent probes relayed for other nodes.
const MAX_RELAYS: usize = 64;

/// The probe in progress.
#[derive(Debug)]
pub(crate) struct Probe {
    target: NodeId,
    incarnation: Incarnation,
    seq: u32,
    sent: Instant,
    is_indirect: bool,
    deadline: Instant,
    ping_requests: u32,
    nacks: u32,
}

/// A probe relayed for another node.
#[derive(Debug)]
pub(crate) struct RelayedProbe {
    requester: NodeId,
    requester_seq: u32,
    target: NodeId,
    seq: u32,
    deadline: Instant,
}

impl Membership {
    /// Advances the probe in progress and starts the next one.
    pub(super) fn run_probes(&mut self, now: Instant) {
        self.expire_relays(now);
        self.start_indirect_probe(now);
        if now < self.next_probe {
            return;
        }
        if let Some(probe) = self.probe.take() {
            self.fail_probe(probe, now);
        }
        let interval = PROBE_INTERVAL * self.health.multiplier();
        self.next_probe = now + interval.mul_f64(self.rng.random_range(0.95..1.05));
        if let Some(target) = self.next_target() {
            self.start_probe(now, target);
        }
    }

    fn start_probe(&mut self, now: Instant, target: NodeId) {
        let Some(entry) = self.table.get(&target) else { return };
        let incarnation = entry.record.incarnation;
        let receiver_state = Some((incarnation, entry.state()));
        self.next_seq += 1;
        let seq = self.next_seq;
        let updates = self.update_queue.piggyback(MAX_PIGGYBACK_BYTES);
        self.send(&target, MessageBody::Ping { seq, receiver_state }, updates);
        self.probe = Some(Probe {
            target,
            incarnation,
            seq,
            sent: now,
            is_indirect: false,
            deadline: self.next_probe,
            ping_requests: 0,
            nacks: 0,
        });
    }

    /// Repeats a probe that timed out through other members and over a new connection.
    fn start_indirect_probe(&mut self, now: Instant) {
        let timeout = DIRECT_TIMEOUT * self.health.multiplier();
        let is_due = |p: &Probe| !p.is_indirect && now >= p.sent + timeout && now < p.deadline;
        let Some(mut probe) = self.probe.take_if(|p| is_due(p)) else { return };
        probe.is_indirect = true;
        let Some(entry) = self.table.get(&probe.target) else { return };
        let (addr, receiver_state) = (entry.record.addr, Some((probe.incarnation, entry.state())));
        let body = MessageBody::Ping { seq: probe.seq, receiver_state };
        let to = Destination::Node(probe.target.clone(), Some(addr));
        self.push_outgoing(to, true, body, Vec::new());
        for relay in self.pick_relays(&probe.target) {
            probe.ping_requests += 1;
            let (seq, target) = (probe.seq, probe.target.clone());
            self.send(&relay, MessageBody::PingRequest { seq, target, addr }, Vec::new());
        }
        self.probe = Some(probe);
    }

    fn pick_relays(&mut self, target: &NodeId) -> Vec<NodeId> {
        let is_other = |id: &&NodeId| *id != target;
        let candidates: Vec<NodeId> = self.neighbours.iter().filter(is_other).cloned().collect();
        candidates.choose_multiple(&mut self.rng, INDIRECT_PROBES).cloned().collect()
    }

    /// Suspects the target of a failed probe.
    ///
    /// A missing nack indicates that this node itself may be slow or badly connected, so it
    /// lowers its own health.
    fn fail_probe(&mut self, probe: Probe, now: Instant) {
        let missing_nacks = probe.ping_requests.saturating_sub(probe.nacks);
        self.health.degrade(missing_nacks.min(1));
        let (id, incarnation, by) = (probe.target, probe.incarnation, self.local.id.clone());
        self.apply(&Update::Suspect { id, incarnation, by }, false, now);
    }

    /// Returns the next member to probe.
    fn next_target(&mut self) -> Option<NodeId> {
        self.probes_sent = self.probes_sent.wrapping_add(1);
        if self.probes_sent.is_multiple_of(RANDOM_PROBE_EVERY) {
            let live: Vec<NodeId> = self.table.live().map(|e| e.record.id.clone()).collect();
            return live.choose(&mut self.rng).cloned();
        }
        while let Some(id) = self.probe_order.pop() {
            if self.neighbours.contains(&id) {
                return Some(id);
            }
        }
        self.probe_order = self.neighbours.to_vec();
        self.probe_order.shuffle(&mut self.rng);
        self.probe_order.pop()
    }

    /// Completes the probe in progress if its target sent any message.
    pub(super) fn confirm_probe(&mut self, from: &NodeId) {
        if self.probe.take_if(|p| p.target == *from).is_some() {
            self.health.improve();
        }
    }

    pub(super) fn handle_ack(&mut self, from: &NodeId, seq: u32) {
        if self.probe.take_if(|p| p.seq == seq).is_some() {
            self.health.improve();
        }
        let is_acked = |r: &RelayedProbe| r.seq == seq && r.target == *from;
        let Some(pos) = self.relays.iter().position(is_acked) else { return };
        let relay = self.relays.swap_remove(pos);
        self.send(&relay.requester, MessageBody::Ack { seq: relay.requester_seq }, Vec::new());
    }

    pub(super) fn handle_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
            probe.nacks += 1;
        }
    }

    /// Acknowledges a ping, and refutes the sender's view of this node if it is wrong.
    pub(super) fn handle_ping(
        &mut self,
        now: Instant,
        from: &NodeId,
        seq: u32,
        receiver_state: Option<(Incarnation, MemberState)>,
    ) {
        let mut updates = self.update_queue.piggyback(MAX_PIGGYBACK_BYTES);
        if let Some((incarnation, state)) = receiver_state {
            if matches!(state, MemberState::Suspect | MemberState::Dead) {
                let id = self.local.id.clone();
                let update = Update::Suspect { id, incarnation, by: from.clone() };
                self.apply(&update, false, now);
            }
            if incarnation < self.local.incarnation {
                updates.push(Update::Alive(self.local.clone()));
            }
        }
        updates.extend(self.table.suspicion_of(from, &self.local.id));
        self.send(from, MessageBody::Ack { seq }, updates);
    }

    /// Pings `target` for another node.
    pub(super) fn relay_ping(
        &mut self,
        now: Instant,
        requester: &NodeId,
        requester_seq: u32,
        target: NodeId,
        addr: SocketAddr,
    ) {
        if self.relays.len() >= MAX_RELAYS || target == self.local.id {
            return;
        }
        self.next_seq += 1;
        let seq = self.next_seq;
        let receiver_state = self.table.get(&target).map(|e| (e.record.incarnation, e.state()));
        let to = Destination::Node(target.clone(), Some(addr));
        self.push_outgoing(to, false, MessageBody::Ping { seq, receiver_state }, Vec::new());
        let deadline = now + DIRECT_TIMEOUT;
        self.relays.push(RelayedProbe {
            requester: requester.clone(),
            requester_seq,
            target,
            seq,
            deadline,
        });
    }

    /// Sends nacks for relayed probes that timed out.
    fn expire_relays(&mut self, now: Instant) {
        let (expired, running) =
            std::mem::take(&mut self.relays).into_iter().partition(|r| r.deadline <= now);
        self.relays = running;
        let expired: Vec<RelayedProbe> = expired;
        for relay in expired {
            self.send(&relay.requester, MessageBody::Nack { seq: relay.requester_seq }, Vec::new());
        }
    }
}
