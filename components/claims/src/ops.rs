//! Operations on a shard and their replies.

use crate::{
    Settlement, StoredResponse, UnixMillis,
    record::{Claimant, KeyDigest},
};

/// Idempotent operation on one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Op {
    pub(crate) key: KeyDigest,
    /// Claim that the operation makes or settles.
    pub(crate) claimant: Claimant,
    pub(crate) kind: OpKind,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OpKind {
    Claim,
    Settle(Settlement),
}

impl Op {
    /// Estimates how many bytes the operation adds to a shard.
    pub(crate) fn bytes(&self) -> usize {
        const RECORD_BYTES: usize = 64;
        match &self.kind {
            OpKind::Settle(Settlement::Finished(response)) => RECORD_BYTES + response.bytes(),
            _ => RECORD_BYTES,
        }
    }
}

/// Reply to an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reply {
    /// The claim was acquired, by this operation or an earlier copy of it.
    Acquired,
    /// Another claim holds the key until this deadline.
    Running(UnixMillis),
    /// A request with the key was executed and returned this response.
    Finished(StoredResponse),
    /// The key was claimed with a different body.
    BodyMismatch,
    /// A request with the key may have been executed.
    OutcomeUnknown,
    /// The claim was withdrawn before this operation was applied.
    Withdrawn,
    /// The shard is too large to accept new claims.
    Full,
    /// The settlement is recorded or no longer has any effect.
    Settled,
}
