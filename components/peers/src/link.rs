//! The border between nodes.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_prelude::NodeId;
use serde::{Deserialize, Serialize};

use crate::Members;

/// What a message between nodes is about; each topic has one handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// Revisions of the configuration.
    Config,
    /// Reclaim notices and their withdrawal.
    Reclaim,
    /// Requests that move from one node to another.
    Handover,
    /// Load of upstreams.
    Load,
    /// Answers that a caller takes up again at another node.
    Resume,
    /// Claims of idempotency keys, sent to the node that commits for their shard.
    Claims,
}

/// Why a message to another node failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PeerError {
    /// node {node} is not a member
    NotMember {
        /// Node that was addressed.
        node: NodeId,
    },
    /// no connection to node {node}: {reason}
    Connect {
        /// Node that was addressed.
        node: NodeId,
        /// What was seen.
        reason: Arc<str>,
    },
    /// node {node} did not answer; it may have acted on the message: {reason}
    ResponseLost {
        /// Node that was addressed.
        node: NodeId,
        /// What was seen.
        reason: Arc<str>,
    },
    /// no handler for {topic:?} here
    NoHandler {
        /// Topic of the message.
        topic: Topic,
    },
    /// the message can't be read: {reason}
    BadMessage {
        /// What is wrong with it.
        reason: Arc<str>,
    },
    /// the handler refused the message: {reason}
    Refused {
        /// Why it refused.
        reason: Arc<str>,
    },
}

impl std::error::Error for PeerError {}

/// Takes the messages of one topic.
#[async_trait(?Send)]
pub trait PeerHandler: Send + Sync {
    /// Acts on a message and returns the answer, which is empty for a spread one.
    async fn handle(&self, from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError>;
}

/// Sends messages to other nodes.
#[async_trait(?Send)]
pub trait PeerLink: Send + Sync {
    /// Returns the identity of this node.
    fn local(&self) -> &NodeId;

    /// Returns what this node knows of the others now.
    fn members(&self) -> Arc<Members>;

    /// Registers the handler of a topic, in place of an earlier one.
    fn register(&self, topic: Topic, handler: Arc<dyn PeerHandler>);

    /// Sends a message to one node and waits for the answer, `timeout` at most.
    async fn call(
        &self,
        to: &NodeId,
        topic: Topic,
        msg: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, PeerError>;

    /// Spreads a message to every node, best effort, within about a second.
    ///
    /// A message reaches a handler once or more, in any order, or not at all
    /// where nodes are cut off; the topic's own anti-entropy makes up for it.
    fn broadcast(&self, topic: Topic, msg: Bytes);
}
