//! Probes: direct, through others and over a new connection.

use std::{net::SocketAddr, time::Duration};

use lycheelatch_prelude::{Incarnation, NodeId};
use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};
use tokio::time::Instant;

use super::{
    MAX_PIGGYBACK_BYTES, Membership,
    msg::{Destination, MessageBody, Update},
};
use crate::MemberState;

/// Time between probes of a node in good health.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a direct probe may take.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Members asked to repeat a probe.
const HELPERS: usize = 3;
/// Each this-many-th probe goes to any member instead of a neighbour.
const RANDOM_PROBE_EVERY: u32 = 10;
/// Probes that a node repeats for others at once.
const MAX_RELAYS: usize = 64;

/// The probe under way.
#[derive(Debug)]
pub(crate) struct Probe {
    target: NodeId,
    incarnation: Incarnation,
    seq: u32,
    sent: Instant,
    is_indirect: bool,
    deadline: Instant,
    helpers: u32,
    nacks: u32,
}

/// A probe repeated for another node.
#[derive(Debug)]
pub(crate) struct Relay {
    asker: NodeId,
    asker_seq: u32,
    target: NodeId,
    seq: u32,
    deadline: Instant,
}

impl Membership {
    /// Moves the probe under way on and starts the next one.
    pub(super) fn run_probes(&mut self, now: Instant) {
        self.end_relays(now);
        self.widen_probe(now);
        if now < self.next_probe {
            return;
        }
        if let Some(probe) = self.probe.take() {
            self.fail_probe(probe, now);
        }
        let interval = PROBE_INTERVAL * self.health.scale();
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
        let updates = self.news.piggyback(MAX_PIGGYBACK_BYTES);
        self.send(&target, MessageBody::Ping { seq, receiver_state }, updates);
        self.probe = Some(Probe {
            target,
            incarnation,
            seq,
            sent: now,
            is_indirect: false,
            deadline: self.next_probe,
            helpers: 0,
            nacks: 0,
        });
    }

    /// Repeats an unanswered probe through others and over a new connection.
    fn widen_probe(&mut self, now: Instant) {
        let timeout = DIRECT_TIMEOUT * self.health.scale();
        let is_due = |p: &Probe| !p.is_indirect && now >= p.sent + timeout && now < p.deadline;
        let Some(mut probe) = self.probe.take_if(|p| is_due(p)) else { return };
        probe.is_indirect = true;
        let Some(entry) = self.table.get(&probe.target) else { return };
        let (addr, receiver_state) = (entry.record.addr, Some((probe.incarnation, entry.state())));
        let body = MessageBody::Ping { seq: probe.seq, receiver_state };
        let to = Destination::Node(probe.target.clone(), Some(addr));
        self.push_out(to, true, body, Vec::new());
        for helper in self.pick_helpers(&probe.target) {
            probe.helpers += 1;
            let (seq, target) = (probe.seq, probe.target.clone());
            self.send(&helper, MessageBody::PingRequest { seq, target, addr }, Vec::new());
        }
        self.probe = Some(probe);
    }

    fn pick_helpers(&mut self, target: &NodeId) -> Vec<NodeId> {
        let is_fit = |id: &&NodeId| *id != target;
        let near: Vec<NodeId> = self.neighbours.iter().filter(is_fit).cloned().collect();
        near.choose_multiple(&mut self.rng, HELPERS).cloned().collect()
    }

    /// Suspects the target of a probe that nobody's ping reached.
    fn fail_probe(&mut self, probe: Probe, now: Instant) {
        let missing_nacks = probe.helpers.saturating_sub(probe.nacks);
        self.health.worsen(missing_nacks.min(1));
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
        while let Some(id) = self.round.pop() {
            if self.neighbours.contains(&id) {
                return Some(id);
            }
        }
        self.round = self.neighbours.to_vec();
        self.round.shuffle(&mut self.rng);
        self.round.pop()
    }

    /// Takes any message of the probed member for its answer.
    pub(super) fn note_heard(&mut self, from: &NodeId) {
        if self.probe.take_if(|p| p.target == *from).is_some() {
            self.health.improve();
        }
    }

    pub(super) fn take_ack(&mut self, from: &NodeId, seq: u32) {
        if self.probe.take_if(|p| p.seq == seq).is_some() {
            self.health.improve();
        }
        let is_answered = |r: &Relay| r.seq == seq && r.target == *from;
        let Some(pos) = self.relays.iter().position(is_answered) else { return };
        let relay = self.relays.swap_remove(pos);
        self.send(&relay.asker, MessageBody::Ack { seq: relay.asker_seq }, Vec::new());
    }

    pub(super) fn take_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
            probe.nacks += 1;
        }
    }

    /// Answers a ping, and corrects the sender if it sees this node wrongly.
    pub(super) fn answer_ping(
        &mut self,
        now: Instant,
        from: &NodeId,
        seq: u32,
        receiver_state: Option<(Incarnation, MemberState)>,
    ) {
        let mut updates = self.news.piggyback(MAX_PIGGYBACK_BYTES);
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
        updates.extend(self.table.doubt(from, &self.local.id));
        self.send(from, MessageBody::Ack { seq }, updates);
    }

    /// Pings `target` for another node.
    pub(super) fn relay_ping(
        &mut self,
        now: Instant,
        asker: &NodeId,
        asker_seq: u32,
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
        self.push_out(to, false, MessageBody::Ping { seq, receiver_state }, Vec::new());
        let deadline = now + DIRECT_TIMEOUT;
        self.relays.push(Relay { asker: asker.clone(), asker_seq, target, seq, deadline });
    }

    /// Tells askers of repeated probes that were not answered in time.
    fn end_relays(&mut self, now: Instant) {
        let (ended, running) =
            std::mem::take(&mut self.relays).into_iter().partition(|r| r.deadline <= now);
        self.relays = running;
        let ended: Vec<Relay> = ended;
        for relay in ended {
            self.send(&relay.asker, MessageBody::Nack { seq: relay.asker_seq }, Vec::new());
        }
    }
}
