//! The member table of a node, and the rules for applying updates to it.

use std::{collections::BTreeMap, time::Duration};

use lycheelatch_prelude::{Incarnation, NodeId};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    message::{MemberDigest, MemberRecord, Update, id_hash, precedence},
    suspicion::Suspicion,
};
use crate::{Member, MemberState, Members};

/// Time after which a failed member is removed.
const DEAD_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);
/// Time after which a member that left gracefully is removed.
const LEFT_RETENTION: Duration = Duration::from_secs(5 * 60);

/// Liveness of a member.
#[derive(Debug, Clone)]
pub(crate) enum Status {
    /// Responds to probes, or has not been probed yet.
    Up,
    /// Suspected to have failed; can still refute it.
    Suspect(Suspicion),
    /// Failed, or left the cluster.
    Dead {
        /// Time at which this node applied the death.
        since: Instant,
        /// Whether the member itself announced that it left.
        left: bool,
    },
}

/// Table entry of one member.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// Latest record announced by the member.
    pub(crate) record: MemberRecord,
    /// Liveness of the member.
    pub(crate) status: Status,
}

impl Entry {
    /// Returns the public state of the member.
    pub(crate) fn state(&self) -> MemberState {
        match self.status {
            Status::Dead { .. } => MemberState::Dead,
            Status::Suspect(_) if !self.record.leaving => MemberState::Suspect,
            _ => self.record.state(),
        }
    }

    /// Returns the state that decides which of two entries with the same incarnation wins.
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

    /// Returns the update that reproduces the status of this entry at another node.
    fn to_update(&self, by: &NodeId) -> Update {
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

/// All members except the local node.
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

    /// Applies a record and returns whether it changed the table.
    pub(crate) fn apply_alive(&mut self, record: &MemberRecord) -> bool {
        if self.get(&record.id).is_some_and(|e| e.record.incarnation >= record.incarnation) {
            return false;
        }
        let entry = Entry { record: record.clone(), status: Status::Up };
        self.entries.insert(record.id.clone(), entry);
        true
    }

    /// Applies a suspicion and returns whether it must be forwarded.
    pub(crate) fn apply_suspect(
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

    /// Applies a death and returns whether it must be forwarded.
    pub(crate) fn apply_dead(
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

    /// Returns the suspicion to send to a member that is suspect or dead, so that it can refute it.
    pub(crate) fn suspicion_of(&self, id: &NodeId, by: &NodeId) -> Option<Update> {
        let entry = self.get(id).filter(|e| !matches!(e.status, Status::Up))?;
        let incarnation = entry.record.incarnation;
        Some(Update::Suspect { id: id.clone(), incarnation, by: by.clone() })
    }

    /// Returns the suspected members that did not refute the suspicion in time.
    pub(crate) fn expired_suspicions(
        &self,
        now: Instant,
        multiplier: u32,
    ) -> Vec<(NodeId, Incarnation)> {
        let is_expired = |e: &&Entry| match &e.status {
            Status::Suspect(suspicion) => suspicion.deadline(multiplier) <= now,
            _ => false,
        };
        self.iter()
            .filter(is_expired)
            .map(|e| (e.record.id.clone(), e.record.incarnation))
            .collect()
    }

    /// Extends the deadline of every suspicion by the time that this process was paused.
    pub(crate) fn postpone_suspicions(&mut self, pause: Duration) {
        for entry in self.entries.values_mut() {
            if let Status::Suspect(suspicion) = &mut entry.status {
                suspicion.postpone(pause);
            }
        }
    }

    /// Removes dead members whose retention time is over and returns whether there were any.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> bool {
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

    /// Returns the public view of all members, including the local node.
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

    /// Returns the digest of the whole table.
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

    /// Compares the table with the digest of another node.
    ///
    /// Returns the updates that the other node is missing, and the ID hashes of the members
    /// for which this node has no entry or an older one.
    pub(crate) fn compare(
        &self,
        local: &MemberRecord,
        remote: &[MemberDigest],
    ) -> (Vec<Update>, Vec<u64>) {
        let mut remote: BTreeMap<u64, MemberDigest> =
            remote.iter().map(|d| (d.id_hash, *d)).collect();
        let mut missing = Vec::new();
        let mut requested = Vec::new();
        let own = remote.remove(&id_hash(&local.id));
        if own.is_none_or(|d| d.incarnation < local.incarnation) {
            missing.push(Update::Alive(local.clone()));
        }
        for entry in self.iter() {
            let own_version = (entry.record.incarnation, precedence(entry.merge_state()));
            match remote.remove(&id_hash(&entry.record.id)) {
                None if entry.is_live() => self.push_updates(entry, None, &local.id, &mut missing),
                None => {}
                Some(d) if (d.incarnation, precedence(d.state)) < own_version => {
                    self.push_updates(entry, Some(d), &local.id, &mut missing);
                }
                Some(d) if (d.incarnation, precedence(d.state)) > own_version => {
                    requested.push(d.id_hash)
                }
                Some(_) => {}
            }
        }
        let unknown = remote.values().filter(|d| d.state != MemberState::Dead);
        requested.extend(unknown.map(|d| d.id_hash));
        (missing, requested)
    }

    /// Returns the updates that another node requested by ID hash.
    pub(crate) fn updates_for(&self, local: &MemberRecord, requested: &[u64]) -> Vec<Update> {
        let mut updates = Vec::new();
        for hash in requested {
            if *hash == id_hash(&local.id) {
                updates.push(Update::Alive(local.clone()));
            }
            let found = self.iter().find(|e| id_hash(&e.record.id) == *hash);
            if let Some(entry) = found {
                self.push_updates(entry, None, &local.id, &mut updates);
            }
        }
        updates
    }

    /// Adds the updates that bring the entry of a node from `remote` to the state of `entry`.
    fn push_updates(
        &self,
        entry: &Entry,
        remote: Option<MemberDigest>,
        by: &NodeId,
        updates: &mut Vec<Update>,
    ) {
        let has_record = remote.is_some_and(|d| d.incarnation >= entry.record.incarnation);
        if !has_record {
            updates.push(Update::Alive(entry.record.clone()));
        }
        if !matches!(entry.status, Status::Up) {
            updates.push(entry.to_update(by));
        }
    }
}
