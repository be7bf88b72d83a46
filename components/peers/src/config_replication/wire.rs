//! Messages for the replication of the configuration.

use bytes::Bytes;
use lycheelatch_config::{Delta, DeltaError, Snapshot};
use lycheelatch_prelude::Revision;
use serde::{Deserialize, Serialize};

use crate::PeerError;

/// Message to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A delta, sent by broadcast.
    Delta(EncodedDelta),
    /// Requests revisions newer than the sender's.
    Pull {
        /// Revision that the sender has applied.
        have: Revision,
    },
}

/// Response to [`Message::Pull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Response {
    /// The responding node is not ready and does not know the latest revision.
    NotReady,
    /// The requester is up to date; this is the responder's revision.
    NotNewer(Revision),
    /// The deltas up to the responder's revision, oldest first.
    Deltas(Vec<EncodedDelta>),
    /// The full configuration.
    Snapshot(Vec<u8>),
}

/// An encoded delta with its revisions, so that it can be forwarded without decoding it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EncodedDelta {
    /// Revision that the delta applies to.
    pub(crate) from: Revision,
    /// Revision that the delta produces.
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

impl Response {
    /// Returns a response with the full `snapshot`.
    pub(crate) fn full(snapshot: &Snapshot) -> Response {
        Response::Snapshot(snapshot.encode())
    }
}

/// Encodes a message or a response.
pub(crate) fn encode(wire: &impl Serialize) -> Bytes {
    postcard::to_allocvec(wire).unwrap_or_default().into()
}

/// Decodes a message or a response.
pub(crate) fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, PeerError> {
    postcard::from_bytes(bytes)
        .map_err(|err| PeerError::BadMessage { reason: err.to_string().into() })
}
