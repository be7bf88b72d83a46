//! Messages between nodes about reclaims, as they go over the link.
//!
//! Nodes share no clock, so that times are sent as what is left of them.

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_prelude::{InstanceId, Sequence};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use crate::{
    Ask,
    leaving::{FORGET_AFTER, Record, Stamp, Standing},
};

/// Why a message about reclaims can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WireError {
    /// the message about reclaims can't be read: {0}
    Unreadable(postcard::Error),
}

impl std::error::Error for WireError {}

/// A message about reclaims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Statements that were new to the sender.
    Records(Vec<WireRecord>),
    /// The sender's digest; the answer holds what differs.
    Digest(Vec<u64>),
    /// The sender's streams on a leaving runner; the answer holds its part of the plan.
    Ask(Ask),
}

/// One statement about an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireRecord {
    instance: InstanceId,
    sequence: u64,
    local: u32,
    leaving: bool,
    /// Time until the deadline, or since it if negative, in milliseconds.
    remaining_ms: i64,
}

impl WireRecord {
    pub(crate) fn new(record: &Record, now: Instant) -> WireRecord {
        WireRecord {
            instance: record.instance.clone(),
            sequence: record.stamp.sequence.0,
            local: record.stamp.local,
            leaving: record.standing == Standing::Leaving,
            remaining_ms: signed_millis(record.deadline, now),
        }
    }

    /// Reads the statement; `None` if its deadline is too long ago to matter.
    pub(crate) fn into_record(self, now: Instant) -> Option<Record> {
        let stamp = Stamp { sequence: Sequence(self.sequence), local: self.local };
        let standing = if self.leaving { Standing::Leaving } else { Standing::Staying };
        let since = Duration::from_millis(self.remaining_ms.min(0).unsigned_abs());
        if since >= FORGET_AFTER {
            return None;
        }
        let left = Duration::from_millis(self.remaining_ms.max(0).unsigned_abs());
        let deadline = now.checked_sub(since)?.checked_add(left)?;
        Some(Record { instance: self.instance, stamp, standing, deadline })
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
    // Writing plain structs to memory has no way to fail.
    postcard::to_stdvec(value).unwrap_or_default().into()
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    postcard::from_bytes(bytes).map_err(WireError::Unreadable)
}
