//! Interface to the platform's key-value service.

use std::{fmt, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Key of a value: path segments joined by `/`, without a leading `/`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KvKey(Arc<str>);

impl KvKey {
    /// Creates a key.
    pub fn new(key: &str) -> KvKey {
        KvKey(key.into())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for KvKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for KvKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Version of a value, increased by each write and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

/// Index of the service's change history after which a watch starts; 0 returns at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchIndex(pub u64);

/// Identifier of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseId(pub Arc<str>);

/// Key with its value and version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key of the value.
    pub key: KvKey,
    /// Value of the key.
    pub value: Bytes,
    /// Version of the value.
    pub version: Version,
    /// Lease that holds the key, if any.
    pub lease: Option<LeaseId>,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CasOutcome {
    /// The write took effect.
    Written,
    /// The condition was not met, and nothing was written.
    Conflict,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchResult {
    /// Index to pass to the next watch.
    pub index: WatchIndex,
    /// All entries below the prefix, ordered by key.
    pub entries: Vec<Entry>,
}

/// Error of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum KvError {
    /// the key-value service is unavailable, so the call had no effect: {reason}
    Unavailable {
        /// Cause of the error.
        reason: Arc<str>,
    },
    /// the response of the key-value service was lost, so a write may have taken effect: {reason}
    ResponseLost {
        /// Cause of the error.
        reason: Arc<str>,
    },
    /// the value of {key} has {bytes} bytes, which exceeds the limit of the key-value service
    TooLarge {
        /// Key of the value.
        key: KvKey,
        /// Size of the value, in bytes.
        bytes: usize,
    },
    /// the lease does not exist, has expired or was revoked
    LeaseEnded,
    /// this node has exceeded its rate limit for calls to the key-value service
    Throttled,
    /// invalid response from the key-value service: {reason}
    InvalidResponse {
        /// Cause of the error.
        reason: Arc<str>,
    },
}

impl std::error::Error for KvError {}

/// Checks that the size of a value is at most [`MAX_VALUE_BYTES`].
///
/// # Errors
///
/// Returns [`KvError::TooLarge`] if it is larger.
pub fn check_value_size(key: &KvKey, value: &Bytes) -> Result<(), KvError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(KvError::TooLarge { key: key.clone(), bytes: value.len() });
    }
    Ok(())
}

impl KvError {
    /// Returns whether a write that failed with this error may have taken effect.
    pub fn may_have_written(&self) -> bool {
        matches!(self, KvError::ResponseLost { .. } | KvError::InvalidResponse { .. })
    }
}

/// Key-value service with compare-and-swap, leases and watches.
///
/// Any write may take effect and still fail with [`KvError::ResponseLost`];
/// callers must read the key to find out.
#[async_trait(?Send)]
pub trait KeyValue: Send + Sync {
    /// Reads one value with linearizable consistency.
    async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError>;

    /// Reads all values below `prefix`, ordered by key.
    async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError>;

    /// Writes `value` if the version of the key is `expected`, where `None` means that the key
    /// does not exist.
    async fn compare_and_swap(
        &self,
        key: &KvKey,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<CasOutcome, KvError>;

    /// Deletes the key if its version is `expected`.
    async fn delete(&self, key: &KvKey, expected: Version) -> Result<CasOutcome, KvError>;

    /// Creates a lease that expires no earlier than `ttl` after its last renewal.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError>;

    /// Renews a lease; returns [`KvError::LeaseEnded`] if it no longer exists.
    async fn renew_lease(&self, lease: &LeaseId) -> Result<(), KvError>;

    /// Revokes a lease and releases the keys that it holds.
    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), KvError>;

    /// Writes `value` and acquires the key for `lease`, unless another live lease holds it.
    async fn acquire(
        &self,
        key: &KvKey,
        value: Bytes,
        lease: &LeaseId,
    ) -> Result<CasOutcome, KvError>;

    /// Waits at most `wait` for a change below `prefix` after the index `after`, then reads all
    /// entries below `prefix`.
    async fn watch(
        &self,
        prefix: &KvKey,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<WatchResult, KvError>;
}
