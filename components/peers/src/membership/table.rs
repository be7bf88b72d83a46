//! What a node holds of every member, and the rules by which news changes it.

use std::{collections::BTreeMap, time::Duration};

use lycheelatch_prelude::{Incarnation, NodeId};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    msg::{MemberDigest, MemberRecord, Update, id_hash, rank},
    suspicion::Suspicion,
};
use crate::{Member, MemberState, Members};

/// Time after which a dead member is forgotten.
const DEAD_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);
/// Time after which a member that left in good order is forgotten.
const LEFT_RETENTION: Duration = Duration::from_secs(5 * 60);

/// How a member stands.
#[derive(Debug, Clone)]
pub(crate) enum Status {
    /// Answers, or is not known not to.
    Up,
    /// Is given time to refute.
    Suspect(Suspicion),
    /// Gone.
    Dead {
        /// When this node learnt of it.
        since: Instant,
        /// Whether the member said so itself.
        left: bool,
    },
}

/// One member as this node holds it.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// What the member last said of itself.
    pub(crate) record: MemberRecord,
    /// How it stands.
    pub(crate) status: Status,
}

impl Entry {
    /// Returns the state as other parts see it.
    pub(crate) fn state(&self) -> MemberState {
        match self.status {
            Status::Dead { .. } => MemberState::Dead,
            Status::Suspect(_) if !self.record.leaving => MemberState::Suspect,
            _ => self.record.state(),
        }
    }

    /// Returns the state that decides between two digest of one incarnation.
    fn merge_state(&self) -> MemberState {
        match self.status {
            Status::Up => MemberState::Alive,
            Status::Suspect(_) => MemberState::Suspect,
            Status::Dead { .. } => MemberState::Dead,
        }
    }

    /// Returns whether the member is not dead.
    pub(crate) fn is_live(&self) -> bool {
        !matches!(self.status, Status::Dead { .. })
    }

    fn member(&self) -> Member {
        let mut member = Member::from(self.record.clone());
        member.state = self.state();
        member
    }

    /// Returns the update that gives another node this holding.
    fn update(&self, by: &NodeId) -> Update {
        let (id, incarnation) = (self.record.id.clone(), self.record.incarnation);
        match &self.status {
            Status::Up => Update::Alive(self.record.clone()),
            Status::Suspect(_) => Update::Suspect { id, incarnation, by: by.clone() },
            Status::Dead { left, .. } => {
                let by = if *left { id.clone() } else { by.clone() };
                Update::Dead { id, incarnation, by }
            }
        }
    }
}

/// Every member but the local node.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<NodeId, Entry>,
}

impl Table {
    pub(crate) fn get(&self, id: &NodeId) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the members that are not dead.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Entry> {
        self.iter().filter(|e| e.is_live())
    }

    /// Takes a record in and returns whether it changed anything.
    pub(crate) fn alive(&mut self, record: &MemberRecord) -> bool {
        if self.get(&record.id).is_some_and(|e| e.record.incarnation >= record.incarnation) {
            return false;
        }
        let entry = Entry { record: record.clone(), status: Status::Up };
        self.entries.insert(record.id.clone(), entry);
        true
    }

    /// Takes a suspicion in and returns whether it is news.
    pub(crate) fn suspect(
        &mut self,
        id: &NodeId,
        incarnation: Incarnation,
        by: &NodeId,
        now: Instant,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if incarnation < entry.record.incarnation {
            return false;
        }
        match &mut entry.status {
            Status::Dead { .. } => false,
            Status::Suspect(suspicion) => suspicion.confirm(by),
            Status::Up => {
                entry.status = Status::Suspect(Suspicion::new(now, by.clone()));
                true
            }
        }
    }

    /// Takes a death in and returns whether it is news.
    pub(crate) fn dead(
        &mut self,
        id: &NodeId,
        incarnation: Incarnation,
        left: bool,
        now: Instant,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if incarnation < entry.record.incarnation || !entry.is_live() {
            return false;
        }
        entry.status = Status::Dead { since: now, left };
        true
    }

    /// Returns what speaks against a member, for it to refute.
    pub(crate) fn doubt(&self, id: &NodeId, by: &NodeId) -> Option<Update> {
        let entry = self.get(id).filter(|e| !matches!(e.status, Status::Up))?;
        let incarnation = entry.record.incarnation;
        Some(Update::Suspect { id: id.clone(), incarnation, by: by.clone() })
    }

    /// Returns the suspected members whose time to refute is over.
    pub(crate) fn overdue(&self, now: Instant, scale: u32) -> Vec<(NodeId, Incarnation)> {
        let is_over = |e: &&Entry| match &e.status {
            Status::Suspect(suspicion) => suspicion.deadline(scale) <= now,
            _ => false,
        };
        self.iter().filter(is_over).map(|e| (e.record.id.clone(), e.record.incarnation)).collect()
    }

    /// Gives every suspected member the time that this process was paused.
    pub(crate) fn postpone_suspicions(&mut self, pause: Duration) {
        for entry in self.entries.values_mut() {
            if let Status::Suspect(suspicion) = &mut entry.status {
                suspicion.postpone(pause);
            }
        }
    }

    /// Drops the members that have been dead for long and returns whether there were any.
    pub(crate) fn forget(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, e| match e.status {
            Status::Dead { since, left } => {
                let retention = if left { LEFT_RETENTION } else { DEAD_RETENTION };
                now.saturating_duration_since(since) < retention
            }
            _ => true,
        });
        self.entries.len() < before
    }

    /// Returns the members as other parts see them, with the local one.
    pub(crate) fn members(&self, local: &MemberRecord) -> Members {
        let mut members: BTreeMap<NodeId, Member> =
            self.iter().map(|e| (e.record.id.clone(), e.member())).collect();
        members.insert(local.id.clone(), Member::from(local.clone()));
        Members(members)
    }

    /// Returns a digest of the live members and their incarnations.
    pub(crate) fn view_digest(&self, local: &MemberRecord) -> u64 {
        let digest = |r: &MemberRecord| {
            let mut buf = [0; 16];
            buf[..8].copy_from_slice(&id_hash(&r.id).to_le_bytes());
            buf[8..].copy_from_slice(&r.incarnation.0.to_le_bytes());
            xxh3_64(&buf)
        };
        self.live().fold(digest(local), |acc, e| acc ^ digest(&e.record))
    }

    /// Returns the short form of everything held.
    pub(crate) fn digest(&self, local: &MemberRecord) -> Vec<MemberDigest> {
        let own = MemberDigest {
            id_hash: id_hash(&local.id),
            incarnation: local.incarnation,
            state: MemberState::Alive,
        };
        let others = self.iter().map(|e| MemberDigest {
            id_hash: id_hash(&e.record.id),
            incarnation: e.record.incarnation,
            state: e.merge_state(),
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Compares with what another node holds: returns what it lacks and what this one lacks.
    pub(crate) fn compare(
        &self,
        local: &MemberRecord,
        theirs: &[MemberDigest],
    ) -> (Vec<Update>, Vec<u64>) {
        let mut theirs: BTreeMap<u64, MemberDigest> =
            theirs.iter().map(|h| (h.id_hash, *h)).collect();
        let mut lacking = Vec::new();
        let mut requested = Vec::new();
        let own = theirs.remove(&id_hash(&local.id));
        if own.is_none_or(|h| h.incarnation < local.incarnation) {
            lacking.push(Update::Alive(local.clone()));
        }
        for entry in self.iter() {
            let mine = (entry.record.incarnation, rank(entry.merge_state()));
            match theirs.remove(&id_hash(&entry.record.id)) {
                None if entry.is_live() => self.push_holding(entry, None, &local.id, &mut lacking),
                None => {}
                Some(h) if (h.incarnation, rank(h.state)) < mine => {
                    self.push_holding(entry, Some(h), &local.id, &mut lacking);
                }
                Some(h) if (h.incarnation, rank(h.state)) > mine => requested.push(h.id_hash),
                Some(_) => {}
            }
        }
        let unknown = theirs.values().filter(|h| h.state != MemberState::Dead);
        requested.extend(unknown.map(|h| h.id_hash));
        (lacking, requested)
    }

    /// Returns the updates that another node asked for by hash.
    pub(crate) fn requested(&self, local: &MemberRecord, requested: &[u64]) -> Vec<Update> {
        let mut updates = Vec::new();
        for hash in requested {
            if *hash == id_hash(&local.id) {
                updates.push(Update::Alive(local.clone()));
            }
            let found = self.iter().find(|e| id_hash(&e.record.id) == *hash);
            if let Some(entry) = found {
                self.push_holding(entry, None, &local.id, &mut updates);
            }
        }
        updates
    }

    /// Adds the updates that bring a node from `theirs` to this holding.
    fn push_holding(
        &self,
        entry: &Entry,
        theirs: Option<MemberDigest>,
        by: &NodeId,
        updates: &mut Vec<Update>,
    ) {
        let knows_record = theirs.is_some_and(|h| h.incarnation >= entry.record.incarnation);
        if !knows_record {
            updates.push(Update::Alive(entry.record.clone()));
        }
        if !matches!(entry.status, Status::Up) {
            updates.push(entry.update(by));
        }
    }
}
