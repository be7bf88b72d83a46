//! A lock that keeps two lease holders from sending orders to the same unfenced engine.
//!
//! An engine that ignores fencing numbers can't distinguish the orders of an old holder from
//! those of the current one, and a holder may be paused for any time between its last check and
//! sending an order. Each order is therefore recorded under the engine's key before it is sent
//! and cleared once it has been answered. A later holder sends no order while an earlier
//! holder's order is recorded. Once a later holder has recorded an order, the lock refuses the
//! earlier holder's fencing number.

use std::sync::Arc;

use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_prelude::{Fence, UpstreamId};
use lycheelatch_provider::{CasOutcome, Entry, KeyValue, KvError, KvKey};
use serde::{Deserialize, Serialize};

use crate::lease::with_timeout;

/// Reason why no order may be sent to an engine that ignores fencing numbers.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum OrderLockError {
    /// a holder with the later fencing number {0} has sent orders
    Superseded(Fence),
    /// an order with the earlier fencing number {0} may still arrive
    Blocked(Fence),
    /// another process changed the engine's lock record at the same time
    Contended,
    /// the engine's lock record is invalid
    InvalidRecord,
    /// {0}
    Kv(KvError),
}

impl std::error::Error for OrderLockError {}

impl From<KvError> for OrderLockError {
    fn from(err: KvError) -> OrderLockError {
        OrderLockError::Kv(err)
    }
}

/// Value stored under the engine's key, as JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct LockValue {
    fence: Fence,
    /// Whether an order with this fencing number may be in flight.
    open: bool,
}

/// Records orders in flight in the key-value service, one record per engine.
pub struct OrderLock {
    kv: Arc<dyn KeyValue>,
}

impl OrderLock {
    /// Creates a lock that keeps its records in `kv`.
    pub fn new(kv: Arc<dyn KeyValue>) -> OrderLock {
        OrderLock { kv }
    }

    /// Records that an order with this fencing number may be in flight; call it before sending.
    pub async fn acquire(&self, upstream: &UpstreamId, fence: Fence) -> Result<(), OrderLockError> {
        let before = self.read(upstream).await?;
        if let Some((_, value)) = &before {
            check(*value, fence)?;
        }
        self.write(upstream, before.map(|(entry, _)| entry), LockValue { fence, open: true }).await
    }

    /// Clears the record of an order that can no longer arrive.
    pub async fn release(&self, upstream: &UpstreamId, fence: Fence) -> Result<(), OrderLockError> {
        let Some((entry, value)) = self.read(upstream).await? else {
            return Ok(());
        };
        if value != (LockValue { fence, open: true }) {
            return Ok(());
        }
        self.write(upstream, Some(entry), LockValue { fence, open: false }).await
    }

    async fn read(
        &self,
        upstream: &UpstreamId,
    ) -> Result<Option<(Entry, LockValue)>, OrderLockError> {
        let Some(entry) = with_timeout(self.kv.get(&key(upstream))).await? else {
            return Ok(None);
        };
        let value =
            serde_json::from_slice(&entry.value).map_err(|_| OrderLockError::InvalidRecord)?;
        Ok(Some((entry, value)))
    }

    async fn write(
        &self,
        upstream: &UpstreamId,
        before: Option<Entry>,
        value: LockValue,
    ) -> Result<(), OrderLockError> {
        let expected = before.map(|entry| entry.version);
        let bytes = Bytes::from(serde_json::to_vec(&value).unwrap_or_default());
        let key = key(upstream);
        let write = self.kv.compare_and_swap(&key, expected, bytes);
        match with_timeout(write).await {
            Ok(CasOutcome::Written) => Ok(()),
            Ok(CasOutcome::Conflict) => Err(OrderLockError::Contended),
            // A stored record with this number permits the order, whichever write put it there.
            Err(err) if err.may_have_written() => match self.read(upstream).await? {
                Some((_, stored)) if stored == value => Ok(()),
                _ => Err(err.into()),
            },
            Err(err) => Err(err.into()),
        }
    }
}

fn check(value: LockValue, fence: Fence) -> Result<(), OrderLockError> {
    if value.fence > fence {
        return Err(OrderLockError::Superseded(value.fence));
    }
    if value.open && value.fence < fence {
        return Err(OrderLockError::Blocked(value.fence));
    }
    Ok(())
}

fn key(upstream: &UpstreamId) -> KvKey {
    KvKey::new(&format!("fleet/orders/{upstream}"))
}
