//! The lease on one service shard, as seen by its holder and by candidates.
//!
//! A holder relies only on its own monotonic clock. The lease time is counted from before the
//! grant or renewal was sent, less a margin, so that the holder stops relying on the lease
//! before it can expire at the key-value service.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use lycheelatch_prelude::{Fence, NodeId};
use lycheelatch_provider::{CasOutcome, Entry, KeyValue, KvError, KvKey, LeaseId};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout};

/// Time to live of a lease that is not renewed.
pub const LEASE_TTL: Duration = Duration::from_secs(15);

/// Time before the expiry of a lease at which its holder stops relying on it.
pub const LEASE_MARGIN: Duration = Duration::from_secs(3);

/// Maximum time between sending an order and its effect.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(20);

/// Timeout of calls to the key-value service.
const KV_TIMEOUT: Duration = Duration::from_secs(3);

/// Right to act for a service shard for a limited time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number of the lease.
    pub fence: Fence,
    /// Time until which the holder may start an action.
    pub until: Instant,
    /// Time from which orders may be sent to upstreams that ignore fencing numbers.
    pub unfenced_from: Instant,
}

/// Value stored under the lease's key, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseValue {
    node: NodeId,
    /// Whether the holder released the lease itself, with no order in flight.
    released: bool,
}

#[derive(Debug, Clone)]
struct HeldLease {
    lease: LeaseId,
    permit: Permit,
}

/// The lease on one service shard.
pub struct ShardLease {
    kv: Arc<dyn KeyValue>,
    node: NodeId,
    key: KvKey,
    held: Mutex<Option<HeldLease>>,
}

impl ShardLease {
    /// Creates a lease that is not held.
    pub fn new(kv: Arc<dyn KeyValue>, node: NodeId, shard: &str) -> ShardLease {
        let key = KvKey::new(&format!("fleet/leases/{shard}"));
        ShardLease { kv, node, key, held: Mutex::default() }
    }

    /// Returns the right to act, if this node is certain to hold the lease at `now`.
    pub fn permit(&self, now: Instant) -> Option<Permit> {
        let held = self.held.lock().unwrap();
        held.as_ref().map(|held| held.permit).filter(|permit| now < permit.until)
    }

    /// Returns whether this node has a lease that it can try to renew.
    pub fn is_held(&self) -> bool {
        self.held.lock().unwrap().is_some()
    }

    /// Tries to acquire the lease, and returns whether this node holds it afterwards.
    ///
    /// Returns `false` if another node holds the lease. Returns an error if the key-value service
    /// fails.
    pub async fn try_acquire(&self) -> Result<bool, KvError> {
        let before = self.read().await?;
        if before.as_ref().is_some_and(|entry| entry.lease.is_some()) {
            return Ok(false);
        }
        let sent = Instant::now();
        let lease = with_timeout(self.kv.grant_lease(LEASE_TTL)).await?;
        let acquired = self.acquire_with(&lease).await;
        let entry = match acquired {
            Ok(CasOutcome::Conflict) => None,
            Ok(CasOutcome::Written) => self.read().await?,
            // The write may have taken effect, so the stored value decides.
            Err(err) if err.may_have_written() => self.read().await?,
            Err(err) => return Err(err),
        };
        match entry.filter(|entry| entry.lease.as_ref() == Some(&lease)) {
            Some(entry) => {
                self.set_held(sent, lease, &entry, before.as_ref());
                Ok(true)
            }
            None => {
                let _expires_anyway = with_timeout(self.kv.revoke_lease(&lease)).await;
                Ok(false)
            }
        }
    }

    /// Renews the lease; a lease that has expired at the key-value service is dropped.
    pub async fn renew(&self) -> Result<(), KvError> {
        let Some(HeldLease { lease, .. }) = self.held.lock().unwrap().clone() else {
            return Err(KvError::LeaseEnded);
        };
        let sent = Instant::now();
        let result = with_timeout(self.kv.renew_lease(&lease)).await;
        let mut held = self.held.lock().unwrap();
        match &result {
            Ok(()) => {
                if let Some(held) = held.as_mut() {
                    held.permit.until = sent + LEASE_TTL - LEASE_MARGIN;
                }
            }
            Err(KvError::LeaseEnded) => *held = None,
            // After any other error the lease stays valid until its local deadline.
            Err(_) => {}
        }
        result
    }

    /// Releases the lease for the next holder; must only be called with no order in flight.
    pub async fn release(&self) -> Result<(), KvError> {
        let Some(HeldLease { lease, permit }) = self.held.lock().unwrap().take() else {
            return Ok(());
        };
        let is_valid = Instant::now() < permit.until;
        if is_valid {
            let value = encode(&LeaseValue { node: self.node.clone(), released: true });
            with_timeout(self.kv.acquire(&self.key, value, &lease)).await?;
        }
        with_timeout(self.kv.revoke_lease(&lease)).await
    }

    async fn read(&self) -> Result<Option<Entry>, KvError> {
        with_timeout(self.kv.get(&self.key)).await
    }

    async fn acquire_with(&self, lease: &LeaseId) -> Result<CasOutcome, KvError> {
        let value = encode(&LeaseValue { node: self.node.clone(), released: false });
        with_timeout(self.kv.acquire(&self.key, value, lease)).await
    }

    fn set_held(&self, sent: Instant, lease: LeaseId, entry: &Entry, before: Option<&Entry>) {
        let now = Instant::now();
        let was_released = before.is_none_or(|entry| {
            serde_json::from_slice::<LeaseValue>(&entry.value).is_ok_and(|value| value.released)
        });
        let unfenced_from = if was_released { now } else { now + MAX_ORDER_DELAY };
        let fence = Fence(entry.version.0);
        let until = sent + LEASE_TTL - LEASE_MARGIN;
        log::info!("fleet: acquired {} with fencing number {fence}.", self.key);
        let permit = Permit { fence, until, unfenced_from };
        *self.held.lock().unwrap() = Some(HeldLease { lease, permit });
    }
}

fn encode(value: &LeaseValue) -> Bytes {
    // Serializing plain structs to memory can't fail.
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Runs a call with a timeout, which is reported as a lost response.
pub(crate) async fn with_timeout<T>(
    call: impl Future<Output = Result<T, KvError>>,
) -> Result<T, KvError> {
    let lost = |_| KvError::ResponseLost { reason: "no response in time".into() };
    timeout(KV_TIMEOUT, call).await.map_err(lost)?
}
