//! Operations on a shard and their replies.

use crate::{
    Settlement, StoredResponse, UnixMillis,
    record::{Claimant, KeyDigest},
};

/// An operation on one key; applying it twice is the same as once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Op {
    /// Key that it is about.
    pub(crate) key: KeyDigest,
    /// Request that claims or claimed the key.
    pub(crate) claimant: Claimant,
    /// What is done.
    pub(crate) kind: OpKind,
}

/// What an operation does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OpKind {
    /// Claims the key.
    Claim,
    /// Settles the claim.
    Settle(Settlement),
}

impl Op {
    /// Returns about how many bytes the operation adds to a shard.
    pub(crate) fn bytes(&self) -> usize {
        const RECORD_BYTES: usize = 64;
        match &self.kind {
            OpKind::Settle(Settlement::Finished(answer)) => RECORD_BYTES + answer.bytes(),
            _ => RECORD_BYTES,
        }
    }
}

/// Reply to an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reply {
    /// The claim holds.
    Won,
    /// Another claim holds, and its deadline is this.
    Running(UnixMillis),
    /// The key was executed, with this answer.
    Finished(StoredResponse),
    /// The key was claimed with another body.
    Mismatch,
    /// The key may have been executed.
    Unresolved,
    /// The claim was withdrawn earlier.
    Withdrawn,
    /// The shard takes no new claim.
    Full,
    /// The settlement is recorded, or no longer matters.
    Settled,
}
