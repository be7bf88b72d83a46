//! The interface for messages between nodes.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_prelude::NodeId;
use serde::{Deserialize, Serialize};

use crate::Members;

/// Subject of a message between nodes; each topic has one handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// Revisions of the configuration.
    Config,
    /// Reclaim notices and their withdrawals.
    Reclaim,
    /// Requests that are handed over from one node to another.
    Handover,
    /// Load reports of upstreams.
    Load,
    /// Response streams that a caller resumes at another node.
    Resume,
    /// Claims of idempotency keys, sent to the node that commits for the key's shard.
    Claims,
    /// Requests under which upstreams crashed.
    Crashes,
}

/// Why a message to another node failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PeerError {
    /// node {node} is not a member
    NotMember {
        /// Destination of the message.
        node: NodeId,
    },
    /// no connection to node {node}: {reason}
    Connect {
        /// Destination of the message.
        node: NodeId,
        /// Cause of the failure.
        reason: Arc<str>,
    },
    /// no response from node {node}, which may have processed the message: {reason}
    ResponseLost {
        /// Destination of the message.
        node: NodeId,
        /// Cause of the failure.
        reason: Arc<str>,
    },
    /// no handler is registered for topic {topic:?}
    NoHandler {
        /// Topic of the message.
        topic: Topic,
    },
    /// failed to decode the message: {reason}
    BadMessage {
        /// Error of the decoder.
        reason: Arc<str>,
    },
    /// the handler rejected the message: {reason}
    Rejected {
        /// Reason given by the handler.
        reason: Arc<str>,
    },
}

impl std::error::Error for PeerError {}

/// Handles the messages of one topic.
#[async_trait(?Send)]
pub trait PeerHandler: Send + Sync {
    /// Processes a message and returns the response; that of a broadcast is discarded.
    ///
    /// # Errors
    /// Fails if the message can't be decoded or processed.
    async fn handle(&self, from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError>;
}

/// Sends messages to other nodes.
#[async_trait(?Send)]
pub trait PeerLink: Send + Sync {
    /// Returns the ID of the local node.
    fn local(&self) -> &NodeId;

    /// Returns the members currently known to the local node.
    fn members(&self) -> Arc<Members>;

    /// Registers the handler of a topic and replaces an earlier one.
    fn register(&self, topic: Topic, handler: Arc<dyn PeerHandler>);

    /// Sends a message to one node and waits up to `timeout` for the response.
    ///
    /// # Errors
    /// Fails if the node can't be reached, does not respond in time or rejects the message.
    async fn call(
        &self,
        to: &NodeId,
        topic: Topic,
        msg: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, PeerError>;

    /// Broadcasts a message to every node, best effort, within about a second.
    ///
    /// A handler may receive a message several times, out of order, or not at
    /// all if its node is partitioned from the cluster. Each topic needs its own
    /// anti-entropy to recover lost messages.
    fn broadcast(&self, topic: Topic, msg: Bytes);
}
