//! Sends operations to the node that commits for a shard.

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

/// What became of an operation that was sent to another node.
pub(crate) enum Forwarded {
    /// The other node committed it, or found that it can't be.
    Answered(Result<Reply, CommitFailure>),
    /// The other node can't have committed it.
    NotSent,
    /// The other node may have committed it.
    AnswerLost,
}

/// Returns the node that commits for `shard`, by rendezvous hashing over the
/// live nodes that this one knows, or `None` for this node itself.
pub(crate) fn home(link: &dyn PeerLink, shard: u32) -> Option<NodeId> {
    let members = link.members();
    let others = members
        .0
        .values()
        .filter(|member| member.state == MemberState::Alive)
        .map(|member| &member.id);
    let weight = |id: &&NodeId| xxh3_64_with_seed(id.as_str().as_bytes(), u64::from(shard));
    let best = others.chain([link.local()]).max_by_key(weight)?;
    (best != link.local()).then(|| best.clone())
}

/// Sends an operation to `home` and waits for its reply, `limit` at most.
pub(crate) async fn forward(
    link: &dyn PeerLink,
    home: &NodeId,
    op: &Op,
    limit: Duration,
) -> Forwarded {
    let msg = encode(&OpWire::from(op));
    match link.call(home, Topic::Claims, msg, limit).await {
        Ok(answer) => match decode::<ReplyWire>(&answer) {
            Ok(reply) => Forwarded::Answered(Reply::try_from(reply)),
            Err(_) => Forwarded::AnswerLost,
        },
        Err(PeerError::NotMember { .. } | PeerError::Connect { .. }) => Forwarded::NotSent,
        Err(PeerError::NoHandler { .. }) => Forwarded::NotSent,
        Err(_) => Forwarded::AnswerLost,
    }
}

/// Commits the operations that other nodes send.
pub(crate) struct Handler {
    /// Queues of all shards.
    pub(crate) queues: Arc<[Arc<Queue>]>,
    /// Longest wait for a commit.
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

/// The failure of an operation whose fate at another node is not known.
pub(crate) fn lost_at(home: &NodeId) -> CommitFailure {
    let reason = format!("node {home} did not answer").into();
    CommitFailure { source: KvError::ResponseLost { reason }, may_have_written: true }
}
