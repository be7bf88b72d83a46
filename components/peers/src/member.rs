//! What one node knows of the others.

use std::{collections::BTreeMap, net::SocketAddr};

use lycheelatch_prelude::{Incarnation, NodeId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};

/// State of a member, as one node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Has not answered; is given time to refute.
    Suspect,
    /// Stops in good order; takes nothing new.
    Leaving,
    /// Gone.
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
    /// Incarnation that the state belongs to.
    pub incarnation: Incarnation,
    /// State as this node sees it.
    pub state: MemberState,
}

/// The members that one node knows, itself included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members(pub BTreeMap<NodeId, Member>);

impl Members {
    /// Returns the members that take new work: alive or only suspected.
    pub fn usable(&self) -> impl Iterator<Item = &Member> {
        self.0.values().filter(|m| matches!(m.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Returns how many members take new work.
    pub fn usable_count(&self) -> usize {
        self.usable().count()
    }
}
