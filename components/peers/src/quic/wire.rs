//! Frames on the connections between nodes.
//!
//! A datagram contains a [`Control`]. A unidirectional stream contains a
//! [`Control`] or a broadcast message, a bidirectional one a request and its
//! response. A payload follows its header without a length prefix, up to the
//! end of the stream.

use std::sync::Arc;

use bytes::Bytes;
use lycheelatch_prelude::NodeId;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Message, PeerError, Topic};

/// Maximum size of a message on a stream, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of a message without a payload, in bytes.
pub(crate) const MAX_HEADER_BYTES: usize = 1024;

/// A membership message.
pub(crate) type Control = Message;

/// Header of a unidirectional stream.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum UniHeader {
    /// A membership message that is too large for a datagram follows.
    Control,
    /// A broadcast message follows.
    Broadcast(BroadcastHeader),
}

/// Header of a broadcast message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct BroadcastHeader {
    /// Random number that identifies the message together with `origin`.
    pub(crate) id: u64,
    /// Node that sent the broadcast.
    pub(crate) origin: NodeId,
    /// Topic of the message.
    pub(crate) topic: Topic,
}

/// Header of a bidirectional stream.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Identifies the sender; must be sent on the first stream of a connection.
    Hello(Hello),
    /// A message to a handler follows.
    Call(Topic),
    /// Requests an empty response, to check whether the connection works.
    Echo,
}

/// Identifies a node on a new connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// ID of the node.
    pub(crate) node: NodeId,
}

/// Header of the response to a [`Request::Call`] or [`Request::Echo`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Response {
    /// The handler's response follows.
    Done,
    /// No handler is registered for the topic.
    NoHandler(Topic),
    /// The message could not be decoded.
    BadMessage(Arc<str>),
    /// The handler rejected the message or failed.
    Rejected(Arc<str>),
}

impl From<PeerError> for Response {
    fn from(err: PeerError) -> Response {
        match err {
            PeerError::NoHandler { topic } => Response::NoHandler(topic),
            PeerError::BadMessage { reason } => Response::BadMessage(reason),
            PeerError::Rejected { reason } => Response::Rejected(reason),
            other => Response::Rejected(other.to_string().into()),
        }
    }
}

impl Response {
    /// Converts the response and its `payload` to the result of a call.
    pub(crate) fn into_result(self, payload: Bytes) -> Result<Bytes, PeerError> {
        match self {
            Response::Done => Ok(payload),
            Response::NoHandler(topic) => Err(PeerError::NoHandler { topic }),
            Response::BadMessage(reason) => Err(PeerError::BadMessage { reason }),
            Response::Rejected(reason) => Err(PeerError::Rejected { reason }),
        }
    }
}

/// Encodes a header, followed by the payload.
///
/// Encoding can't fail, because postcard rejects only maps and sequences of
/// unknown length and the wire types contain neither.
pub(crate) fn encode(header: &impl Serialize, payload: &[u8]) -> Bytes {
    let mut buf = postcard::to_allocvec(header).unwrap_or_default();
    buf.extend_from_slice(payload);
    buf.into()
}

/// Splits a frame into its decoded header and the payload.
pub(crate) fn decode<T: DeserializeOwned>(frame: &Bytes) -> Result<(T, Bytes), PeerError> {
    match postcard::take_from_bytes::<T>(frame) {
        Ok((header, payload)) => Ok((header, frame.slice_ref(payload))),
        Err(err) => Err(PeerError::BadMessage { reason: err.to_string().into() }),
    }
}
