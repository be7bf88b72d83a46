//! Placement: the choice of the upstream for each attempt.

use std::{sync::Arc, time::Duration};

use lycheelatch_config::Effect;
use lycheelatch_policy::ResponseStage;
use lycheelatch_prelude::{UpstreamId, ZoneName};

use crate::{Record, Refusal, RefusalReason, Registry, Upstream};

/// A request for the placement of one attempt.
pub struct PlaceRequest<'a> {
    /// The request.
    pub rec: &'a Record,
    /// Upstreams that were tried before and are excluded.
    pub exclude: &'a [UpstreamId],
    /// Availability zone of the last failure, avoided if another zone has capacity.
    pub avoid_zone: Option<&'a ZoneName>,
    /// Whether a part of the response was relayed to the caller.
    pub response_started: bool,
}

/// Handle by which a placement policy tracks an attempt; in flight until it is dropped.
pub trait Attempt: Send + Sync {
    /// Records the result of the attempt.
    fn set_result(&self, result: AttemptResult);
}

/// An attempt placed at an upstream; counted as in flight until it is dropped.
pub struct PlacedAttempt {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    attempt: Option<Box<dyn Attempt>>,
}

impl PlacedAttempt {
    /// Starts an attempt at `upstream`.
    pub fn new(upstream: Arc<Upstream>) -> PlacedAttempt {
        upstream.request_started();
        PlacedAttempt { upstream, attempt: None }
    }

    /// Starts an attempt at `upstream` that the placement policy tracks by `attempt`.
    pub fn with_attempt(upstream: Arc<Upstream>, attempt: Box<dyn Attempt>) -> PlacedAttempt {
        upstream.request_started();
        PlacedAttempt { upstream, attempt: Some(attempt) }
    }

    /// Reports the result of the attempt to the placement policy.
    pub fn set_result(&self, result: AttemptResult) {
        if let Some(attempt) = &self.attempt {
            attempt.set_result(result);
        }
    }
}

impl Drop for PlacedAttempt {
    fn drop(&mut self) {
        self.upstream.request_finished();
    }
}

/// Result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptResult {
    /// Whether the upstream responded; for models, whether the response is complete.
    pub succeeded: bool,
    /// How far the response was when the upstream closed the connection too early, if it did.
    pub cut_at: Option<ResponseStage>,
    /// Time to the first token or byte.
    pub time_to_first_byte: Option<Duration>,
    /// Total time of the attempt.
    pub duration: Duration,
    /// Number of tokens received.
    pub generated_tokens: u64,
}

/// Placement policy.
pub trait Place: Send + Sync {
    /// Chooses an upstream and starts an attempt at it.
    fn place(&self, req: &PlaceRequest<'_>) -> Result<PlacedAttempt, Refusal>;

    /// Starts an attempt at a given upstream, such as one that an evacuation plan chose.
    fn place_at(&self, req: &PlaceRequest<'_>, upstream: Arc<Upstream>) -> PlacedAttempt;
}

/// Value of `Retry-After` when no upstream is available.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Chooses the upstream with the fewest requests in flight from this node.
pub struct LeastInFlight(Arc<Registry>);

impl LeastInFlight {
    /// Creates the policy for the upstreams of `registry`.
    pub fn new(registry: Arc<Registry>) -> LeastInFlight {
        LeastInFlight(registry)
    }
}

impl Place for LeastInFlight {
    fn place(&self, req: &PlaceRequest<'_>) -> Result<PlacedAttempt, Refusal> {
        let service = &req.rec.service().name;
        let best = self
            .0
            .available(service)
            .into_iter()
            .filter(|upstream| !req.exclude.contains(upstream.id()))
            .filter(|upstream| is_allowed(req.rec, upstream))
            .min_by_key(|upstream| {
                let is_avoided = req.avoid_zone == Some(&upstream.listed.zone);
                (is_avoided, upstream.in_flight())
            });
        let none = || {
            Refusal::not_run(RefusalReason::NoUpstream(service.clone())).retry_after(RETRY_AFTER)
        };
        best.map(PlacedAttempt::new).ok_or_else(none)
    }

    fn place_at(&self, _req: &PlaceRequest<'_>, upstream: Arc<Upstream>) -> PlacedAttempt {
        PlacedAttempt::new(upstream)
    }
}

/// Returns whether all `require` rules that match the request match the upstream as well.
fn is_allowed(rec: &Record, upstream: &Upstream) -> bool {
    rec.config
        .rules_of(&rec.service().name)
        .filter(|rule| rule.effect == Effect::Require && rule.requests.matches(&rec.labels))
        .all(|rule| rule.upstreams.matches(&upstream.listed.labels))
}
