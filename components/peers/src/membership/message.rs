//! Messages exchanged by the membership state machines of two nodes.

use std::net::SocketAddr;

use lycheelatch_prelude::{Incarnation, NodeId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, MemberState};

/// A node's description of itself; only the node itself increments its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identity of the node.
    pub id: NodeId,
    /// Address of its peer endpoint.
    pub addr: SocketAddr,
    /// Availability zone it runs in.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Incarnation of this record.
    pub incarnation: Incarnation,
    /// Whether the node is shutting down gracefully.
    pub leaving: bool,
}

impl MemberRecord {
    /// Returns the state that the node reports for itself.
    pub fn state(&self) -> MemberState {
        if self.leaving { MemberState::Leaving } else { MemberState::Alive }
    }
}

impl From<&Member> for MemberRecord {
    fn from(member: &Member) -> MemberRecord {
        MemberRecord {
            id: member.id.clone(),
            addr: member.addr,
            zone: member.zone.clone(),
            region: member.region.clone(),
            incarnation: member.incarnation,
            leaving: member.state == MemberState::Leaving,
        }
    }
}

impl From<MemberRecord> for Member {
    fn from(record: MemberRecord) -> Member {
        let state = record.state();
        Member {
            id: record.id,
            addr: record.addr,
            zone: record.zone,
            region: record.region,
            incarnation: record.incarnation,
            state,
        }
    }
}

/// A state change of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The member announced this record.
    Alive(MemberRecord),
    /// The member did not respond to a probe.
    Suspect {
        /// ID of the member.
        id: NodeId,
        /// Incarnation to which the suspicion applies.
        incarnation: Incarnation,
        /// Node whose probe failed.
        by: NodeId,
    },
    /// The member did not refute a suspicion in time, or left (`by` is then the member itself).
    Dead {
        /// ID of the member.
        id: NodeId,
        /// Incarnation to which the death applies.
        incarnation: Incarnation,
        /// Node that declared the member dead.
        by: NodeId,
    },
}

impl Update {
    /// Returns the ID of the updated member.
    pub fn id(&self) -> &NodeId {
        match self {
            Update::Alive(record) => &record.id,
            Update::Suspect { id, .. } | Update::Dead { id, .. } => id,
        }
    }
}

/// Digest of a node's table entry for one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Hash of the member's ID.
    pub id_hash: u64,
    /// Incarnation in the entry.
    pub incarnation: Incarnation,
    /// State in the entry.
    pub state: MemberState,
}

/// The request or response in a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Requests a [`MessageBody::Ack`].
    Ping {
        /// Sequence number of the probe.
        seq: u32,
        /// Incarnation and state of the receiver as the sender sees it.
        receiver_state: Option<(Incarnation, MemberState)>,
    },
    /// Acknowledges a ping, or that a relayed ping was acknowledged.
    Ack {
        /// Sequence number of the probe.
        seq: u32,
    },
    /// Requests that the receiver ping `target` on behalf of the sender.
    PingRequest {
        /// Sequence number of the sender's probe.
        seq: u32,
        /// Node to ping.
        target: NodeId,
        /// Address of the node to ping.
        addr: SocketAddr,
    },
    /// Reports that a relayed ping was sent but not acknowledged in time.
    Nack {
        /// Sequence number of the requester's probe.
        seq: u32,
    },
    /// Contains updates only.
    Gossip,
    /// Starts an anti-entropy exchange of the full member tables.
    Sync {
        /// Digest of the sender's member table.
        digest: Vec<MemberDigest>,
    },
    /// Answers a [`MessageBody::Sync`]; the updates are those that the receiver is missing.
    SyncResponse {
        /// ID hashes of the members for which the sender has no entry or an older one.
        requested: Vec<u64>,
    },
    /// Ends an anti-entropy exchange; the updates are those that the receiver requested.
    SyncPush,
}

impl MessageBody {
    /// Returns the message kind used as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            MessageBody::Ping { .. } => "ping",
            MessageBody::Ack { .. } => "ack",
            MessageBody::PingRequest { .. } => "ping_request",
            MessageBody::Nack { .. } => "nack",
            MessageBody::Gossip => "gossip",
            MessageBody::Sync { .. } => "sync",
            MessageBody::SyncResponse { .. } => "sync_answer",
            MessageBody::SyncPush => "sync_push",
        }
    }

    /// Returns whether the message is part of an anti-entropy exchange.
    pub fn is_sync(&self) -> bool {
        matches!(
            self,
            MessageBody::Sync { .. } | MessageBody::SyncResponse { .. } | MessageBody::SyncPush
        )
    }
}

/// One message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Digest of the members that the sender considers live.
    pub view_digest: u64,
    /// State changes that the message distributes.
    pub updates: Vec<Update>,
    /// Request or response.
    pub body: MessageBody,
}

/// Destination of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// A node with a known ID; without an address, only an open connection can be used.
    Node(NodeId, Option<SocketAddr>),
    /// The node at an address, whose ID is not known.
    Addr(SocketAddr),
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination of the message.
    pub to: Destination,
    /// Whether to send over a new connection because the open one may have failed.
    pub new_connection: bool,
    /// The message to send.
    pub msg: Message,
}

/// Returns the hash that identifies a node in digests.
pub(crate) fn id_hash(id: &NodeId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// Returns the precedence of a state within one incarnation; the higher one wins.
pub(crate) fn precedence(state: MemberState) -> u8 {
    match state {
        MemberState::Alive | MemberState::Leaving => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
    }
}
