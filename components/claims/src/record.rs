//! Records of claims.

use lycheelatch_prelude::{IdempotencyKey, ServiceName, WorkspaceName};
use sha2::{Digest, Sha256};

use crate::{BodyDigest, ClaimsConfig, StoredResponse, UnixMillis};

/// Most withdrawn tickets that one record remembers.
const MAX_WITHDRAWN: usize = 16;

/// Digest of workspace, service and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct KeyDigest(pub(crate) [u8; 16]);

impl KeyDigest {
    /// Returns the digest of a key within its workspace and service.
    pub(crate) fn of(
        workspace: &WorkspaceName,
        service: &ServiceName,
        key: &IdempotencyKey,
    ) -> KeyDigest {
        let mut hasher = Sha256::new();
        for part in [workspace.as_str(), service.as_str(), key.as_str()] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut short = [0; 16];
        short.copy_from_slice(&hasher.finalize()[..16]);
        KeyDigest(short)
    }

    /// Returns the shard that the key lies in.
    pub(crate) fn shard(&self, shards: u32) -> u32 {
        let head = [self.0[0], self.0[1], self.0[2], self.0[3]];
        u32::from_le_bytes(head) % shards.max(1)
    }
}

/// Identity of one request's claim, never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct TicketId {
    /// Random number of the process that made it.
    pub(crate) epoch: u64,
    /// Count within the process.
    pub(crate) count: u64,
}

/// Who claims a key, with what, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Claimant {
    /// Identity of the claim.
    pub(crate) ticket: TicketId,
    /// Digest of the request's body.
    pub(crate) body: BodyDigest,
    /// Time of the claim.
    pub(crate) created: UnixMillis,
    /// Deadline of the request.
    pub(crate) until: UnixMillis,
}

/// State of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum State {
    /// Claimed and not settled.
    Claimed,
    /// Settled: nothing ran, the key may be claimed again.
    Freed,
    /// Settled: it may have run.
    Unknown,
    /// Settled: it ran and had this answer.
    Finished(StoredResponse),
}

/// What the store knows of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    /// Key of the record.
    pub(crate) key: KeyDigest,
    /// Latest claimant.
    pub(crate) claimant: Claimant,
    /// What became of it.
    pub(crate) state: State,
    /// Tickets that may not claim any more, whenever their messages arrive.
    pub(crate) withdrawn: Vec<TicketId>,
}

impl Record {
    /// Returns the time until which the record must be kept.
    pub(crate) fn keep_until(&self, cfg: &ClaimsConfig) -> UnixMillis {
        self.claimant.until.max(self.claimant.created).after(cfg.min_ttl)
    }

    /// Returns the time after which the record means nothing.
    pub(crate) fn expires(&self, cfg: &ClaimsConfig) -> UnixMillis {
        match self.state {
            State::Freed => self.keep_until(cfg),
            _ => self.keep_until(cfg).max(self.claimant.created.after(cfg.ttl)),
        }
    }

    /// Returns whether `ticket` may not claim this key any more.
    pub(crate) fn is_withdrawn(&self, ticket: TicketId) -> bool {
        let is_freed = self.state == State::Freed && self.claimant.ticket == ticket;
        is_freed || self.withdrawn.contains(&ticket)
    }

    /// Remembers that `ticket` may not claim this key any more.
    pub(crate) fn withdraw(&mut self, ticket: TicketId) {
        if self.withdrawn.contains(&ticket) {
            return;
        }
        if self.withdrawn.len() == MAX_WITHDRAWN {
            self.withdrawn.remove(0);
        }
        self.withdrawn.push(ticket);
    }
}
