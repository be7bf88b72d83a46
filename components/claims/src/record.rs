//! Records of claims.

use lycheelatch_prelude::{IdempotencyKey, ServiceName, WorkspaceName};
use sha2::{Digest, Sha256};

use crate::{BodyDigest, ClaimsConfig, StoredResponse, UnixMillis};

/// Maximum number of withdrawn tickets in one record.
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

    /// Returns the shard of the key.
    pub(crate) fn shard(&self, shards: u32) -> u32 {
        let head = [self.0[0], self.0[1], self.0[2], self.0[3]];
        u32::from_le_bytes(head) % shards.max(1)
    }
}

/// Identifier of the claim of one request; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct TicketId {
    /// Random number of the process that created the ticket.
    pub(crate) epoch: u64,
    /// Sequence number within the process.
    pub(crate) sequence: u64,
}

/// Claim on a key: its ticket, request body and lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Claimant {
    pub(crate) ticket: TicketId,
    pub(crate) body: BodyDigest,
    pub(crate) created: UnixMillis,
    /// Deadline of the request.
    pub(crate) deadline: UnixMillis,
}

/// State of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum State {
    /// Claimed but not settled.
    Claimed,
    /// Settled: the request was not executed, and the key may be claimed again.
    Released,
    /// Settled: the request may have been executed.
    Unknown,
    /// Settled: the request was executed and returned this response.
    Finished(StoredResponse),
}

/// Stored state of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) key: KeyDigest,
    /// Latest claim on the key.
    pub(crate) claimant: Claimant,
    /// State of the latest claim.
    pub(crate) state: State,
    /// Tickets whose claims are refused, however late their messages arrive.
    pub(crate) withdrawn: Vec<TicketId>,
}

impl Record {
    /// Returns the time before which the record must not be dropped.
    pub(crate) fn keep_until(&self, cfg: &ClaimsConfig) -> UnixMillis {
        self.claimant.deadline.max(self.claimant.created).after(cfg.min_ttl)
    }

    /// Returns the time after which the record has no effect.
    pub(crate) fn expires_at(&self, cfg: &ClaimsConfig) -> UnixMillis {
        match self.state {
            State::Released => self.keep_until(cfg),
            _ => self.keep_until(cfg).max(self.claimant.created.after(cfg.ttl)),
        }
    }

    /// Returns whether `ticket` has been withdrawn and may not claim this key.
    pub(crate) fn is_withdrawn(&self, ticket: TicketId) -> bool {
        let is_released = self.state == State::Released && self.claimant.ticket == ticket;
        is_released || self.withdrawn.contains(&ticket)
    }

    /// Withdraws `ticket`, so that later claims with it are refused.
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
