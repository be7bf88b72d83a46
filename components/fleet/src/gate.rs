//! Keeps two holders from giving orders to an engine that ignores fencing numbers.
//!
//! Such an engine can't tell an order of an old holder from a new one, and a
//! holder may be paused for any time between its last check and the sending.
//! So each order is entered under the engine's key before it is sent and
//! struck out when it is answered. A later holder gives no order while an
//! earlier one's is entered; and once a later holder has entered one, the
//! earlier holder's number is refused here.

use std::sync::Arc;

use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_prelude::{Fence, UpstreamId};
use lycheelatch_provider::{CasOutcome, Entry, KeyValue, KvError, KvKey};
use serde::{Deserialize, Serialize};

use crate::lease::within;

/// Why an order may not be given to an engine that ignores fencing numbers.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum GateError {
    /// a holder with the later fencing number {0} has given orders
    Superseded(Fence),
    /// an order with the earlier fencing number {0} may still arrive
    Blocked(Fence),
    /// another call changed the engine's entry at the same time
    Contended,
    /// the engine's entry can't be read
    Unreadable,
    /// {0}
    Kv(KvError),
}

impl std::error::Error for GateError {}

impl From<KvError> for GateError {
    fn from(err: KvError) -> GateError {
        GateError::Kv(err)
    }
}

/// What an engine's key holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct GateValue {
    fence: Fence,
    /// Whether an order with this number may be under way.
    open: bool,
}

/// Enters and strikes out orders in the key-value service.
pub struct OrderGate {
    kv: Arc<dyn KeyValue>,
}

impl OrderGate {
    /// Creates the gate.
    pub fn new(kv: Arc<dyn KeyValue>) -> OrderGate {
        OrderGate { kv }
    }

    /// Enters an order, before it is sent.
    pub async fn open(&self, upstream: &UpstreamId, fence: Fence) -> Result<(), GateError> {
        let before = self.read(upstream).await?;
        if let Some((_, value)) = &before {
            check(*value, fence)?;
        }
        self.write(upstream, before.map(|(entry, _)| entry), GateValue { fence, open: true }).await
    }

    /// Strikes an order out, once none with this number can still arrive.
    pub async fn close(&self, upstream: &UpstreamId, fence: Fence) -> Result<(), GateError> {
        let Some((entry, value)) = self.read(upstream).await? else {
            return Ok(());
        };
        if value != (GateValue { fence, open: true }) {
            return Ok(());
        }
        self.write(upstream, Some(entry), GateValue { fence, open: false }).await
    }

    async fn read(&self, upstream: &UpstreamId) -> Result<Option<(Entry, GateValue)>, GateError> {
        let Some(entry) = within(self.kv.get(&key(upstream))).await? else {
            return Ok(None);
        };
        let value = serde_json::from_slice(&entry.value).map_err(|_| GateError::Unreadable)?;
        Ok(Some((entry, value)))
    }

    async fn write(
        &self,
        upstream: &UpstreamId,
        before: Option<Entry>,
        value: GateValue,
    ) -> Result<(), GateError> {
        let expected = before.map(|entry| entry.version);
        let bytes = Bytes::from(serde_json::to_vec(&value).unwrap_or_default());
        let key = key(upstream);
        let write = self.kv.compare_and_swap(&key, expected, bytes);
        match within(write).await {
            Ok(CasOutcome::Written) => Ok(()),
            Ok(CasOutcome::Conflict) => Err(GateError::Contended),
            // Whoever wrote it, an entry with this number lets this holder act.
            Err(err) if err.may_have_written() => match self.read(upstream).await? {
                Some((_, stands)) if stands == value => Ok(()),
                _ => Err(err.into()),
            },
            Err(err) => Err(err.into()),
        }
    }
}

fn check(value: GateValue, fence: Fence) -> Result<(), GateError> {
    if value.fence > fence {
        return Err(GateError::Superseded(value.fence));
    }
    if value.open && value.fence < fence {
        return Err(GateError::Blocked(value.fence));
    }
    Ok(())
}

fn key(upstream: &UpstreamId) -> KvKey {
    KvKey::new(&format!("fleet/orders/{upstream}"))
}
