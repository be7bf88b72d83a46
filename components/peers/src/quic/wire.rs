//! Frames on the connections between nodes.
//!
//! A datagram holds a [`Control`]. A one-way stream holds a [`Control`] or a
//! spread message, a two-way one a request and its answer. A payload follows
//! its header without a length, up to the end of the stream.

use std::sync::Arc;

use bytes::Bytes;
use lycheelatch_prelude::NodeId;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Message, PeerError, Topic};

/// Largest message to a handler, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Largest header of a stream, in bytes.
pub(crate) const MAX_HEADER_BYTES: usize = 1024;

/// A message between the memberships of two nodes.
pub(crate) type Control = Message;

/// Header of a one-way stream.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum OneWay {
    /// A membership message that is too large for a datagram follows.
    Control,
    /// A spread message follows.
    Spread(SpreadHeader),
}

/// Header of a spread message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SpreadHeader {
    /// Number that tells this message from others, chosen at random.
    pub(crate) id: u64,
    /// Node that spread it first.
    pub(crate) origin: NodeId,
    /// What it is about.
    pub(crate) topic: Topic,
}

/// Header of a two-way stream.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Says who the sender is; the first stream of a connection.
    Hello(Hello),
    /// A message to a handler follows.
    Call(Topic),
    /// Asks for an empty answer, to see whether the connection works.
    Echo,
}

/// What a node says of itself on a new connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Identity of the node.
    pub(crate) node: NodeId,
}

/// Header of the answer to a call.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The handler's answer follows.
    Done,
    /// Nothing handles the topic.
    NoHandler(Topic),
    /// The message could not be read.
    BadMessage(Arc<str>),
    /// The handler refused or failed.
    Refused(Arc<str>),
}

impl From<PeerError> for Answer {
    fn from(err: PeerError) -> Answer {
        match err {
            PeerError::NoHandler { topic } => Answer::NoHandler(topic),
            PeerError::BadMessage { reason } => Answer::BadMessage(reason),
            PeerError::Refused { reason } => Answer::Refused(reason),
            other => Answer::Refused(other.to_string().into()),
        }
    }
}

impl Answer {
    /// Returns the result of a call that was answered with this and `payload`.
    pub(crate) fn into_result(self, payload: Bytes) -> Result<Bytes, PeerError> {
        match self {
            Answer::Done => Ok(payload),
            Answer::NoHandler(topic) => Err(PeerError::NoHandler { topic }),
            Answer::BadMessage(reason) => Err(PeerError::BadMessage { reason }),
            Answer::Refused(reason) => Err(PeerError::Refused { reason }),
        }
    }
}

/// Encodes a header with the payload that follows it.
///
/// The wire types hold no map and no sequence of unknown length, the only
/// shapes that the codec refuses, so that it can't fail here.
pub(crate) fn encode(header: &impl Serialize, payload: &[u8]) -> Bytes {
    let mut buf = postcard::to_allocvec(header).unwrap_or_default();
    buf.extend_from_slice(payload);
    buf.into()
}

/// Splits a frame into its header and the payload that follows.
pub(crate) fn decode<T: DeserializeOwned>(frame: &Bytes) -> Result<(T, Bytes), PeerError> {
    match postcard::take_from_bytes::<T>(frame) {
        Ok((header, payload)) => Ok((header, frame.slice_ref(payload))),
        Err(err) => Err(PeerError::BadMessage { reason: err.to_string().into() }),
    }
}
