//! Messages about revisions of the configuration.

use bytes::Bytes;
use lycheelatch_config::{Delta, DeltaError, Snapshot};
use lycheelatch_prelude::Revision;
use serde::{Deserialize, Serialize};

use crate::PeerError;

/// Asks for or brings revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Brings what led to a revision; is spread.
    Delta(EncodedDelta),
    /// Asks for what is newer than the sender's revision.
    Pull {
        /// Revision that the sender has in force.
        have: Revision,
    },
}

/// Answers [`Message::Pull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The answering node is not ready and knows no revision.
    Unknown,
    /// The asker's revision is as high as this one, or higher.
    NotNewer(Revision),
    /// What leads to the answering node's revision, oldest first.
    Deltas(Vec<EncodedDelta>),
    /// The whole configuration.
    Snapshot(Vec<u8>),
}

/// A delta with its ends in the clear, so that it can be passed on unread.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EncodedDelta {
    /// Revision that the delta applies to.
    pub(crate) from: Revision,
    /// Revision that it leads to.
    pub(crate) to: Revision,
    bytes: Vec<u8>,
}

impl From<&Delta> for EncodedDelta {
    fn from(delta: &Delta) -> EncodedDelta {
        EncodedDelta { from: delta.from, to: delta.to, bytes: delta.encode() }
    }
}

impl TryFrom<&EncodedDelta> for Delta {
    type Error = DeltaError;

    fn try_from(wire: &EncodedDelta) -> Result<Delta, DeltaError> {
        Delta::decode(&wire.bytes)
    }
}

impl EncodedDelta {
    /// Returns the size of the encoded delta, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }
}

impl Answer {
    /// Returns the answer that brings `snapshot` whole.
    pub(crate) fn whole(snapshot: &Snapshot) -> Answer {
        Answer::Snapshot(snapshot.encode())
    }
}

/// Encodes a message or an answer.
pub(crate) fn encode(wire: &impl Serialize) -> Bytes {
    postcard::to_allocvec(wire).unwrap_or_default().into()
}

/// Decodes a message or an answer.
pub(crate) fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, PeerError> {
    postcard::from_bytes(bytes)
        .map_err(|err| PeerError::BadMessage { reason: err.to_string().into() })
}
