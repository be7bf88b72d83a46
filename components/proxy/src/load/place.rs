//! Placement by policy.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use lycheelatch_policy::{AttemptHandle, PlacementError, PlacementRequest};
use lycheelatch_prelude::Idempotency;
use tokio::time::Instant;

use super::{
    CrashWatch, LoadControl,
    crashes::{SentPrompt, reported_parts},
    prompt::Prompt,
};
use crate::{
    Attempt, AttemptResult, Place, PlaceRequest, PlacedAttempt, Refusal, RefusalReason, Upstream,
};

/// Value of `Retry-After` when no upstream that the rules allow has capacity.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Chooses upstreams by the placement policy.
pub struct PlaceByPolicy(Arc<LoadControl>);

impl PlaceByPolicy {
    /// Creates the policy.
    pub fn new(control: Arc<LoadControl>) -> PlaceByPolicy {
        PlaceByPolicy(control)
    }
}

/// An attempt that the placement policy counts as in flight.
struct TrackedAttempt {
    control: Arc<LoadControl>,
    /// The prompt, if it has parts that other requests may hold too.
    prompt: Option<SentPrompt>,
    started: Instant,
    upstream: Arc<Upstream>,
    handle: Option<AttemptHandle>,
    result: Mutex<Option<AttemptResult>>,
}

impl Attempt for TrackedAttempt {
    fn set_result(&self, result: AttemptResult) {
        *self.result.lock().unwrap_or_else(PoisonError::into_inner) = Some(result);
    }
}

impl Drop for TrackedAttempt {
    fn drop(&mut self) {
        let result = self.result.get_mut().unwrap_or_else(PoisonError::into_inner).take();
        let is_cut = result.is_some_and(|result| result.cut_at.is_some());
        let crashes = &self.control.crashes;
        crashes.attempts.end(self.upstream.id(), self.started, is_cut);
        let Some(handle) = self.handle.take() else { return };
        if let (Some(result), Some(prompt)) = (&result, self.prompt.take()) {
            let is_leaving = self.control.registry.is_leaving(&self.upstream);
            record_end(crashes, result, prompt, is_leaving);
        }
        let now = Instant::now();
        let mut state = self.control.lock();
        match result {
            Some(result) => state.placement.finish_attempt(handle, now, result.into()),
            None => state.placement.abandon_attempt(handle),
        }
        state.process_queue(now);
    }
}

/// Records what the end of an attempt says about the parts of its prompt.
fn record_end(
    crashes: &Arc<CrashWatch>,
    result: &AttemptResult,
    prompt: SentPrompt,
    is_leaving: bool,
) {
    if result.succeeded {
        crashes.record_answer(&prompt);
        return;
    }
    let Some(stage) = result.cut_at else { return };
    // An upstream that is about to leave ends for that reason.
    if !is_leaving && tokio::runtime::Handle::try_current().is_ok() {
        tokio::spawn(crashes.clone().check_engine(prompt, stage, crashes.now()));
    }
}

impl From<AttemptResult> for lycheelatch_policy::AttemptResult {
    fn from(result: AttemptResult) -> lycheelatch_policy::AttemptResult {
        lycheelatch_policy::AttemptResult {
            succeeded: result.succeeded,
            latency: result.duration,
            time_to_first_token: result.time_to_first_byte,
            generated_tokens: result.generated_tokens,
        }
    }
}

impl PlaceByPolicy {
    fn track(
        &self,
        req: &PlaceRequest<'_>,
        policy_req: &PlacementRequest<'_>,
        upstream: Arc<Upstream>,
        handle: impl FnOnce(&PlacementRequest<'_>) -> Option<AttemptHandle>,
    ) -> PlacedAttempt {
        let started = Instant::now();
        self.0.crashes.attempts.start(upstream.id(), started);
        let attempt = TrackedAttempt {
            control: self.0.clone(),
            prompt: sent_prompt(req, &upstream),
            started,
            upstream: upstream.clone(),
            handle: handle(policy_req),
            result: Mutex::new(None),
        };
        PlacedAttempt::with_attempt(upstream, Box::new(attempt))
    }
}

/// Returns the request as far as crashes of the upstream are concerned.
fn sent_prompt(req: &PlaceRequest<'_>, upstream: &Upstream) -> Option<SentPrompt> {
    let blocks = &req.rec.prompt().blocks;
    (!blocks.is_empty()).then(|| SentPrompt {
        service: req.rec.service().name.clone(),
        upstream: upstream.id().clone(),
        address: upstream.listed.addr,
        request: req.rec.id().as_str().into(),
        parts: reported_parts(blocks),
        sent_at: Instant::now(),
    })
}

fn placement_request<'a>(
    req: &PlaceRequest<'a>,
    prompt: &'a Prompt,
    control: &'a LoadControl,
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: &req.rec.service().name,
        workspace: &req.rec.workspace().name,
        labels: &req.rec.labels,
        local_zone: &control.zone,
        prefix: &prompt.blocks,
        prompt_tokens: prompt.tokens,
        expected_tokens: prompt.expected_tokens,
        exclude: req.exclude,
        avoid_zone: req.avoid_zone,
        allow_trial: req.rec.idempotency == Idempotency::Idempotent && !req.response_started,
        may_exceed_limit: req.response_started || !req.exclude.is_empty(),
    }
}

impl Place for PlaceByPolicy {
    fn place(&self, req: &PlaceRequest<'_>) -> Result<PlacedAttempt, Refusal> {
        let prompt = req.rec.prompt();
        let policy_req = placement_request(req, prompt, &self.0);
        self.0.crashes.check(policy_req.service, &prompt.blocks)?;
        let now = Instant::now();
        let mut state = self.0.lock();
        self.0.sync(&mut state, &req.rec.config, now);
        let choice = state.placement.choose(now, &policy_req).map_err(|err| refuse(req, err))?;
        let Some(upstream) = self.0.registry.get(policy_req.service, &choice.upstream) else {
            return Err(refuse(req, PlacementError::NoUpstream));
        };
        Ok(self.track(req, &policy_req, upstream, |policy_req| {
            state.placement.start_attempt(now, &choice.upstream, policy_req)
        }))
    }

    fn place_at(&self, req: &PlaceRequest<'_>, upstream: Arc<Upstream>) -> PlacedAttempt {
        let prompt = req.rec.prompt();
        let policy_req = placement_request(req, prompt, &self.0);
        let id = upstream.id().clone();
        self.track(req, &policy_req, upstream, |policy_req| {
            self.0.lock().placement.start_attempt(Instant::now(), &id, policy_req)
        })
    }
}

fn refuse(req: &PlaceRequest<'_>, err: PlacementError) -> Refusal {
    let reason = match err {
        PlacementError::NoUpstream | PlacementError::NoMatch => {
            RefusalReason::NoUpstream(req.rec.service().name.clone())
        }
        PlacementError::Full => RefusalReason::Overloaded,
    };
    Refusal::not_run(reason).retry_after(RETRY_AFTER)
}
