//! The cluster members as one node sees them.

use std::{collections::BTreeMap, net::SocketAddr};

use lycheelatch_prelude::{Incarnation, NodeId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};

/// State of a member as one node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Did not respond to a probe; declared dead unless it refutes the suspicion in time.
    Suspect,
    /// Shuts down gracefully; accepts no new work.
    Leaving,
    /// Failed, or left the cluster.
    Dead,
}

/// One node of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the node.
    pub id: NodeId,
    /// Address of its peer endpoint.
    pub addr: SocketAddr,
    /// Availability zone it runs in.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Incarnation to which the state applies.
    pub incarnation: Incarnation,
    /// State as the observing node sees it.
    pub state: MemberState,
}

/// The members known to one node, including the node itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members(pub BTreeMap<NodeId, Member>);

impl Members {
    /// Returns the members that accept new work: those alive or suspect.
    pub fn usable(&self) -> impl Iterator<Item = &Member> {
        self.0.values().filter(|m| matches!(m.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Returns the number of members that accept new work.
    pub fn usable_count(&self) -> usize {
        self.usable().count()
    }
}
