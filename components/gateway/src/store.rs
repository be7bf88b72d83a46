//! Interface to the platform's key-value store.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;

/// Revision of the store, which increases with each change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(pub u64);

/// Identifier of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: StoreRevision,
    /// Revision of the creation.
    pub created: StoreRevision,
}

/// One change that a watch returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// A value was written.
    Written(KeyValue),
    /// A key was deleted, or its lease ended.
    Deleted {
        /// The key.
        key: Arc<str>,
        /// Revision of the deletion.
        revision: StoreRevision,
    },
}

/// All values below a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The values.
    pub items: Vec<KeyValue>,
    /// Revision after which a watch continues.
    pub revision: StoreRevision,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Changes in order.
    pub events: Vec<StoreEvent>,
    /// Revision after which the next watch continues.
    pub revision: StoreRevision,
}

/// A conditional write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Commit {
    /// The key.
    pub key: Arc<str>,
    /// Expected current revision; 0 if the key must not exist.
    pub expected: StoreRevision,
    /// The new value.
    pub value: Bytes,
    /// Lease whose end deletes the key.
    pub lease: Option<LeaseId>,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The write took effect at this revision.
    Applied(StoreRevision),
    /// The condition did not hold, and nothing changed.
    Conflict,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StoreError {
    /// the store refused the call and did nothing: {0}
    Refused(Arc<str>),
    /// no answer came, and a write may still take effect: {0}
    NoAnswer(Arc<str>),
    /// the history after this revision is dropped
    Compacted,
    /// the lease has ended
    LeaseEnded,
    /// the store answered with something that can't be read: {0}
    BadAnswer(Arc<str>),
}

impl std::error::Error for StoreError {}

/// Consistency of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Reflects all writes that completed before the call.
    Linearizable,
    /// May be seconds old, at a tenth of the cost.
    Stale,
}

/// Key-value store with revisions, conditional writes, leases and watches.
#[async_trait(?Send)]
pub trait Store {
    /// Reads one value, linearizably.
    async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError>;

    /// Reads all values below a prefix.
    async fn list(&self, prefix: &str, freshness: Freshness) -> Result<Listing, StoreError>;

    /// Waits at most `wait` for changes below a prefix after a revision; fails with
    /// [`StoreError::Compacted`] if the history after it is not kept any more.
    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes, StoreError>;

    /// Writes a key, if its revision is the expected one.
    async fn commit(&self, commit: Commit) -> Result<CommitOutcome, StoreError>;

    /// Grants a lease that ends `ttl` after the store received its last renewal.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; fails with [`StoreError::LeaseEnded`] if it has ended.
    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Revokes a lease and deletes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;
}
