//! Public types of claims, decisions and settlements.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_provider::KvError;
use sha2::{Digest, Sha256};

use crate::record::{Claimant, KeyDigest};

/// Header of a replayed response whose body was too large to store.
pub const BODY_NOT_KEPT_HEADER: &str = "lycheelatch-body-not-kept";

/// Truncated SHA-256 digest of a request body.
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

/// Incremental hasher for a body that arrives in chunks.
#[derive(Debug, Clone, Default)]
pub struct BodyHasher(Sha256);

impl BodyHasher {
    /// Adds a chunk.
    pub fn update(&mut self, chunk: &[u8]) {
        self.0.update(chunk);
    }

    /// Returns the digest of all chunks.
    pub fn finish(self) -> BodyDigest {
        let digest = self.0.finalize();
        let mut short = [0; 8];
        short.copy_from_slice(&digest[..8]);
        BodyDigest(short)
    }
}

/// Response that is replayed to later requests with the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are replayed.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Body; empty if it was too large to store, as marked by [`BODY_NOT_KEPT_HEADER`].
    pub body: Bytes,
}

impl StoredResponse {
    /// Returns the size of headers and body, in bytes.
    pub fn bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(k, v)| k.len() + v.len()).sum();
        headers + self.body.len()
    }

    /// Replaces headers and body by [`BODY_NOT_KEPT_HEADER`] if they exceed `max` bytes.
    pub(crate) fn limited_to(self, max: usize) -> StoredResponse {
        if self.bytes() <= max {
            return self;
        }
        let note = (BODY_NOT_KEPT_HEADER.into(), Bytes::from_static(b"true"));
        StoredResponse { status: self.status, headers: vec![note], body: Bytes::new() }
    }
}

/// Permission to execute a request once; the holder must settle it.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an unsettled claim becomes an unknown outcome after its deadline"]
pub struct ClaimTicket {
    pub(crate) key: KeyDigest,
    pub(crate) claimant: Claimant,
}

/// Decision on a request with an idempotency key.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim was acquired; only the holder of the ticket may execute the request.
    Acquired(ClaimTicket),
    /// Another request with this key is being executed.
    Running {
        /// Delay before the client should retry.
        retry_after: Duration,
    },
    /// An earlier request with this key was executed and returned this response.
    Finished(StoredResponse),
    /// An earlier request with this key had a different body.
    BodyMismatch,
    /// An earlier request with this key may have been executed; its outcome is unknown.
    OutcomeUnknown,
}

/// Outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// The request was executed and returned this response.
    Finished(StoredResponse),
    /// No byte of the request can have reached an upstream; the key is released.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

/// Error of a claim or a settlement.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ClaimError {
    /// the claim can't be recorded, and the request did not run: {source}
    Unavailable {
        /// Last error of the key-value service.
        source: KvError,
    },
    /// the claim was not recorded in {ms} ms, and the request did not run
    Timeout {
        /// Time limit of the claim, in milliseconds.
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
