//! Wire types of kept answers that move between nodes.

use bytes::Bytes;
use lycheelatch_prelude::{
    Idempotency, Labels, Outcome, Priority, RequestId, ServiceName, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::{BufferedEvent, BufferedResponse, BufferedToken};

/// Asks a node for an answer that its caller takes up at another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ResumeAsk {
    pub(crate) id: RequestId,
    pub(crate) workspace: WorkspaceName,
}

/// Answers a [`ResumeAsk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ResumeReply {
    /// This node has no part of the answer.
    NotHere,
    /// The answer runs at this node and can't go on elsewhere.
    Running,
    /// What this node has of the answer.
    Kept(KeptAnswerWire),
}

/// Gives an answer to another node to keep.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HandoverAsk {
    pub(crate) id: RequestId,
    pub(crate) answer: KeptAnswerWire,
}

/// Answers a [`HandoverAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HandoverReply {
    /// The answer is kept.
    Taken,
    /// This node stops itself.
    Stopping,
}

/// A kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptAnswerWire {
    workspace: WorkspaceName,
    service: ServiceName,
    path: String,
    body: Vec<u8>,
    labels: Labels,
    priority: Priority,
    idempotency: Idempotency,
    is_one_text: bool,
    tokens: Vec<TokenWire>,
    others: Vec<EventWire>,
    outcome: Option<Outcome>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TokenWire {
    text: String,
    data: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct EventWire {
    after: u64,
    data: Vec<u8>,
}

/// Encodes a message.
pub(crate) fn encode<T: Serialize>(msg: &T) -> Bytes {
    postcard::to_stdvec(msg).map(Bytes::from).expect("plain data in memory encodes")
}

/// Decodes a message.
pub(crate) fn decode<'a, T: Deserialize<'a>>(msg: &'a [u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(msg)
}

impl From<BufferedResponse> for KeptAnswerWire {
    fn from(answer: BufferedResponse) -> KeptAnswerWire {
        KeptAnswerWire {
            workspace: answer.workspace,
            service: answer.service,
            path: answer.path.as_ref().to_owned(),
            body: answer.body.to_vec(),
            labels: answer.labels,
            priority: answer.priority,
            idempotency: answer.idempotency,
            is_one_text: answer.is_one_text,
            tokens: answer.tokens.into_iter().map(TokenWire::from).collect(),
            others: answer.other_events.into_iter().map(EventWire::from).collect(),
            outcome: answer.outcome,
        }
    }
}

impl From<KeptAnswerWire> for BufferedResponse {
    fn from(wire: KeptAnswerWire) -> BufferedResponse {
        BufferedResponse {
            workspace: wire.workspace,
            service: wire.service,
            path: wire.path.into(),
            body: wire.body.into(),
            labels: wire.labels,
            priority: wire.priority,
            idempotency: wire.idempotency,
            is_one_text: wire.is_one_text,
            tokens: wire.tokens.into_iter().map(BufferedToken::from).collect(),
            other_events: wire.others.into_iter().map(BufferedEvent::from).collect(),
            outcome: wire.outcome,
        }
    }
}

impl From<BufferedToken> for TokenWire {
    fn from(token: BufferedToken) -> TokenWire {
        TokenWire { text: token.text.as_ref().to_owned(), data: token.data.to_vec() }
    }
}

impl From<TokenWire> for BufferedToken {
    fn from(wire: TokenWire) -> BufferedToken {
        BufferedToken { text: wire.text.into(), data: wire.data.into() }
    }
}

impl From<BufferedEvent> for EventWire {
    fn from(event: BufferedEvent) -> EventWire {
        EventWire { after: event.preceding_tokens, data: event.data.to_vec() }
    }
}

impl From<EventWire> for BufferedEvent {
    fn from(wire: EventWire) -> BufferedEvent {
        BufferedEvent { preceding_tokens: wire.after, data: wire.data.into() }
    }
}
