//! The platform's key-value service.

use std::{fmt, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;

/// Largest value that the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Key of a value: parts joined by `/`, without a leading one.
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

/// Version of one value, raised by each write to it; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

/// Point in the service's history that a watch starts after; 0 answers at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchIndex(pub u64);

/// Identity of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseId(pub Arc<str>);

/// One value with its key and version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key of the value.
    pub key: KvKey,
    /// The value.
    pub value: Bytes,
    /// Version of the value.
    pub version: Version,
    /// Lease that holds the key, if one does.
    pub lease: Option<LeaseId>,
}

/// What a conditional write did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CasOutcome {
    /// The write took effect.
    Written,
    /// The condition did not hold, and nothing changed.
    Conflict,
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchResult {
    /// Index to pass to the next call.
    pub index: WatchIndex,
    /// Every entry below the prefix, in the order of keys.
    pub entries: Vec<Entry>,
}

/// Why a call to the key-value service failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum KvError {
    /// the key-value service refused the call before doing anything: {reason}
    Unavailable {
        /// What was seen.
        reason: Arc<str>,
    },
    /// the answer was lost, and a write may have taken effect: {reason}
    ResponseLost {
        /// What was seen.
        reason: Arc<str>,
    },
    /// the value of {bytes} bytes under {key} is larger than the service holds
    TooLarge {
        /// Key of the value.
        key: KvKey,
        /// Size of the value, in bytes.
        bytes: usize,
    },
    /// the lease does not exist or has ended
    LeaseEnded,
    /// this node's share of calls to the key-value service is used up
    Throttled,
    /// the key-value service answered with something that can't be read: {reason}
    InvalidResponse {
        /// What was seen.
        reason: Arc<str>,
    },
}

impl std::error::Error for KvError {}

/// Checks that a value fits into the service.
pub fn check_value_size(key: &KvKey, value: &Bytes) -> Result<(), KvError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(KvError::TooLarge { key: key.clone(), bytes: value.len() });
    }
    Ok(())
}

impl KvError {
    /// Returns whether a write that failed with this may have taken effect.
    pub fn may_have_written(&self) -> bool {
        matches!(self, KvError::ResponseLost { .. } | KvError::InvalidResponse { .. })
    }
}

/// The key-value service: compare-and-swap, leases and watches.
///
/// Every method may fail with [`KvError::ResponseLost`] after its write took
/// effect; callers resolve this by reading back.
#[async_trait(?Send)]
pub trait KeyValue: Send + Sync {
    /// Reads one value, linearizably.
    async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError>;

    /// Reads every value below `prefix`, in the order of keys.
    async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError>;

    /// Writes `value` if the key's version is `expected`; `None`: if there is no such key.
    async fn compare_and_swap(
        &self,
        key: &KvKey,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<CasOutcome, KvError>;

    /// Deletes the key if its version is `expected`.
    async fn delete(&self, key: &KvKey, expected: Version) -> Result<CasOutcome, KvError>;

    /// Grants a lease that ends `ttl` after its last renewal at the earliest.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError>;

    /// Renews a lease; fails with [`KvError::LeaseEnded`] when it has ended.
    async fn renew_lease(&self, lease: &LeaseId) -> Result<(), KvError>;

    /// Ends a lease and frees the keys that it holds.
    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), KvError>;

    /// Writes `value` and lets `lease` hold the key, unless another live lease holds it.
    async fn acquire(
        &self,
        key: &KvKey,
        value: Bytes,
        lease: &LeaseId,
    ) -> Result<CasOutcome, KvError>;

    /// Waits for a change below `prefix` after `after`, `wait` at most, and reads it all.
    async fn watch(
        &self,
        prefix: &KvKey,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<WatchResult, KvError>;
}
