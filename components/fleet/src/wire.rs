//! Messages about leaving instances, as exchanged between nodes.
//!
//! Nodes have no common clock, so points in time are sent as remaining durations.

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_prelude::{InstanceId, Sequence};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use crate::{
    PlanRequest,
    leaving::{InstanceRecord, InstanceStatus, RECORD_RETENTION, RecordVersion},
};

/// Reason why a message can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WireError {
    /// invalid message about leaving instances: {0}
    Decode(postcard::Error),
}

impl std::error::Error for WireError {}

/// A message about leaving instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Records that were new to the sender.
    Records(Vec<WireRecord>),
    /// Digest of the sender; the reply contains the records that differ.
    Digest(Vec<u64>),
    /// Streams of the sender on a leaving runner; the reply contains the plan for them.
    PlanRequest(PlanRequest),
}

/// A record about one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireRecord {
    instance: InstanceId,
    sequence: u64,
    local: u32,
    leaving: bool,
    /// Time until the deadline in milliseconds; negative if the deadline has passed.
    remaining_ms: i64,
}

impl WireRecord {
    pub(crate) fn new(record: &InstanceRecord, now: Instant) -> WireRecord {
        WireRecord {
            instance: record.instance.clone(),
            sequence: record.version.sequence.0,
            local: record.version.local,
            leaving: record.status == InstanceStatus::Leaving,
            remaining_ms: signed_millis(record.deadline, now),
        }
    }

    /// Converts to a record; `None` if its retention time has passed or the deadline overflows.
    pub(crate) fn into_record(self, now: Instant) -> Option<InstanceRecord> {
        let version = RecordVersion { sequence: Sequence(self.sequence), local: self.local };
        let status = if self.leaving { InstanceStatus::Leaving } else { InstanceStatus::Staying };
        let since = Duration::from_millis(self.remaining_ms.min(0).unsigned_abs());
        if since >= RECORD_RETENTION {
            return None;
        }
        let left = Duration::from_millis(self.remaining_ms.max(0).unsigned_abs());
        let deadline = now.checked_sub(since)?.checked_add(left)?;
        Some(InstanceRecord { instance: self.instance, version, status, deadline })
    }
}

fn signed_millis(deadline: Instant, now: Instant) -> i64 {
    let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    match deadline.checked_duration_since(now) {
        Some(left) => millis(left),
        None => -millis(now.duration_since(deadline)),
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    // Serializing plain structs to memory can't fail.
    postcard::to_stdvec(value).unwrap_or_default().into()
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    postcard::from_bytes(bytes).map_err(WireError::Decode)
}
