//! Chooses the upstream of each attempt.

use std::{sync::Arc, time::Duration};

use lycheelatch_config::Effect;
use lycheelatch_prelude::{UpstreamId, ZoneName};

use crate::{Record, Refusal, RefusalReason, Registry, Upstream};

/// What is asked for one attempt.
pub struct PlaceRequest<'a> {
    /// The request.
    pub rec: &'a Record,
    /// Upstreams that were tried.
    pub exclude: &'a [UpstreamId],
    /// Availability zone of the last failure, to be avoided if another has room.
    pub avoid_zone: Option<&'a ZoneName>,
    /// Whether a part of the answer has reached the caller.
    pub response_started: bool,
}

/// An attempt in flight, as its placement counts it until this is dropped.
pub trait Attempt: Send + Sync {
    /// Learns what became of the attempt.
    fn set_result(&self, result: AttemptResult);
}

/// A chosen upstream; the attempt counts as in flight until this is dropped.
pub struct PlacedAttempt {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    attempt: Option<Box<dyn Attempt>>,
}

impl PlacedAttempt {
    /// Counts an attempt as in flight at `upstream`.
    pub fn new(upstream: Arc<Upstream>) -> PlacedAttempt {
        upstream.request_started();
        PlacedAttempt { upstream, attempt: None }
    }

    /// Counts an attempt that its placement counts as well.
    pub fn with_attempt(upstream: Arc<Upstream>, attempt: Box<dyn Attempt>) -> PlacedAttempt {
        upstream.request_started();
        PlacedAttempt { upstream, attempt: Some(attempt) }
    }

    /// Tells the placement what became of the attempt.
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

/// What became of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptResult {
    /// Whether it was answered whole.
    pub succeeded: bool,
    /// Time to the first token or byte.
    pub time_to_first_byte: Option<Duration>,
    /// Time in all.
    pub duration: Duration,
    /// Tokens that were generated.
    pub generated_tokens: u64,
}

/// Chooses upstreams.
pub trait Place: Send + Sync {
    /// Chooses an upstream.
    fn place(&self, req: &PlaceRequest<'_>) -> Result<PlacedAttempt, Refusal>;

    /// Counts an attempt at an upstream that was chosen elsewhere.
    fn place_at(&self, req: &PlaceRequest<'_>, upstream: Arc<Upstream>) -> PlacedAttempt;
}

/// Time after which a caller is told to try again when there is no upstream.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Chooses the upstream with the fewest requests of this node in flight.
pub struct LeastInFlight(Arc<Registry>);

impl LeastInFlight {
    /// Creates the policy.
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

/// Returns whether every `require` rule that applies to the request selects the upstream.
fn is_allowed(rec: &Record, upstream: &Upstream) -> bool {
    rec.config
        .rules_of(&rec.service().name)
        .filter(|rule| rule.effect == Effect::Require && rule.requests.matches(&rec.labels))
        .all(|rule| rule.upstreams.matches(&upstream.listed.labels))
}
