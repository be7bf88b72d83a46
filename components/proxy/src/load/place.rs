//! Placement by policy.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use lycheelatch_policy::{AttemptHandle, PlacementError, PlacementRequest};
use lycheelatch_prelude::Idempotency;
use tokio::time::Instant;

use super::{LoadControl, prompt::Prompt};
use crate::{Attempt, Observation, Place, PlaceAsk, Placed, Refusal, RefusalReason, Upstream};

/// Time after which a caller is told to try again when rules leave no upstream with room.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Chooses upstreams by the placement policy.
pub struct PlaceByPolicy(Arc<LoadControl>);

impl PlaceByPolicy {
    /// Creates the placement.
    pub fn new(control: Arc<LoadControl>) -> PlaceByPolicy {
        PlaceByPolicy(control)
    }
}

/// An attempt that the policy counts as in flight.
struct Counted {
    control: Arc<LoadControl>,
    sent: Option<AttemptHandle>,
    seen: Mutex<Option<Observation>>,
}

impl Attempt for Counted {
    fn observed(&self, seen: Observation) {
        *self.seen.lock().unwrap_or_else(PoisonError::into_inner) = Some(seen);
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let Some(sent) = self.sent.take() else { return };
        let seen = self.seen.get_mut().unwrap_or_else(PoisonError::into_inner).take();
        let now = Instant::now();
        let mut state = self.control.lock();
        match seen {
            Some(seen) => state.placement.finish_attempt(sent, now, seen.into()),
            None => state.placement.abandon_attempt(sent),
        }
        state.pump(now);
    }
}

impl From<Observation> for lycheelatch_policy::AttemptResult {
    fn from(seen: Observation) -> lycheelatch_policy::AttemptResult {
        lycheelatch_policy::AttemptResult {
            succeeded: seen.ok,
            latency: seen.total,
            time_to_first_token: seen.first,
            generated_tokens: seen.tokens,
        }
    }
}

impl PlaceByPolicy {
    fn count(
        &self,
        req: &PlacementRequest<'_>,
        upstream: Arc<Upstream>,
        sent: impl FnOnce(&PlacementRequest<'_>) -> Option<AttemptHandle>,
    ) -> Placed {
        let attempt = Counted { control: self.0.clone(), sent: sent(req), seen: Mutex::new(None) };
        Placed::with_attempt(upstream, Box::new(attempt))
    }
}

fn request<'a>(
    ask: &PlaceAsk<'a>,
    prompt: &'a Prompt,
    control: &'a LoadControl,
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: &ask.rec.service().name,
        workspace: &ask.rec.workspace().name,
        labels: &ask.rec.labels,
        local_zone: &control.zone,
        prefix: &prompt.blocks,
        prompt_tokens: prompt.tokens,
        expected_tokens: prompt.expected_tokens,
        exclude: ask.exclude,
        avoid_zone: ask.avoid_zone,
        allow_trial: ask.rec.idempotency == Idempotency::Idempotent && !ask.has_begun,
        may_exceed_limit: ask.has_begun || !ask.exclude.is_empty(),
    }
}

impl Place for PlaceByPolicy {
    fn place(&self, ask: &PlaceAsk<'_>) -> Result<Placed, Refusal> {
        let prompt = ask.rec.prompt();
        let req = request(ask, prompt, &self.0);
        let now = Instant::now();
        let mut state = self.0.lock();
        self.0.sync(&mut state, &ask.rec.config, now);
        let choice = state.placement.choose(now, &req).map_err(|err| refuse(ask, err))?;
        let Some(upstream) = self.0.registry.get(req.service, &choice.upstream) else {
            return Err(refuse(ask, PlacementError::NoUpstream));
        };
        Ok(self
            .count(&req, upstream, |req| state.placement.start_attempt(now, &choice.upstream, req)))
    }

    fn adopt(&self, ask: &PlaceAsk<'_>, upstream: Arc<Upstream>) -> Placed {
        let prompt = ask.rec.prompt();
        let req = request(ask, prompt, &self.0);
        let id = upstream.id().clone();
        self.count(&req, upstream, |req| {
            self.0.lock().placement.start_attempt(Instant::now(), &id, req)
        })
    }
}

fn refuse(ask: &PlaceAsk<'_>, err: PlacementError) -> Refusal {
    let reason = match err {
        PlacementError::NoUpstream | PlacementError::NoMatch => {
            RefusalReason::NoUpstream(ask.rec.service().name.clone())
        }
        PlacementError::Full => RefusalReason::Overloaded,
    };
    Refusal::not_run(reason).retry_after(RETRY_AFTER)
}
