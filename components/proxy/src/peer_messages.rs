//! Messages with which nodes look up and hand over buffered responses.

use bytes::Bytes;
use lycheelatch_prelude::{
    Idempotency, Labels, Outcome, Priority, RequestId, ServiceName, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::{BufferedEvent, BufferedResponse, BufferedToken};

/// Requests the buffered response of a stream that is resumed on another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ResumeRequest {
    pub(crate) id: RequestId,
    pub(crate) workspace: WorkspaceName,
}

/// Reply to a [`ResumeRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ResumeReply {
    /// This node has no buffered response for the request.
    NotFound,
    /// The response is running on this node and is not resumable.
    Running,
    /// The response as buffered by this node.
    Found(WireResponse),
}

/// Transfers a buffered response to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HandoverRequest {
    pub(crate) id: RequestId,
    pub(crate) response: WireResponse,
}

/// Reply to a [`HandoverRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HandoverReply {
    /// The response has been buffered.
    Accepted,
    /// This node is stopping and accepts no responses.
    Stopping,
}

/// Encoding of a [`BufferedResponse`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireResponse {
    workspace: WorkspaceName,
    service: ServiceName,
    path: String,
    body: Vec<u8>,
    labels: Labels,
    priority: Priority,
    idempotency: Idempotency,
    is_single_text: bool,
    tokens: Vec<WireToken>,
    other_events: Vec<WireEvent>,
    outcome: Option<Outcome>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct WireToken {
    text: String,
    data: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct WireEvent {
    preceding_tokens: u64,
    data: Vec<u8>,
}

pub(crate) fn encode<T: Serialize>(msg: &T) -> Bytes {
    postcard::to_stdvec(msg).map(Bytes::from).expect("postcard encodes any in-memory data")
}

pub(crate) fn decode<'a, T: Deserialize<'a>>(msg: &'a [u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(msg)
}

impl From<BufferedResponse> for WireResponse {
    fn from(response: BufferedResponse) -> WireResponse {
        WireResponse {
            workspace: response.workspace,
            service: response.service,
            path: response.path.as_ref().to_owned(),
            body: response.body.to_vec(),
            labels: response.labels,
            priority: response.priority,
            idempotency: response.idempotency,
            is_single_text: response.is_single_text,
            tokens: response.tokens.into_iter().map(WireToken::from).collect(),
            other_events: response.other_events.into_iter().map(WireEvent::from).collect(),
            outcome: response.outcome,
        }
    }
}

impl From<WireResponse> for BufferedResponse {
    fn from(wire: WireResponse) -> BufferedResponse {
        BufferedResponse {
            workspace: wire.workspace,
            service: wire.service,
            path: wire.path.into(),
            body: wire.body.into(),
            labels: wire.labels,
            priority: wire.priority,
            idempotency: wire.idempotency,
            is_single_text: wire.is_single_text,
            tokens: wire.tokens.into_iter().map(BufferedToken::from).collect(),
            other_events: wire.other_events.into_iter().map(BufferedEvent::from).collect(),
            outcome: wire.outcome,
        }
    }
}

impl From<BufferedToken> for WireToken {
    fn from(token: BufferedToken) -> WireToken {
        WireToken { text: token.text.as_ref().to_owned(), data: token.data.to_vec() }
    }
}

impl From<WireToken> for BufferedToken {
    fn from(wire: WireToken) -> BufferedToken {
        BufferedToken { text: wire.text.into(), data: wire.data.into() }
    }
}

impl From<BufferedEvent> for WireEvent {
    fn from(event: BufferedEvent) -> WireEvent {
        WireEvent { preceding_tokens: event.preceding_tokens, data: event.data.to_vec() }
    }
}

impl From<WireEvent> for BufferedEvent {
    fn from(wire: WireEvent) -> BufferedEvent {
        BufferedEvent { preceding_tokens: wire.preceding_tokens, data: wire.data.into() }
    }
}
