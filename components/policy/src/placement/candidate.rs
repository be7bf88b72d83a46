//! What placement is told and what it answers.

use std::time::Duration;

use displaydoc::Display;
use lycheelatch_prelude::{Labels, RegionName, ServiceName, UpstreamId, WorkspaceName, ZoneName};
use serde::Serialize;

use crate::BlockHash;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CandidateState {
    /// Takes new work.
    #[default]
    Live,
    /// Is leaving and takes no new work.
    Leaving,
    /// Can't be reached.
    Down,
}

/// An upstream as placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Identity of the upstream.
    pub id: UpstreamId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Labels that operators attached.
    pub labels: Labels,
    /// Price of its instance per hour.
    pub price_per_hour: f64,
    /// Whether its instance can be reclaimed.
    pub reclaimable: bool,
    /// Whether it takes new work.
    pub state: CandidateState,
}

/// A request that needs an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that it is for.
    pub service: &'a ServiceName,
    /// Workspace that it belongs to.
    pub workspace: &'a WorkspaceName,
    /// Labels of the request.
    pub labels: &'a Labels,
    /// Availability zone of this node.
    pub local_zone: &'a ZoneName,
    /// Hashes of the prompt's prefixes.
    pub prefix: &'a [BlockHash],
    /// Tokens of the prompt; 0 at a plain service.
    pub prompt_tokens: u64,
    /// Tokens of the answer that are expected; 0 at a plain service.
    pub expected_tokens: u64,
    /// Upstreams that must not be taken.
    pub exclude: &'a [UpstreamId],
    /// Availability zone that is better avoided.
    pub avoid_zone: Option<&'a ZoneName>,
    /// Whether the request may try an upstream that failed lately.
    pub allow_trial: bool,
    /// Whether it goes beyond a limit rather than being refused: it was accepted before.
    pub may_exceed_limit: bool,
}

impl PlacementRequest<'_> {
    /// Returns the work that the request brings, in the units of its service.
    pub fn cost(&self) -> u64 {
        (self.prompt_tokens + self.expected_tokens).max(1)
    }
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Upstream that was chosen.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Tokens of the prompt that the upstream is expected to hold.
    pub reused_tokens_expected: u64,
    /// Whether the request tries an upstream that failed lately.
    pub is_trial: bool,
}

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementError {
    /// the service has no live upstream
    NoUpstream,
    /// no live upstream matches the placement rules
    NoMatch,
    /// every upstream that may be used is at its limit
    Full,
}

impl std::error::Error for PlacementError {}

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptResult {
    /// Whether the upstream answered.
    pub succeeded: bool,
    /// Time from sending to the end.
    pub latency: Duration,
    /// Time from sending to the first token or byte.
    pub time_to_first_token: Option<Duration>,
    /// Tokens that were generated.
    pub generated_tokens: u64,
}

/// An attempt in flight, ended with [`Placement::finish_attempt`](crate::Placement::finish_attempt)
/// or [`Placement::abandon_attempt`](crate::Placement::abandon_attempt).
#[derive(Debug)]
pub struct AttemptHandle {
    pub(crate) slot: u32,
    pub(crate) stay: u32,
    pub(crate) cost: u64,
    pub(crate) fresh_tokens: u64,
    pub(crate) is_prefilling: bool,
}
