//! Forwards operations to the node that owns a shard.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_peers::{MemberState, PeerError, PeerHandler, PeerLink, Topic};
use lycheelatch_prelude::NodeId;
use lycheelatch_provider::KvError;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ops::{Op, Reply},
    queue::Queue,
    wire::{CommitFailure, OpWire, ReplyWire, decode, encode},
};

/// Result of forwarding an operation to another node.
pub(crate) enum Forwarded {
    /// The other node replied that the operation was committed or that the commit failed.
    Replied(Result<Reply, CommitFailure>),
    /// The operation was not delivered, so the other node can't have committed it.
    NotDelivered,
    /// No valid reply arrived; the other node may have committed the operation.
    ReplyLost,
}

/// Returns the node that owns `shard`, by rendezvous hashing over the members
/// that this node sees as alive, or `None` if this node owns it.
pub(crate) fn remote_owner(link: &dyn PeerLink, shard: u32) -> Option<NodeId> {
    let members = link.members();
    let others = members
        .0
        .values()
        .filter(|member| member.state == MemberState::Alive)
        .map(|member| &member.id);
    let weight = |id: &&NodeId| xxh3_64_with_seed(id.as_str().as_bytes(), u64::from(shard));
    let owner = others.chain([link.local()]).max_by_key(weight)?;
    (owner != link.local()).then(|| owner.clone())
}

/// Sends an operation to `owner` and waits at most `limit` for its reply.
pub(crate) async fn forward(
    link: &dyn PeerLink,
    owner: &NodeId,
    op: &Op,
    limit: Duration,
) -> Forwarded {
    let msg = encode(&OpWire::from(op));
    match link.call(owner, Topic::Claims, msg, limit).await {
        Ok(msg) => match decode::<ReplyWire>(&msg) {
            Ok(reply) => Forwarded::Replied(Reply::try_from(reply)),
            Err(_) => Forwarded::ReplyLost,
        },
        Err(PeerError::NotMember { .. } | PeerError::Connect { .. }) => Forwarded::NotDelivered,
        Err(PeerError::NoHandler { .. }) => Forwarded::NotDelivered,
        Err(_) => Forwarded::ReplyLost,
    }
}

/// Commits operations that other nodes forward.
pub(crate) struct Handler {
    pub(crate) queues: Arc<[Arc<Queue>]>,
    /// Timeout of a commit.
    pub(crate) max_wait: Duration,
}

#[async_trait(?Send)]
impl PeerHandler for Handler {
    async fn handle(&self, _from: &NodeId, msg: Bytes) -> Result<Bytes, PeerError> {
        let op = decode::<OpWire>(&msg).map(Op::from);
        let op = op.map_err(|err| PeerError::BadMessage { reason: err.to_string().into() })?;
        let shard = op.key.shard(self.queues.len() as u32);
        let limit = Instant::now() + self.max_wait;
        let reply = match self.queues[shard as usize].submit(op, limit).await {
            Ok(reply) => ReplyWire::from(&reply),
            Err(failure) => ReplyWire::from(&failure),
        };
        Ok(encode(&reply))
    }
}

/// Returns the failure of an operation that `owner` may or may not have committed.
pub(crate) fn reply_lost(owner: &NodeId) -> CommitFailure {
    let reason = format!("no valid response from node {owner}").into();
    CommitFailure { source: KvError::ResponseLost { reason }, may_have_written: true }
}
