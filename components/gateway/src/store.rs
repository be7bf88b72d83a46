//! The platform's store as the gateway uses it.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;

/// Point in the store's history, raised by each change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(pub u64);

/// Identity of a lease at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// One value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Its key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// Its last change.
    pub revision: StoreRevision,
    /// Its creation.
    pub created: StoreRevision,
}

/// One change that a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// A value was written.
    Written(KeyValue),
    /// A key is gone.
    Deleted {
        /// The key.
        key: Arc<str>,
        /// When it went.
        revision: StoreRevision,
    },
}

/// Every value below a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The values.
    pub items: Vec<KeyValue>,
    /// Revision from which a watch goes on.
    pub revision: StoreRevision,
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Changes in order.
    pub events: Vec<StoreEvent>,
    /// Revision from which the next watch goes on.
    pub revision: StoreRevision,
}

/// A conditional write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Commit {
    /// The key.
    pub key: Arc<str>,
    /// Its revision now; 0: there is no such key.
    pub expected: StoreRevision,
    /// The new value.
    pub value: Bytes,
    /// Lease that the key ends with.
    pub lease: Option<LeaseId>,
}

/// What a conditional write did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect at this revision.
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

/// How old a read may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Not older than the call.
    Linearizable,
    /// Possibly seconds old, at a tenth of the price.
    Stale,
}

/// The platform's store: revisions, conditional writes, leases and watches.
#[async_trait(?Send)]
pub trait Store {
    /// Reads one value, linearizably.
    async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError>;

    /// Reads every value below a prefix.
    async fn list(&self, prefix: &str, freshness: Freshness) -> Result<Listing, StoreError>;

    /// Waits at most `wait` for changes below a prefix after a revision.
    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes, StoreError>;

    /// Writes one key under a condition.
    async fn commit(&self, commit: Commit) -> Result<CommitOutcome, StoreError>;

    /// Grants a lease that ends `ttl` after its last renewal arrived.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease.
    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease and removes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;
}
