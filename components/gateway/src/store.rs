//! Interface to the platform's key-value store.

use std::{fmt, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;

/// How often the store came back from an older copy of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

/// Position in the store's history.
///
/// The number increases with each change. When the store comes back from a copy, numbers go back
/// and are given out again, so that only the era tells the two histories apart. All revisions of a
/// later era come after those of an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Era in which the store gave out the number, or a later one in which it was read.
    pub era: StoreEra,
    /// Number of the change; 0 before the first one.
    pub number: u64,
}

impl StoreRevision {
    /// Revision of a key that does not exist.
    pub const ABSENT: StoreRevision = StoreRevision { era: StoreEra(0), number: 0 };

    /// Creates a revision.
    pub const fn new(era: StoreEra, number: u64) -> StoreRevision {
        StoreRevision { era, number }
    }

    /// Returns the revision before this one in the same era.
    pub(crate) fn before(self) -> StoreRevision {
        StoreRevision { number: self.number.saturating_sub(1), ..self }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era.0, self.number)
    }
}

/// Identifier of a lease in the store, which another lease may have in a later era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId {
    /// Era in which the lease was granted.
    pub era: StoreEra,
    /// Number of the lease.
    pub number: u64,
}

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
    /// Expected current revision; [`StoreRevision::ABSENT`] if the key must not exist.
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
    /// the store came back from a copy, so that what was read before does not apply
    Restored,
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
    /// [`StoreError::Compacted`] if the history after it is not kept any more, and with
    /// [`StoreError::Restored`] if the revision is of an earlier era.
    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes, StoreError>;

    /// Writes a key, if its revision is the expected one; fails with [`StoreError::Restored`] if a
    /// write took effect in a later era than that of the expected revision or the lease.
    async fn commit(&self, commit: Commit) -> Result<CommitOutcome, StoreError>;

    /// Grants a lease that ends `ttl` after the store received its last renewal.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; fails with [`StoreError::LeaseEnded`] if it has ended or was granted in an
    /// earlier era.
    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Revokes a lease and deletes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;
}
