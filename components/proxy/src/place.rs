//! Chooses the upstream of each attempt.

use std::{sync::Arc, time::Duration};

use lycheelatch_config::Effect;
use lycheelatch_prelude::{UpstreamId, ZoneName};

use crate::{Record, Refusal, RefusalReason, Registry, Upstream};

/// What is asked for one attempt.
pub struct PlaceAsk<'a> {
    /// The request.
    pub rec: &'a Record,
    /// Upstreams that were tried.
    pub exclude: &'a [UpstreamId],
    /// Availability zone of the last failure, to be avoided if another has room.
    pub avoid_zone: Option<&'a ZoneName>,
    /// Whether a part of the answer has reached the caller.
    pub has_begun: bool,
}

/// An attempt in flight, as its placement counts it until this is dropped.
pub trait Attempt: Send + Sync {
    /// Learns what became of the attempt.
    fn observed(&self, seen: Observation);
}

/// A chosen upstream; the attempt counts as in flight until this is dropped.
pub struct Placed {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    attempt: Option<Box<dyn Attempt>>,
}

impl Placed {
    /// Counts an attempt as in flight at `upstream`.
    pub fn new(upstream: Arc<Upstream>) -> Placed {
        upstream.request_started();
        Placed { upstream, attempt: None }
    }

    /// Counts an attempt that its placement counts as well.
    pub fn with_attempt(upstream: Arc<Upstream>, attempt: Box<dyn Attempt>) -> Placed {
        upstream.request_started();
        Placed { upstream, attempt: Some(attempt) }
    }

    /// Tells the placement what became of the attempt.
    pub fn observe(&self, seen: Observation) {
        if let Some(attempt) = &self.attempt {
            attempt.observed(seen);
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.upstream.request_finished();
    }
}

/// What became of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Whether it was answered whole.
    pub ok: bool,
    /// Time to the first token or byte.
    pub first: Option<Duration>,
    /// Time in all.
    pub total: Duration,
    /// Tokens that were generated.
    pub tokens: u64,
}

/// Chooses upstreams.
pub trait Place: Send + Sync {
    /// Chooses an upstream.
    fn place(&self, ask: &PlaceAsk<'_>) -> Result<Placed, Refusal>;

    /// Counts an attempt at an upstream that was chosen elsewhere.
    fn adopt(&self, ask: &PlaceAsk<'_>, upstream: Arc<Upstream>) -> Placed;
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
    fn place(&self, ask: &PlaceAsk<'_>) -> Result<Placed, Refusal> {
        let service = &ask.rec.service().name;
        let best = self
            .0
            .available(service)
            .into_iter()
            .filter(|upstream| !ask.exclude.contains(upstream.id()))
            .filter(|upstream| is_allowed(ask.rec, upstream))
            .min_by_key(|upstream| {
                let is_avoided = ask.avoid_zone == Some(&upstream.listed.zone);
                (is_avoided, upstream.in_flight())
            });
        let none = || {
            Refusal::not_run(RefusalReason::NoUpstream(service.clone())).retry_after(RETRY_AFTER)
        };
        best.map(Placed::new).ok_or_else(none)
    }

    fn adopt(&self, _ask: &PlaceAsk<'_>, upstream: Arc<Upstream>) -> Placed {
        Placed::new(upstream)
    }
}

/// Returns whether every `require` rule that applies to the request selects the upstream.
fn is_allowed(rec: &Record, upstream: &Upstream) -> bool {
    rec.config
        .rules_of(&rec.service().name)
        .filter(|rule| rule.effect == Effect::Require && rule.requests.matches(&rec.labels))
        .all(|rule| rule.upstreams.matches(&upstream.listed.labels))
}
