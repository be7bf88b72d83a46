//! What the operator API asks the rest of the node.

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{
    Labels, NodeId, RegionName, Revision, ServiceName, UpstreamId, WorkspaceName, ZoneName,
};
use serde::{Deserialize, Serialize};

/// The node as operators see it; the daemon supplies it.
#[async_trait(?Send)]
pub trait NodeControl: Send + Sync {
    /// Returns the state of the node and what it knows of the others.
    async fn status(&self) -> NodeStatus;

    /// Explains where a request would go, and why; sends nothing.
    async fn route(&self, query: &RouteQuery) -> Result<RouteExplanation, ControlError>;

    /// Starts to drain the node, or an upstream; returns without waiting for the end.
    async fn drain(&self, target: &DrainTarget) -> Result<DrainAnswer, ControlError>;

    /// Returns whether the node takes requests; if not, why.
    fn readiness(&self) -> Readiness;
}

/// Whether the node takes requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// It does.
    Ready,
    /// It does not, for this reason.
    NotReady(String),
}

/// Why a node could not do what an operator asked.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ControlError {
    /// there is no {kind} {name}
    NotFound {
        /// What was looked for.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// this can't be done now: {0}
    Unavailable(String),
}

impl std::error::Error for ControlError {}

/// State of a node and what it knows of the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Identity of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Version of the program.
    pub version: String,
    /// Whether the node takes requests.
    pub readiness: Readiness,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether the key-value service answers.
    pub key_value_up: bool,
    /// Requests in flight at the node.
    pub in_flight: u64,
    /// Members of the cluster, this node included.
    pub members: Vec<MemberStatus>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// One member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// State as this node sees it: alive, suspect, leaving or dead.
    pub state: String,
    /// Address of the node's peer endpoint.
    pub addr: String,
}

/// One upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Identity of the upstream.
    pub upstream: UpstreamId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// State as this node sees it, such as ready, loading or leaving.
    pub state: String,
    /// Requests of this node that are in flight there.
    pub in_flight: u64,
}

/// A request whose route is to be explained.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteQuery {
    /// Service that the request calls.
    pub service: ServiceName,
    /// Workspace that the request belongs to.
    #[serde(default)]
    pub workspace: Option<WorkspaceName>,
    /// Labels of the request.
    #[serde(default)]
    pub labels: Labels,
}

/// Where a request would go, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// Revision of the configuration that decides.
    pub revision: Revision,
    /// Labels of the request, those of its workspace included.
    pub labels: Labels,
    /// Names of the placement rules that apply, in their order.
    pub rules: Vec<String>,
    /// Upstream that would be chosen now; none: the request would be refused.
    pub chosen: Option<UpstreamId>,
    /// Every upstream of the service.
    pub candidates: Vec<RouteCandidate>,
}

/// An upstream that a request might go to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteCandidate {
    /// Identity of the upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Whether the request may go there.
    pub is_allowed: bool,
    /// Why it may or may not, and what speaks for it.
    pub reasons: Vec<String>,
}

/// What is to be drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTarget {
    /// The node that gets the call.
    Node,
    /// An upstream, which gets no new work.
    Upstream(UpstreamId),
}

/// What a drain has begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// Requests in flight that are to end or to move.
    pub in_flight: u64,
}
