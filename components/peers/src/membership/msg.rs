//! Messages between the membership state machines of two nodes.

use std::net::SocketAddr;

use lycheelatch_prelude::{Incarnation, NodeId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, MemberState};

/// What a node says of itself; only the node itself raises its incarnation.
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
    /// Whether the node stops in good order.
    pub leaving: bool,
}

impl MemberRecord {
    /// Returns the state that the node claims for itself.
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

/// News of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The member said this of itself.
    Alive(MemberRecord),
    /// The member did not answer a probe.
    Suspect {
        /// The member.
        id: NodeId,
        /// Incarnation that the suspicion is about.
        incarnation: Incarnation,
        /// Node that probed it.
        by: NodeId,
    },
    /// The member did not refute a suspicion in time, or left (`by` itself).
    Dead {
        /// The member.
        id: NodeId,
        /// Incarnation that ended.
        incarnation: Incarnation,
        /// Node that decided it.
        by: NodeId,
    },
}

impl Update {
    /// Returns the member that the update is about.
    pub fn id(&self) -> &NodeId {
        match self {
            Update::Alive(record) => &record.id,
            Update::Suspect { id, .. } | Update::Dead { id, .. } => id,
        }
    }
}

/// Short form of what a node holds of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Hash of the member's identity.
    pub id_hash: u64,
    /// Incarnation held.
    pub incarnation: Incarnation,
    /// State held.
    pub state: MemberState,
}

/// What a message asks for or answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks for an [`MessageBody::Ack`].
    Ping {
        /// Number of the probe.
        seq: u32,
        /// How the sender sees the receiver.
        receiver_state: Option<(Incarnation, MemberState)>,
    },
    /// Answers a ping, perhaps for a third node.
    Ack {
        /// Number of the probe.
        seq: u32,
    },
    /// Asks the receiver to ping `target` for the sender.
    PingRequest {
        /// Number of the sender's probe.
        seq: u32,
        /// Node to ping.
        target: NodeId,
        /// Address of the node to ping.
        addr: SocketAddr,
    },
    /// The node that was asked to ping is well, but its ping was not answered.
    Nack {
        /// Number of the asker's probe.
        seq: u32,
    },
    /// Carries updates only.
    Gossip,
    /// Starts a comparison of everything held.
    Sync {
        /// What the sender holds.
        digest: Vec<MemberDigest>,
    },
    /// Answers a comparison; the updates are what the receiver lacks.
    SyncResponse {
        /// Hashes of the members that the sender lacks or holds in an older form.
        requested: Vec<u64>,
    },
    /// Ends a comparison; the updates are what the receiver requested.
    SyncPush,
}

impl MessageBody {
    /// Returns the kind as a label for metrics.
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

    /// Returns whether the updates answer a comparison of everything held.
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
    /// Digest of the members that the sender takes for live.
    pub view_digest: u64,
    /// News that travels along.
    pub updates: Vec<Update>,
    /// What the message asks for or answers.
    pub body: MessageBody,
}

/// Whom a message goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// A node whose identity is known; without an address, over its open connection.
    Node(NodeId, Option<SocketAddr>),
    /// Whichever node answers at an address.
    Addr(SocketAddr),
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Whom it goes to.
    pub to: Destination,
    /// Whether the open connection is under doubt, so that a new one is to be tried.
    pub new_connection: bool,
    /// The message.
    pub msg: Message,
}

/// Returns the hash that stands for a node's identity.
pub(crate) fn id_hash(id: &NodeId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// Returns the order of states within one incarnation: the higher one wins.
pub(crate) fn rank(state: MemberState) -> u8 {
    match state {
        MemberState::Alive | MemberState::Leaving => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
    }
}
