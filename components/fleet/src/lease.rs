//! The lease on one service shard, as its holder or a candidate sees it.
//!
//! A holder trusts its own monotonic clock only: a lease counts from before
//! the call that granted or renewed it was sent, less a margin, so that it ends
//! here before it can end at the key-value service.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use lycheelatch_prelude::{Fence, NodeId};
use lycheelatch_provider::{CasOutcome, Entry, KeyValue, KvError, KvKey, LeaseId};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout};

/// Time after which a lease ends that is not renewed.
pub const LEASE_TTL: Duration = Duration::from_secs(15);

/// Time before the end of a lease from which its holder no longer relies on it.
pub const LEASE_MARGIN: Duration = Duration::from_secs(3);

/// Longest time from the sending of an order to its effect.
pub const MAX_ORDER_IN_FLIGHT: Duration = Duration::from_secs(20);

/// Longest wait for the key-value service.
const KV_TIMEOUT: Duration = Duration::from_secs(3);

/// The right to act for a service shard, as far as it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number of this tenure.
    pub fence: Fence,
    /// Time until which the holder may begin to act.
    pub until: Instant,
    /// Time from which upstreams that ignore fencing numbers may be given orders.
    pub unfenced_from: Instant,
}

/// What the lease's key holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseValue {
    node: NodeId,
    /// Whether the holder ended its tenure itself, with no order under way.
    released: bool,
}

#[derive(Debug, Clone)]
struct Held {
    lease: LeaseId,
    permit: Permit,
}

/// The lease on one service shard.
pub struct ShardLease {
    kv: Arc<dyn KeyValue>,
    node: NodeId,
    key: KvKey,
    held: Mutex<Option<Held>>,
}

impl ShardLease {
    /// Creates a lease that is not held.
    pub fn new(kv: Arc<dyn KeyValue>, node: NodeId, shard: &str) -> ShardLease {
        let key = KvKey::new(&format!("fleet/leases/{shard}"));
        ShardLease { kv, node, key, held: Mutex::default() }
    }

    /// Returns the right to act, if this node surely holds the lease at `now`.
    pub fn permit(&self, now: Instant) -> Option<Permit> {
        let held = self.held.lock().unwrap();
        held.as_ref().map(|held| held.permit).filter(|permit| now < permit.until)
    }

    /// Returns whether this node has a lease that it can try to renew.
    pub fn is_held(&self) -> bool {
        self.held.lock().unwrap().is_some()
    }

    /// Takes the lease if nobody holds it, and returns whether this node holds it now.
    pub async fn try_acquire(&self) -> Result<bool, KvError> {
        let before = self.read().await?;
        if before.as_ref().is_some_and(|entry| entry.lease.is_some()) {
            return Ok(false);
        }
        let sent = Instant::now();
        let lease = within(self.kv.grant_lease(LEASE_TTL)).await?;
        let acquired = self.acquire_with(&lease).await;
        let entry = match acquired {
            Ok(CasOutcome::Conflict) => None,
            Ok(CasOutcome::Written) => self.read().await?,
            // The write may have taken effect: what stands there decides.
            Err(err) if err.may_have_written() => self.read().await?,
            Err(err) => return Err(err),
        };
        match entry.filter(|entry| entry.lease.as_ref() == Some(&lease)) {
            Some(entry) => {
                self.begin_tenure(sent, lease, &entry, before.as_ref());
                Ok(true)
            }
            None => {
                let _lapses_anyway = within(self.kv.revoke_lease(&lease)).await;
                Ok(false)
            }
        }
    }

    /// Renews the lease; an ended one is given up.
    pub async fn renew(&self) -> Result<(), KvError> {
        let Some(Held { lease, .. }) = self.held.lock().unwrap().clone() else {
            return Err(KvError::LeaseEnded);
        };
        let sent = Instant::now();
        let result = within(self.kv.renew_lease(&lease)).await;
        let mut held = self.held.lock().unwrap();
        match &result {
            Ok(()) => {
                if let Some(held) = held.as_mut() {
                    held.permit.until = sent + LEASE_TTL - LEASE_MARGIN;
                }
            }
            Err(KvError::LeaseEnded) => *held = None,
            // Until its own clock ends it, the lease stands.
            Err(_) => {}
        }
        result
    }

    /// Hands the lease on; call it when no order is under way.
    pub async fn release(&self) -> Result<(), KvError> {
        let Some(Held { lease, permit }) = self.held.lock().unwrap().take() else {
            return Ok(());
        };
        let is_sure = Instant::now() < permit.until;
        if is_sure {
            let value = encode(&LeaseValue { node: self.node.clone(), released: true });
            within(self.kv.acquire(&self.key, value, &lease)).await?;
        }
        within(self.kv.revoke_lease(&lease)).await
    }

    async fn read(&self) -> Result<Option<Entry>, KvError> {
        within(self.kv.get(&self.key)).await
    }

    async fn acquire_with(&self, lease: &LeaseId) -> Result<CasOutcome, KvError> {
        let value = encode(&LeaseValue { node: self.node.clone(), released: false });
        within(self.kv.acquire(&self.key, value, lease)).await
    }

    fn begin_tenure(&self, sent: Instant, lease: LeaseId, entry: &Entry, before: Option<&Entry>) {
        let now = Instant::now();
        let is_clean = before.is_none_or(|entry| {
            serde_json::from_slice::<LeaseValue>(&entry.value).is_ok_and(|value| value.released)
        });
        let unfenced_from = if is_clean { now } else { now + MAX_ORDER_IN_FLIGHT };
        let fence = Fence(entry.version.0);
        let until = sent + LEASE_TTL - LEASE_MARGIN;
        log::info!("fleet: holding {} with fencing number {fence}.", self.key);
        let permit = Permit { fence, until, unfenced_from };
        *self.held.lock().unwrap() = Some(Held { lease, permit });
    }
}

fn encode(value: &LeaseValue) -> Bytes {
    // Writing plain structs to memory has no way to fail.
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Waits for the key-value service; silence is a lost answer.
pub(crate) async fn within<T>(
    call: impl Future<Output = Result<T, KvError>>,
) -> Result<T, KvError> {
    let lost = |_| KvError::AnswerLost { reason: "no answer in time".into() };
    timeout(KV_TIMEOUT, call).await.map_err(lost)?
}
