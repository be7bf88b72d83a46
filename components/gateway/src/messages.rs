//! Messages between the nodes of a cluster.
//!
//! A digest holds the whole state that the other nodes need, so that after a
//! lost datagram the next one restores it. Durable state is kept in the store.

use lycheelatch_policy::CrashEvidence;
use lycheelatch_prelude::{NodeId, ServiceName, UpstreamId, WorkspaceName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{
    StoreEra, StoreRevision,
    departures::Departure,
    engine_load::{InFlight, PrefixHash},
    engine_speed::SpeedSamples,
    quota::ReportedUsage,
    rollout_report::{RolloutNotice, RolloutReport},
    stream_origin::StreamOrigin,
    upstream_limits::LimitNotice,
    upstream_speeds::SpeedNotice,
    usage::UsageWindow,
    zone_usage::UsageSum,
};

/// Position in the store's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RevisionWire {
    era: u64,
    number: u64,
}

impl From<StoreRevision> for RevisionWire {
    fn from(revision: StoreRevision) -> RevisionWire {
        RevisionWire { era: revision.era.0, number: revision.number }
    }
}

impl From<RevisionWire> for StoreRevision {
    fn from(wire: RevisionWire) -> StoreRevision {
        StoreRevision::new(StoreEra(wire.era), wire.number)
    }
}

/// Load that one node puts on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamLoad {
    pub(crate) upstream: UpstreamId,
    pub(crate) requests: u32,
    pub(crate) prefill_tokens: u64,
    pub(crate) memory_tokens: u64,
    pub(crate) shared_tokens: u64,
}

impl From<&UpstreamLoad> for InFlight {
    fn from(load: &UpstreamLoad) -> InFlight {
        InFlight {
            requests: load.requests,
            prefill_tokens: load.prefill_tokens,
            memory_tokens: load.memory_tokens,
            shared_tokens: load.shared_tokens,
        }
    }
}

/// A prompt that a node sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PromptNotice {
    pub(crate) upstream: UpstreamId,
    pub(crate) links: Vec<(u64, u32)>,
}

/// Request counts of one usage window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WindowUsage {
    pub(crate) window: UsageWindow,
    pub(crate) counts: Vec<(WorkspaceName, u64)>,
}

/// Request counts of a process that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EndedUsage {
    pub(crate) node: NodeId,
    pub(crate) incarnation: u64,
    pub(crate) usage: Vec<WindowUsage>,
}

/// Demand for one service since the start of a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServiceDemand {
    pub(crate) service: ServiceName,
    pub(crate) requests: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefill_tokens: u64,
    pub(crate) refused: u64,
    pub(crate) speed: SpeedSamples,
}

/// Notice of a request that a node has just sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SentNotice {
    pub(crate) node: NodeId,
    pub(crate) load: UpstreamLoad,
    /// Prefix hashes and tokens of the prompt.
    pub(crate) links: Vec<(u64, u32)>,
}

/// A datagram between nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// The whole state of a node, sent periodically.
    State(Box<Digest>),
    /// One request, sent at once.
    Sent(SentNotice),
    /// An upstream that was found not to be at its address any more.
    Absent(UpstreamId),
    /// Usage of workspaces in the sender's availability zone, for nodes of other zones.
    ZoneUsage(ZoneName, UsageSum),
    /// Limits that upstreams name, sent at once and to nodes that know others.
    Limits(Vec<LimitNotice>),
    /// Requests that upstreams crashed on, sent at once and to nodes that lack them.
    CrashEvidence(CrashEvidence),
    /// A stream that began at the sender, for the nodes that others ask for it.
    StreamBegan(StreamOrigin),
    /// Usage of workspaces in all other availability zones, for nodes of the sender's zone.
    OtherZonesUsage(UsageSum),
}

/// State of one node, for the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Digest {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneName,
    /// Random number that is drawn at the start of the process.
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    /// The node's clock, in milliseconds since the Unix epoch.
    pub(crate) time_ms: u64,
    /// Whether the node is the leader.
    pub(crate) is_leader: bool,
    /// Whether `quota_use`, `usage`, `demand`, `departures` and `rollouts` are left out.
    pub(crate) is_brief: bool,
    /// Admitted cost of each workspace in the window of its limit.
    pub(crate) quota_use: Vec<(WorkspaceName, ReportedUsage)>,
    pub(crate) upstreams: Vec<UpstreamLoad>,
    pub(crate) sent_prompts: Vec<PromptNotice>,
    pub(crate) usage: Vec<WindowUsage>,
    /// Usage of processes of the sender's availability zone that ended, for a leader elsewhere.
    pub(crate) ended_usage: Vec<EndedUsage>,
    pub(crate) demand: Vec<ServiceDemand>,
    /// Version of the configuration in force; 0 if there is none.
    pub(crate) config_version: u64,
    /// Upstreams that recently stopped accepting requests.
    pub(crate) departures: Vec<Departure>,
    /// Hash of the evidence of crashes that the node holds; 0 if there is none.
    pub(crate) crash_evidence: u64,
    /// Hash of the limits that upstreams name; 0 if they name none.
    pub(crate) limits: u64,
    /// What the node counted of the roll-outs that are under way.
    pub(crate) rollouts: Vec<RolloutReport>,
    /// Steps of roll-outs, from the leader only.
    pub(crate) rollout_notices: Vec<RolloutNotice>,
    /// Samples of upstreams' speed from recent requests, up to a maximum number.
    pub(crate) speed_notices: Vec<SpeedNotice>,
}

impl Digest {
    /// Leaves out what only nodes of the same availability zone and the leader need.
    pub(crate) fn leave_out_details(&mut self) {
        self.is_brief = true;
        self.quota_use.clear();
        self.ended_usage.clear();
        self.usage.clear();
        self.demand.clear();
        self.departures.clear();
        self.rollouts.clear();
    }
}

impl From<&crate::gateway::SentPrompt> for PromptNotice {
    fn from(prompt: &crate::gateway::SentPrompt) -> PromptNotice {
        PromptNotice { upstream: prompt.upstream.clone(), links: encode_links(&prompt.links) }
    }
}

/// Encodes prefix hashes for a message.
pub(crate) fn encode_links(links: &[(PrefixHash, u32)]) -> Vec<(u64, u32)> {
    links.iter().map(|(hash, tokens)| (hash.0, *tokens)).collect()
}

/// Decodes prefix hashes of a message.
pub(crate) fn decode_links(links: &[(u64, u32)]) -> Vec<(PrefixHash, u32)> {
    links.iter().map(|(hash, tokens)| (PrefixHash(*hash), *tokens)).collect()
}
