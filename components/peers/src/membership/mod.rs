//! Gossip-based membership as a state machine without sockets or timers.
//!
//! [`Membership::tick`] and [`Membership::handle`] take the current time and
//! return the messages to send. A node probes its overlay neighbours and, less
//! often, a random member. A probe without a response is repeated through other
//! members and over a new connection before the target is suspected. A suspected
//! member can refute the suspicion by incrementing its incarnation. State changes
//! are flooded along the overlay immediately. Every message contains a digest of
//! the sender's live members; if the digests of two nodes differ, they exchange
//! their full member tables. Dead members and seeds are contacted periodically
//! so that partitions can merge again.

mod message;
mod probe;
mod suspicion;
mod table;
mod update_queue;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lycheelatch_prelude::{Incarnation, NodeId};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::time::Instant;

pub use self::message::{
    Destination, MemberDigest, MemberRecord, Message, MessageBody, Outgoing, Update,
};
use self::{
    probe::{Probe, RelayedProbe},
    suspicion::Health,
    table::{Status, Table},
    update_queue::UpdateQueue,
};
use crate::{Member, MemberState, Members, overlay};

/// Interval between calls of [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of the updates in a message, in bytes, so that it fits a datagram.
const MAX_UPDATE_BYTES: usize = 900;
/// Maximum size of the updates piggybacked on a probe or its response, in bytes.
const MAX_PIGGYBACK_BYTES: usize = 300;
/// Delay of a tick from which the process is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(800);
/// Minimum interval between anti-entropy exchanges started by this node.
const SYNC_INTERVAL: Duration = Duration::from_secs(3);
/// Time without a membership change before differing digests start an anti-entropy exchange.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Interval between attempts to contact a dead member or an unused seed.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between attempts to contact seeds while no other member is known.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between removals of expired dead members.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Membership of the cluster as one node sees it.
#[derive(Debug)]
pub struct Membership {
    local: MemberRecord,
    table: Table,
    seeds: Vec<SocketAddr>,
    discovered_seeds: Vec<SocketAddr>,
    update_queue: UpdateQueue,
    health: Health,
    probe: Option<Probe>,
    relays: Vec<RelayedProbe>,
    probe_order: Vec<NodeId>,
    probes_sent: u32,
    next_seq: u32,
    neighbours: Arc<Vec<NodeId>>,
    members: Arc<Members>,
    view_digest: u64,
    last_change: Instant,
    last_tick: Instant,
    next_probe: Instant,
    next_sync: Instant,
    next_reconnect: Instant,
    next_cleanup: Instant,
    rng: StdRng,
    outgoing: Vec<Outgoing>,
}

impl Membership {
    /// Creates the membership of a node that knows only itself and `seeds`.
    ///
    /// `rng_seed` seeds all random choices.
    pub fn new(
        local: MemberRecord,
        seeds: Vec<SocketAddr>,
        now: Instant,
        rng_seed: u64,
    ) -> Membership {
        let table = Table::default();
        Membership {
            view_digest: table.view_digest(&local),
            members: Arc::new(table.members(&local)),
            local,
            table,
            seeds,
            discovered_seeds: Vec::new(),
            update_queue: UpdateQueue::new(now),
            health: Health::default(),
            probe: None,
            relays: Vec::new(),
            probe_order: Vec::new(),
            probes_sent: 0,
            next_seq: 0,
            neighbours: Arc::default(),
            last_change: now,
            last_tick: now,
            next_probe: now,
            next_sync: now,
            next_reconnect: now,
            next_cleanup: now + CLEANUP_INTERVAL,
            rng: StdRng::seed_from_u64(rng_seed),
            outgoing: Vec::new(),
        }
    }

    /// Returns the members, including the local node.
    pub fn members(&self) -> Arc<Members> {
        self.members.clone()
    }

    /// Returns the members to which updates are forwarded.
    pub fn neighbours(&self) -> Arc<Vec<NodeId>> {
        self.neighbours.clone()
    }

    /// Returns the incarnation of the local node.
    pub fn incarnation(&self) -> Incarnation {
        self.local.incarnation
    }

    /// Returns the multiplier of this node's timeouts, from 1 (healthy) to 8.
    pub fn health_multiplier(&self) -> u32 {
        self.health.multiplier()
    }

    /// Replaces the discovered seeds, which are used in addition to those in the settings.
    pub fn set_discovered_seeds(&mut self, now: Instant, seeds: Vec<SocketAddr>) {
        if self.discovered_seeds != seeds && self.table.live().next().is_none() {
            self.next_reconnect = now;
        }
        self.discovered_seeds = seeds;
    }

    /// Announces that the local node is shutting down gracefully.
    pub fn leave(&mut self, now: Instant) {
        if self.local.leaving {
            return;
        }
        self.local.leaving = true;
        self.raise_incarnation(self.local.incarnation, now);
    }

    /// Returns the messages that announce that the local node has left.
    pub fn shutdown(&mut self) -> Vec<Outgoing> {
        let id = self.local.id.clone();
        let incarnation = self.local.incarnation;
        let update = Update::Dead { id: id.clone(), incarnation, by: id };
        for to in self.neighbours().iter() {
            self.send(to, MessageBody::Gossip, vec![update.clone()]);
        }
        std::mem::take(&mut self.outgoing)
    }

    /// Runs the work that is due at `now` and returns the messages to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.detect_pause(now);
        self.run_probes(now);
        for (id, incarnation) in self.table.expired_suspicions(now, self.health.multiplier()) {
            let by = self.local.id.clone();
            self.apply(&Update::Dead { id, incarnation, by }, false, now);
        }
        self.contact_unreachable(now);
        self.remove_expired(now);
        self.send_updates(now);
        std::mem::take(&mut self.outgoing)
    }

    /// Processes a received message and returns the messages to send.
    ///
    /// `from` is the sender as authenticated by the link.
    pub fn handle(&mut self, now: Instant, from: &NodeId, msg: Message) -> Vec<Outgoing> {
        if *from == self.local.id {
            return Vec::new();
        }
        let is_sync = msg.body.is_sync();
        for update in &msg.updates {
            self.apply(update, is_sync, now);
        }
        self.confirm_probe(from);
        self.handle_body(now, from, msg.body);
        if !is_sync {
            self.sync_if_different(now, from, msg.view_digest);
        }
        std::mem::take(&mut self.outgoing)
    }

    fn handle_body(&mut self, now: Instant, from: &NodeId, body: MessageBody) {
        match body {
            MessageBody::Ping { seq, receiver_state } => {
                self.handle_ping(now, from, seq, receiver_state)
            }
            MessageBody::Ack { seq } => self.handle_ack(from, seq),
            MessageBody::PingRequest { seq, target, addr } => {
                self.relay_ping(now, from, seq, target, addr);
            }
            MessageBody::Nack { seq } => self.handle_nack(seq),
            MessageBody::Gossip | MessageBody::SyncPush => {}
            MessageBody::Sync { digest } => {
                self.refute_digest(now, from, &digest);
                let (updates, requested) = self.table.compare(&self.local, &digest);
                self.send(from, MessageBody::SyncResponse { requested }, updates);
            }
            MessageBody::SyncResponse { requested } if !requested.is_empty() => {
                let updates = self.table.updates_for(&self.local, &requested);
                self.send(from, MessageBody::SyncPush, updates);
            }
            MessageBody::SyncResponse { .. } => {}
        }
    }

    /// Applies an update.
    ///
    /// A death reported in an anti-entropy exchange is applied as a suspicion only, so
    /// that the member can refute it, unless the member itself announced that it left.
    fn apply(&mut self, update: &Update, is_sync: bool, now: Instant) {
        if *update.id() == self.local.id {
            self.refute(update, now);
            return;
        }
        let update = match update {
            Update::Dead { id, incarnation, by } if is_sync && id != by => {
                Update::Suspect { id: id.clone(), incarnation: *incarnation, by: by.clone() }
            }
            update => update.clone(),
        };
        let is_new = match &update {
            Update::Alive(record) => self.table.apply_alive(record),
            Update::Suspect { id, incarnation, by } => {
                self.table.apply_suspect(id, *incarnation, by, now)
            }
            Update::Dead { id, incarnation, by } => {
                self.table.apply_dead(id, *incarnation, id == by, now)
            }
        };
        if is_new {
            self.update_queue.push(update);
            self.refresh(now);
        }
    }

    /// Refutes an update about the local node that is wrong.
    fn refute(&mut self, update: &Update, now: Instant) {
        match update {
            Update::Alive(record) => {
                let is_own = *record == self.local;
                if record.incarnation >= self.local.incarnation && !is_own {
                    self.raise_incarnation(record.incarnation, now);
                }
            }
            Update::Suspect { incarnation, .. } | Update::Dead { incarnation, .. } => {
                if *incarnation >= self.local.incarnation {
                    self.health.degrade(1);
                    self.raise_incarnation(*incarnation, now);
                }
            }
        }
    }

    /// Refutes a digest in which the local node is suspect or dead.
    fn refute_digest(&mut self, now: Instant, from: &NodeId, digest: &[MemberDigest]) {
        let own = message::id_hash(&self.local.id);
        let is_refutable = |d: &&MemberDigest| d.id_hash == own && d.state != MemberState::Alive;
        if let Some(entry) = digest.iter().find(is_refutable) {
            let (id, by) = (self.local.id.clone(), from.clone());
            let incarnation = entry.incarnation;
            self.refute(&Update::Suspect { id, incarnation, by }, now);
        }
    }

    fn raise_incarnation(&mut self, above: Incarnation, now: Instant) {
        self.local.incarnation = above.next();
        self.update_queue.push(Update::Alive(self.local.clone()));
        self.refresh(now);
    }

    /// Recomputes the values derived from the table.
    fn refresh(&mut self, now: Instant) {
        self.last_change = now;
        self.view_digest = self.table.view_digest(&self.local);
        self.members = Arc::new(self.table.members(&self.local));
        let local = Member::from(self.local.clone());
        let live = self.members.0.values().filter(|m| m.state != MemberState::Dead);
        self.neighbours = Arc::new(overlay::neighbours(&local, live));
    }

    /// Detects that this process was paused.
    ///
    /// After a pause, running suspicions are extended and probes in progress are discarded,
    /// since messages may have arrived but not been processed.
    fn detect_pause(&mut self, now: Instant) {
        let late = now.saturating_duration_since(self.last_tick + TICK_INTERVAL);
        self.last_tick = now;
        if late < PAUSE_THRESHOLD {
            return;
        }
        self.health.degrade(2);
        self.table.postpone_suspicions(late);
        self.probe = None;
        self.relays.clear();
        self.next_probe = now;
    }

    /// Starts an anti-entropy exchange with a node whose digest differs.
    fn sync_if_different(&mut self, now: Instant, with: &NodeId, view_digest: u64) {
        let is_unknown_or_dead = self.table.get(with).is_none_or(|e| !e.is_live());
        let has_settled = now >= self.last_change + SETTLE_TIME;
        if view_digest == self.view_digest
            || now < self.next_sync
            || !(has_settled || is_unknown_or_dead)
        {
            return;
        }
        self.next_sync = now + SYNC_INTERVAL;
        let digest = self.table.digest(&self.local);
        self.send(with, MessageBody::Sync { digest }, Vec::new());
    }

    /// Contacts a dead member and an unused seed periodically, and several seeds while isolated.
    fn contact_unreachable(&mut self, now: Instant) {
        if now < self.next_reconnect {
            return;
        }
        let is_isolated = self.table.live().next().is_none();
        let interval = if is_isolated { JOIN_INTERVAL } else { RECONNECT_INTERVAL };
        self.next_reconnect = now + interval.mul_f64(self.rng.random_range(0.8..1.2));
        self.contact_dead_member();
        self.contact_seeds(is_isolated);
    }

    fn contact_dead_member(&mut self) {
        let is_failed = |e: &&table::Entry| matches!(e.status, Status::Dead { left: false, .. });
        let failed: Vec<MemberRecord> =
            self.table.iter().filter(is_failed).map(|e| e.record.clone()).collect();
        if let Some(record) = failed.choose(&mut self.rng) {
            let receiver_state = Some((record.incarnation, MemberState::Dead));
            self.next_seq += 1;
            let body = MessageBody::Ping { seq: self.next_seq, receiver_state };
            let to = Destination::Node(record.id.clone(), Some(record.addr));
            let updates = vec![Update::Alive(self.local.clone())];
            self.push_outgoing(to, true, body, updates);
        }
    }

    fn contact_seeds(&mut self, all: bool) {
        let used: Vec<SocketAddr> = self.table.live().map(|e| e.record.addr).collect();
        let is_unused = |addr: &SocketAddr| *addr != self.local.addr && !used.contains(addr);
        let known = self.seeds.iter().chain(&self.discovered_seeds).copied();
        let unused: Vec<SocketAddr> = known.filter(is_unused).collect();
        let count = if all { unused.len().min(overlay::DEGREE) } else { 1 };
        let picked: Vec<SocketAddr> =
            unused.choose_multiple(&mut self.rng, count).copied().collect();
        for addr in picked {
            let digest = self.table.digest(&self.local);
            let updates = vec![Update::Alive(self.local.clone())];
            self.push_outgoing(
                Destination::Addr(addr),
                false,
                MessageBody::Sync { digest },
                updates,
            );
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL;
        if self.table.remove_expired(now) {
            self.members = Arc::new(self.table.members(&self.local));
        }
    }

    /// Sends new updates to every neighbour.
    fn send_updates(&mut self, now: Instant) {
        let to = self.neighbours();
        if to.is_empty() {
            return;
        }
        let updates = self.update_queue.take_unsent(now, to.len(), MAX_UPDATE_BYTES);
        if updates.is_empty() {
            return;
        }
        for id in to.iter() {
            self.send(id, MessageBody::Gossip, updates.clone());
        }
    }

    fn send(&mut self, to: &NodeId, body: MessageBody, updates: Vec<Update>) {
        let addr = self.table.get(to).map(|e| e.record.addr);
        self.push_outgoing(Destination::Node(to.clone(), addr), false, body, updates);
    }

    fn push_outgoing(
        &mut self,
        to: Destination,
        new_connection: bool,
        body: MessageBody,
        updates: Vec<Update>,
    ) {
        let msg = Message { view_digest: self.view_digest, updates, body };
        self.outgoing.push(Outgoing { to, new_connection, msg });
    }
}
