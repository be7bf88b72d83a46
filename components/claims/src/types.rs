//! What the proxy gives to the claims and gets from them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_provider::KvError;
use sha2::{Digest, Sha256};

use crate::record::{Claimant, KeyDigest};

/// Header of a replayed answer whose body was too large to keep.
pub const BODY_NOT_KEPT_HEADER: &str = "lycheelatch-body-not-kept";

/// Digest of a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BodyDigest(pub(crate) [u8; 8]);

impl BodyDigest {
    /// Returns the digest of `body`.
    pub fn of(body: &[u8]) -> BodyDigest {
        let mut hasher = BodyHasher::default();
        hasher.update(body);
        hasher.finish()
    }
}

/// Digests a body that comes in parts.
#[derive(Debug, Clone, Default)]
pub struct BodyHasher(Sha256);

impl BodyHasher {
    /// Adds a part.
    pub fn update(&mut self, part: &[u8]) {
        self.0.update(part);
    }

    /// Returns the digest of all parts.
    pub fn finish(self) -> BodyDigest {
        let digest = self.0.finalize();
        let mut short = [0; 8];
        short.copy_from_slice(&digest[..8]);
        BodyDigest(short)
    }
}

/// An answer that is replayed to later requests with the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are replayed.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Body; empty if it was too large to keep, which [`BODY_NOT_KEPT_HEADER`] says.
    pub body: Bytes,
}

impl StoredResponse {
    /// Returns the size of headers and body, in bytes.
    pub fn bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(k, v)| k.len() + v.len()).sum();
        headers + self.body.len()
    }

    /// Returns the answer without headers and body if it is larger than `max` bytes.
    pub(crate) fn limited_to(self, max: usize) -> StoredResponse {
        if self.bytes() <= max {
            return self;
        }
        let note = (BODY_NOT_KEPT_HEADER.into(), Bytes::from_static(b"true"));
        StoredResponse { status: self.status, headers: vec![note], body: Bytes::new() }
    }
}

/// Right to execute a request once; it must be settled.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an unsettled claim ends as unresolved"]
pub struct ClaimTicket {
    pub(crate) key: KeyDigest,
    pub(crate) claimant: Claimant,
}

/// What becomes of a request with an idempotency key.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The request is to be executed, by the holder of the ticket alone.
    Acquired(ClaimTicket),
    /// Another request with this key is being executed.
    Running {
        /// Time after which to ask again.
        retry_after: Duration,
    },
    /// An earlier request with this key was executed and had this answer.
    Finished(StoredResponse),
    /// An earlier request with this key had another body.
    BodyMismatch,
    /// An earlier request with this key may have run, and its outcome is not known.
    OutcomeUnknown,
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// It was executed and had this answer.
    Finished(StoredResponse),
    /// No byte of it can have reached an upstream; the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a claim or a settlement failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ClaimError {
    /// the claim can't be recorded, and the request did not run: {source}
    Unavailable {
        /// What the key-value service showed last.
        source: KvError,
    },
    /// the claim was not recorded in {ms} ms, and the request did not run
    Late {
        /// Time that was waited, in milliseconds.
        ms: u64,
    },
    /// the store of claims is full, and the request did not run
    Full,
    /// the claim was withdrawn before it was recorded, and the request did not run
    Withdrawn,
    /// the settlement is not recorded yet and will be tried again
    Deferred,
}

impl std::error::Error for ClaimError {}
