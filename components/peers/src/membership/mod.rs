//! Membership as a state machine: no sockets, no timers of its own.
//!
//! [`Membership::tick`] and [`Membership::handle`] take the time and return
//! the messages to send. Nodes probe the neighbours that the overlay gives
//! them and, more rarely, any member; an unanswered probe is repeated through
//! other members and over a new connection before the member is suspected,
//! and a suspected member has time to refute by raising its incarnation.
//! Changes flood along the overlay at once. A digest of the live members
//! travels on every message; where it differs, two nodes compare all they
//! hold. Dead members and seeds are contacted now and then, so that parts of
//! the cluster that lost each other meet again.

mod msg;
mod news;
mod probe;
mod suspicion;
mod table;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lycheelatch_prelude::{Incarnation, NodeId};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::time::Instant;

pub use self::msg::{
    Destination, MemberDigest, MemberRecord, Message, MessageBody, Outgoing, Update,
};
use self::{
    news::News,
    probe::{Probe, Relay},
    suspicion::Health,
    table::{Status, Table},
};
use crate::{Member, MemberState, Members, overlay};

/// Time between calls of [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of updates on one message, so that it fits a datagram.
const MAX_UPDATE_BYTES: usize = 900;
/// Bytes of updates on a probe or an answer.
const MAX_PIGGYBACK_BYTES: usize = 300;
/// Lateness of a tick from which on the process counts as paused.
const PAUSE: Duration = Duration::from_millis(800);
/// Shortest time between two comparisons that this node starts.
const SYNC_INTERVAL: Duration = Duration::from_secs(3);
/// Time without a change after which differing views are compared.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time between contacts to a dead member or an unused seed.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(30);
/// Time between contacts to seeds while no other member is known.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Time between sweeps for dead members to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(60);

/// Membership as one node sees it.
#[derive(Debug)]
pub struct Membership {
    local: MemberRecord,
    table: Table,
    seeds: Vec<SocketAddr>,
    discovered_seeds: Vec<SocketAddr>,
    news: News,
    health: Health,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    round: Vec<NodeId>,
    probes_sent: u32,
    next_seq: u32,
    neighbours: Arc<Vec<NodeId>>,
    members: Arc<Members>,
    view_digest: u64,
    changed: Instant,
    last_tick: Instant,
    next_probe: Instant,
    next_sync: Instant,
    next_reconnect: Instant,
    next_forget: Instant,
    rng: StdRng,
    out: Vec<Outgoing>,
}

impl Membership {
    /// Creates the membership of a node that knows only itself and `seeds`.
    ///
    /// `rng_seed` decides every random choice.
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
            news: News::new(now),
            health: Health::default(),
            probe: None,
            relays: Vec::new(),
            round: Vec::new(),
            probes_sent: 0,
            next_seq: 0,
            neighbours: Arc::default(),
            changed: now,
            last_tick: now,
            next_probe: now,
            next_sync: now,
            next_reconnect: now,
            next_forget: now + FORGET_INTERVAL,
            rng: StdRng::seed_from_u64(rng_seed),
            out: Vec::new(),
        }
    }

    /// Returns the members, the local one included.
    pub fn members(&self) -> Arc<Members> {
        self.members.clone()
    }

    /// Returns the members that news is forwarded to.
    pub fn neighbours(&self) -> Arc<Vec<NodeId>> {
        self.neighbours.clone()
    }

    /// Returns the incarnation of the local node.
    pub fn incarnation(&self) -> Incarnation {
        self.local.incarnation
    }

    /// Returns the factor by which this node stretches timeouts, from 1 to 8.
    pub fn health_multiplier(&self) -> u32 {
        self.health.scale()
    }

    /// Replaces the seeds that were found beside those of the settings.
    pub fn set_discovered_seeds(&mut self, now: Instant, seeds: Vec<SocketAddr>) {
        if self.discovered_seeds != seeds && self.table.live().next().is_none() {
            self.next_reconnect = now;
        }
        self.discovered_seeds = seeds;
    }

    /// Announces that the local node stops in good order.
    pub fn leave(&mut self, now: Instant) {
        if self.local.leaving {
            return;
        }
        self.local.leaving = true;
        self.raise_incarnation(self.local.incarnation, now);
    }

    /// Announces that the local node is gone; returns the messages that say so.
    pub fn shutdown(&mut self) -> Vec<Outgoing> {
        let id = self.local.id.clone();
        let incarnation = self.local.incarnation;
        let update = Update::Dead { id: id.clone(), incarnation, by: id };
        for to in self.neighbours().iter() {
            self.send(to, MessageBody::Gossip, vec![update.clone()]);
        }
        std::mem::take(&mut self.out)
    }

    /// Lets time pass and returns the messages to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.notice_pause(now);
        self.run_probes(now);
        for (id, incarnation) in self.table.overdue(now, self.health.scale()) {
            let by = self.local.id.clone();
            self.apply(&Update::Dead { id, incarnation, by }, false, now);
        }
        self.contact_lost(now);
        self.forget_dead(now);
        self.send_news(now);
        std::mem::take(&mut self.out)
    }

    /// Takes a message in and returns the messages to send.
    ///
    /// `from` is the sender as the link knows it.
    pub fn handle(&mut self, now: Instant, from: &NodeId, msg: Message) -> Vec<Outgoing> {
        if *from == self.local.id {
            return Vec::new();
        }
        let is_sync = msg.body.is_sync();
        for update in &msg.updates {
            self.apply(update, is_sync, now);
        }
        self.note_heard(from);
        self.handle_body(now, from, msg.body);
        if !is_sync {
            self.compare_views(now, from, msg.view_digest);
        }
        std::mem::take(&mut self.out)
    }

    fn handle_body(&mut self, now: Instant, from: &NodeId, body: MessageBody) {
        match body {
            MessageBody::Ping { seq, receiver_state } => {
                self.answer_ping(now, from, seq, receiver_state)
            }
            MessageBody::Ack { seq } => self.take_ack(from, seq),
            MessageBody::PingRequest { seq, target, addr } => {
                self.relay_ping(now, from, seq, target, addr);
            }
            MessageBody::Nack { seq } => self.take_nack(seq),
            MessageBody::Gossip | MessageBody::SyncPush => {}
            MessageBody::Sync { digest } => {
                self.refute_holding(now, from, &digest);
                let (updates, requested) = self.table.compare(&self.local, &digest);
                self.send(from, MessageBody::SyncResponse { requested }, updates);
            }
            MessageBody::SyncResponse { requested } if !requested.is_empty() => {
                let updates = self.table.requested(&self.local, &requested);
                self.send(from, MessageBody::SyncPush, updates);
            }
            MessageBody::SyncResponse { .. } => {}
        }
    }

    /// Takes an update in; what a comparison calls dead is only suspected here.
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
        let is_news = match &update {
            Update::Alive(record) => self.table.alive(record),
            Update::Suspect { id, incarnation, by } => {
                self.table.suspect(id, *incarnation, by, now)
            }
            Update::Dead { id, incarnation, by } => {
                self.table.dead(id, *incarnation, id == by, now)
            }
        };
        if is_news {
            self.news.push(update);
            self.refresh(now);
        }
    }

    /// Answers what others say of the local node.
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
                    self.health.worsen(1);
                    self.raise_incarnation(*incarnation, now);
                }
            }
        }
    }

    /// Refutes what a comparison says against the local node.
    fn refute_holding(&mut self, now: Instant, from: &NodeId, digest: &[MemberDigest]) {
        let own = msg::id_hash(&self.local.id);
        let is_doubt = |h: &&MemberDigest| h.id_hash == own && h.state != MemberState::Alive;
        if let Some(holding) = digest.iter().find(is_doubt) {
            let (id, by) = (self.local.id.clone(), from.clone());
            let incarnation = holding.incarnation;
            self.refute(&Update::Suspect { id, incarnation, by }, now);
        }
    }

    fn raise_incarnation(&mut self, above: Incarnation, now: Instant) {
        self.local.incarnation = above.next();
        self.news.push(Update::Alive(self.local.clone()));
        self.refresh(now);
    }

    /// Recomputes what follows from the table.
    fn refresh(&mut self, now: Instant) {
        self.changed = now;
        self.view_digest = self.table.view_digest(&self.local);
        self.members = Arc::new(self.table.members(&self.local));
        let local = Member::from(self.local.clone());
        let live = self.members.0.values().filter(|m| m.state != MemberState::Dead);
        self.neighbours = Arc::new(overlay::neighbours(&local, live));
    }

    /// Notices that this process did not run, and mistrusts what it concluded.
    fn notice_pause(&mut self, now: Instant) {
        let late = now.saturating_duration_since(self.last_tick + TICK_INTERVAL);
        self.last_tick = now;
        if late < PAUSE {
            return;
        }
        self.health.worsen(2);
        self.table.postpone_suspicions(late);
        self.probe = None;
        self.relays.clear();
        self.next_probe = now;
    }

    /// Starts a comparison with a node whose view differs.
    fn compare_views(&mut self, now: Instant, with: &NodeId, view_digest: u64) {
        let is_stranger = self.table.get(with).is_none_or(|e| !e.is_live());
        let has_settled = now >= self.changed + SETTLE_TIME;
        if view_digest == self.view_digest || now < self.next_sync || !(has_settled || is_stranger)
        {
            return;
        }
        self.next_sync = now + SYNC_INTERVAL;
        let digest = self.table.digest(&self.local);
        self.send(with, MessageBody::Sync { digest }, Vec::new());
    }

    /// Contacts seeds while alone, and now and then a dead member and an unused seed.
    fn contact_lost(&mut self, now: Instant) {
        if now < self.next_reconnect {
            return;
        }
        let is_alone = self.table.live().next().is_none();
        let interval = if is_alone { JOIN_INTERVAL } else { RECONNECT_INTERVAL };
        self.next_reconnect = now + interval.mul_f64(self.rng.random_range(0.8..1.2));
        self.contact_dead_member();
        self.contact_seeds(is_alone);
    }

    fn contact_dead_member(&mut self) {
        let is_lost = |e: &&table::Entry| matches!(e.status, Status::Dead { left: false, .. });
        let lost: Vec<MemberRecord> =
            self.table.iter().filter(is_lost).map(|e| e.record.clone()).collect();
        if let Some(record) = lost.choose(&mut self.rng) {
            let receiver_state = Some((record.incarnation, MemberState::Dead));
            self.next_seq += 1;
            let body = MessageBody::Ping { seq: self.next_seq, receiver_state };
            let to = Destination::Node(record.id.clone(), Some(record.addr));
            let updates = vec![Update::Alive(self.local.clone())];
            self.push_out(to, true, body, updates);
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
            self.push_out(Destination::Addr(addr), false, MessageBody::Sync { digest }, updates);
        }
    }

    fn forget_dead(&mut self, now: Instant) {
        if now < self.next_forget {
            return;
        }
        self.next_forget = now + FORGET_INTERVAL;
        if self.table.forget(now) {
            self.members = Arc::new(self.table.members(&self.local));
        }
    }

    /// Sends fresh updates to every neighbour.
    fn send_news(&mut self, now: Instant) {
        let to = self.neighbours();
        if to.is_empty() {
            return;
        }
        let updates = self.news.take_fresh(now, to.len(), MAX_UPDATE_BYTES);
        if updates.is_empty() {
            return;
        }
        for id in to.iter() {
            self.send(id, MessageBody::Gossip, updates.clone());
        }
    }

    fn send(&mut self, to: &NodeId, body: MessageBody, updates: Vec<Update>) {
        let addr = self.table.get(to).map(|e| e.record.addr);
        self.push_out(Destination::Node(to.clone(), addr), false, body, updates);
    }

    fn push_out(
        &mut self,
        to: Destination,
        new_connection: bool,
        body: MessageBody,
        updates: Vec<Update>,
    ) {
        let msg = Message { view_digest: self.view_digest, updates, body };
        self.out.push(Outgoing { to, new_connection, msg });
    }
}
