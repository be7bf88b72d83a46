//! Interface between the operator API and the rest of the node.

use async_trait::async_trait;
use displaydoc::Display;
use lycheelatch_prelude::{
    Labels, NodeId, RegionName, Revision, ServiceName, UpstreamId, WorkspaceName, ZoneName,
};
use serde::{Deserialize, Serialize};

/// Node operations that the operator API exposes; implemented by the daemon.
#[async_trait(?Send)]
pub trait NodeControl: Send + Sync {
    /// Returns the state of the node and its view of the cluster.
    async fn status(&self) -> NodeStatus;

    /// Explains which upstream a request would be routed to, and why, without sending it.
    async fn route(&self, query: &RouteQuery) -> Result<RouteExplanation, ControlError>;

    /// Starts to drain the node or an upstream, without waiting for completion.
    async fn drain(&self, target: &DrainTarget) -> Result<DrainResponse, ControlError>;

    /// Returns whether the node accepts requests; if not, the reason.
    fn readiness(&self) -> Readiness;
}

/// Whether the node accepts requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// The node accepts requests.
    Ready,
    /// The node does not accept requests, for this reason.
    NotReady(String),
}

/// Why a node could not carry out an operator's request.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ControlError {
    /// there is no {kind} {name}
    NotFound {
        /// Kind of the requested object.
        kind: &'static str,
        /// Name of the requested object.
        name: String,
    },
    /// this can't be done now: {0}
    Unavailable(String),
}

impl std::error::Error for ControlError {}

/// State of a node and its view of the cluster.
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
    /// Whether the node accepts requests.
    pub readiness: Readiness,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether the key-value service responds.
    pub key_value_up: bool,
    /// Requests in flight at the node.
    pub in_flight: u64,
    /// Members of the cluster, this node included.
    pub members: Vec<MemberStatus>,
    /// Upstreams that the node has registered.
    pub upstreams: Vec<UpstreamStatus>,
}

/// One member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// State in the view of this node: alive, suspect, leaving or dead.
    pub state: String,
    /// Address of the node's peer endpoint.
    pub addr: String,
}

/// One upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Identity of the upstream.
    pub upstream: UpstreamId,
    /// Service that the upstream provides.
    pub service: ServiceName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// State in the view of this node, such as ready, loading or leaving.
    pub state: String,
    /// Requests in flight from this node to the upstream.
    pub in_flight: u64,
}

/// Request whose routing is to be explained.
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

/// Result of routing a request, with the reasons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// Revision of the configuration used for routing.
    pub revision: Revision,
    /// Labels of the request, including those of its workspace.
    pub labels: Labels,
    /// Names of the placement rules that apply, in order of evaluation.
    pub rules: Vec<String>,
    /// Upstream that would be selected now, or `None` if the request would be refused.
    pub chosen: Option<UpstreamId>,
    /// Every upstream of the service.
    pub candidates: Vec<RouteCandidate>,
}

/// One upstream considered for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteCandidate {
    /// Identity of the upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Whether the request may be sent to the upstream.
    pub is_allowed: bool,
    /// Reasons why the upstream is allowed, excluded or preferred.
    pub reasons: Vec<String>,
}

/// Target of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTarget {
    /// The node that receives the call.
    Node,
    /// An upstream, which receives no new requests.
    Upstream(UpstreamId),
}

/// Response of `POST /v1/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainResponse {
    /// Requests in flight that must finish or be moved elsewhere.
    pub in_flight: u64,
}
