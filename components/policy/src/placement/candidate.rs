//! Inputs and results of placement.

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
    /// Is shutting down and takes no new work.
    Leaving,
    /// Unreachable.
    Down,
}

/// An upstream that requests can be placed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Identity of the upstream.
    pub id: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Region of the upstream.
    pub region: RegionName,
    /// Labels set by operators.
    pub labels: Labels,
    /// Price of its instance per hour.
    pub price_per_hour: f64,
    /// Whether the provider can reclaim its instance.
    pub reclaimable: bool,
    /// Whether the upstream takes new work.
    pub state: CandidateState,
}

/// A request that needs an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that the request addresses.
    pub service: &'a ServiceName,
    /// Workspace that the request belongs to.
    pub workspace: &'a WorkspaceName,
    /// Labels of the request.
    pub labels: &'a Labels,
    /// Availability zone of the local node.
    pub local_zone: &'a ZoneName,
    /// Hashes of the prompt's prefix blocks; empty for a plain service.
    pub prefix: &'a [BlockHash],
    /// Prompt length in tokens; 0 for a plain service.
    pub prompt_tokens: u64,
    /// Expected answer length in tokens; 0 for a plain service.
    pub expected_tokens: u64,
    /// Upstreams that must not be chosen.
    pub exclude: &'a [UpstreamId],
    /// Availability zone to avoid if another one has capacity.
    pub avoid_zone: Option<&'a ZoneName>,
    /// Whether the request may be the trial of an ejected upstream.
    pub allow_trial: bool,
    /// Whether the request may exceed an upstream's concurrency limit instead of being refused.
    ///
    /// Set for retries and resumed requests, which have already been admitted.
    pub may_exceed_limit: bool,
}

impl PlacementRequest<'_> {
    /// Returns the cost of the request in the units of its service: tokens, or 1 for a plain one.
    pub fn cost(&self) -> u64 {
        (self.prompt_tokens + self.expected_tokens).max(1)
    }
}

/// Upstream chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Identity of the upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Prompt tokens expected in the prefix cache of the upstream.
    pub reused_tokens_expected: u64,
    /// Whether the request is the trial of an ejected upstream.
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

/// Result of an attempt on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptResult {
    /// Whether the upstream answered.
    pub succeeded: bool,
    /// Time from sending to the end of the attempt.
    pub latency: Duration,
    /// Time from sending to the first token, or the first byte of a plain service.
    pub time_to_first_token: Option<Duration>,
    /// Number of generated tokens.
    pub generated_tokens: u64,
}

/// An attempt in flight, ended with [`Placement::finish_attempt`](crate::Placement::finish_attempt)
/// or [`Placement::abandon_attempt`](crate::Placement::abandon_attempt).
#[derive(Debug)]
pub struct AttemptHandle {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
    pub(crate) cost: u64,
    pub(crate) uncached_tokens: u64,
    pub(crate) is_prefilling: bool,
}
