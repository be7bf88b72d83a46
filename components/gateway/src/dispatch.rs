//! Sends a request to upstreams until one of them responds.

use std::{rc::Rc, time::Duration};

use actix_http::{Response, body::BoxBody};
use lycheelatch_prelude::UpstreamId;
use tokio::time::{Instant, timeout};

use crate::{
    attempts::{Attempts, NextStep},
    crash_evidence::{Trial, check_request},
    decision::Reason,
    directory::Upstream,
    local_response::LocalResponse,
    place::{Placement, PlacementError, PlacementRequest, place},
    relay::{EventRelay, LargeBodyRelay},
    rollout_placement::place_permitted,
    send::{BufferedResponse, Failure, StartedStream, UpstreamResponse, send},
    serve::RequestContext,
    software_version::SoftwareVersion,
    upstream_limits::{WithinLimits, within_limits},
};

/// Minimum `Retry-After` before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum jitter of `Retry-After`, as a share of its value.
const RETRY_JITTER: f64 = 0.5;

/// Time without a response after which an attempt that may be retried is abandoned, as a
/// multiple of the route's latency target.
const SILENCE_TARGET_FACTOR: f64 = 1.5;

/// The same as a multiple of the estimated time to the first token; the longer time applies.
const SILENCE_ESTIMATE_FACTOR: u32 = 3;

/// Minimum time left until the deadline for a request to be sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Sends a request to upstreams until one of them responds or no attempt is left.
pub(crate) async fn dispatch(cx: &Rc<RequestContext>) -> Result<Response<BoxBody>, LocalResponse> {
    let mut attempts = Attempts::new(cx.route.kind, cx.route.max_attempts);
    let mut failed: Option<BufferedResponse> = None;
    let result = cx.run_until_due(send_until_answered(cx, &mut attempts, &mut failed)).await;
    match result {
        Some(Ok(answered)) => Ok(respond(cx, answered, attempts)),
        Some(Err(refusal)) => match failed {
            Some(response) => {
                cx.log_end(Reason::Answered, response.status.as_u16());
                Ok(buffered_response(response))
            }
            None => Err(refusal),
        },
        None => Err(LocalResponse::new(Reason::TimedOut)),
    }
}

async fn send_until_answered(
    cx: &Rc<RequestContext>,
    attempts: &mut Attempts,
    failed: &mut Option<BufferedResponse>,
) -> Result<UpstreamResponse, LocalResponse> {
    let mut reserved: Option<Placement> = None;
    loop {
        let placement = next_placement(cx, attempts, &mut reserved)?;
        let id = placement.upstream.id();
        let failure = match send_or_abandon(cx, &placement, attempts).await {
            Ok(answered) => return Ok(answered),
            Err(SendError::Failed(failure)) => failure,
            Err(SendError::Abandoned(next)) => {
                reserved = Some(*next);
                Failure::abandoned()
            }
        };
        let next = attempts.record(id, failure.outcome);
        *failed = failure.response.or(failed.take());
        if next != NextStep::MayRetry {
            return Err(refusal_for(next));
        }
    }
}

/// Returns the reserved placement, which is drawn from the retry budget already, or selects one.
fn next_placement(
    cx: &RequestContext,
    attempts: &Attempts,
    reserved: &mut Option<Placement>,
) -> Result<Placement, LocalResponse> {
    reserved.take().map_or_else(|| choose_within_budget(cx, attempts), Ok)
}

/// Selects an upstream and, for a retry, draws it from the retry budget.
fn choose_within_budget(
    cx: &RequestContext,
    attempts: &Attempts,
) -> Result<Placement, LocalResponse> {
    let placement = match choose(cx, attempts.tried()) {
        Ok(placement) => placement,
        Err(refusal) if attempts.tried().is_empty() => return Err(refusal),
        Err(refusal) => return Err(refusal_after_attempts(attempts, refusal)),
    };
    if attempts.is_retry() && !cx.gateway.try_retry(&cx.service.name, Instant::now()) {
        return Err(refusal_for(attempts.final_step()));
    }
    Ok(placement)
}

/// Why an attempt produced no response.
enum SendError {
    Failed(Failure),
    /// The upstream did not respond in time. Contains the placement of the next attempt, which
    /// is already drawn from the retry budget.
    Abandoned(Box<Placement>),
}

impl From<Failure> for SendError {
    fn from(failure: Failure) -> SendError {
        SendError::Failed(failure)
    }
}

/// Sends the request, and abandons the attempt if the upstream does not respond in time.
///
/// The attempt is only abandoned once the next one has an upstream and is drawn from the retry
/// budget. Otherwise the request would be lost although the upstream may just be slow.
async fn send_or_abandon(
    cx: &Rc<RequestContext>,
    placement: &Placement,
    attempts: &Attempts,
) -> Result<UpstreamResponse, SendError> {
    let mut sending = Box::pin(send(cx, placement, cx.info.resume_after));
    if !attempts.may_abandon() {
        return Ok(sending.await?);
    }
    let estimate =
        placement.estimate.map_or(Duration::ZERO, |estimate| estimate.time_to_first_token);
    let silence_timeout =
        cx.route.target.mul_f64(SILENCE_TARGET_FACTOR).max(estimate * SILENCE_ESTIMATE_FACTOR);
    if let Ok(result) = timeout(silence_timeout, &mut sending).await {
        return Ok(result?);
    }
    match choose_replacement(cx, attempts, &placement.upstream.id()) {
        Some(next) => Err(SendError::Abandoned(Box::new(next))),
        None => Ok(sending.await?),
    }
}

/// Selects another upstream in place of an unresponsive one and draws on the retry budget.
///
/// Returns `None` if there is no other upstream or the budget is exhausted.
pub(crate) fn choose_replacement(
    cx: &RequestContext,
    attempts: &Attempts,
    silent: &UpstreamId,
) -> Option<Placement> {
    let mut tried = attempts.tried().to_vec();
    tried.push(silent.clone());
    let next = choose(cx, &tried).ok()?;
    cx.gateway.try_retry(&cx.service.name, Instant::now()).then_some(next)
}

/// Returns the response for a request that has been tried and for which no upstream is left.
fn refusal_after_attempts(attempts: &Attempts, refusal: LocalResponse) -> LocalResponse {
    match attempts.final_step() {
        NextStep::FailUnknown => LocalResponse::new(Reason::UpstreamFailed),
        _ => refusal,
    }
}

fn refusal_for(next: NextStep) -> LocalResponse {
    match next {
        NextStep::FailUnknown => LocalResponse::new(Reason::UpstreamFailed),
        _ => LocalResponse::with_retry_after(Reason::NotRun, add_jitter(MIN_RETRY_AFTER)),
    }
}

/// Adds jitter, so that callers rejected at the same time don't retry at the same time.
fn add_jitter(time: Duration) -> Duration {
    time.mul_f64(1.0 + RETRY_JITTER * rand::random::<f64>())
}

/// Selects an upstream for the next attempt.
fn choose(cx: &RequestContext, tried: &[UpstreamId]) -> Result<Placement, LocalResponse> {
    let now = Instant::now();
    if cx.time_left() < MIN_TIME_LEFT {
        return Err(LocalResponse::new(Reason::DeadlineExpired));
    }
    let is_trial = cx.trial == Trial::Yes && tried.is_empty();
    if !is_trial {
        check_request(&cx.gateway, &cx.service, cx.info.prompt.as_ref())?;
    }
    let all_upstreams = cx.gateway.directory.for_service(&cx.service.name);
    let is_candidate = |up: &&Rc<Upstream>| up.accepts_requests() && cx.may_run_at(up);
    let candidates = all_upstreams.iter().filter(is_candidate).cloned().collect();
    let WithinLimits { allowed: candidates, next } = within_limits(&cx.gateway, candidates);
    let late = cx.arrived + cx.route.target;
    let req = PlacementRequest {
        service: &cx.service,
        speed: cx.gateway.engine_speed(&cx.service.name),
        chain: cx.chain.as_ref(),
        zone: &cx.gateway.settings.zone,
        cross_zone_lag: cx.gateway.cross_zone_lag(),
        all_upstreams: &all_upstreams,
        tried,
        time_to_target: late.saturating_duration_since(now),
        priority: cx.priority(),
    };
    let random = rand::random();
    let placed = match cx.stream_version.get() {
        // The roll-out's shares are those of new streams.
        Some(_) => place(&req, &candidates, now, random),
        None => place_permitted(&cx.gateway, &req, candidates, now, random),
    };
    placed.map_err(|none| {
        cx.gateway.count_rejected(&cx.service.name);
        let after = match none {
            PlacementError::NoUpstream => next,
            PlacementError::Busy(after) => Some(next.map_or(after, |next| next.min(after))),
        };
        match after {
            Some(after) => LocalResponse::with_retry_after(
                Reason::Busy,
                add_jitter(after.max(MIN_RETRY_AFTER)),
            ),
            None => {
                LocalResponse::with_retry_after(Reason::NoUpstream, add_jitter(MIN_RETRY_AFTER * 4))
            }
        }
    })
}

fn respond(
    cx: &Rc<RequestContext>,
    answered: UpstreamResponse,
    attempts: Attempts,
) -> Response<BoxBody> {
    cx.gateway.metrics.first_byte.observe(cx.arrived.elapsed().as_secs_f64());
    match answered {
        UpstreamResponse::Buffered(response) => {
            cx.log_end(Reason::Answered, response.status.as_u16());
            buffered_response(response)
        }
        UpstreamResponse::Large { start, connection, guard } => {
            let mut response = Response::new(start.status);
            response.head_mut().headers = start.headers.clone();
            let relay = LargeBodyRelay::new(cx.clone(), start, connection, guard);
            response.set_body(BoxBody::new(relay.into_body()))
        }
        UpstreamResponse::Events(started) => {
            let mut response = Response::new(started.status);
            response.head_mut().headers = started.headers.clone();
            cx.bind_stream(SoftwareVersion::from(&*started.guard.upstream));
            let relay = EventRelay::new(cx.clone(), started, attempts);
            response.set_body(BoxBody::new(relay.into_body()))
        }
    }
}

fn buffered_response(buffered: BufferedResponse) -> Response<BoxBody> {
    let mut response = Response::new(buffered.status);
    response.head_mut().headers = buffered.headers;
    response.set_body(BoxBody::new(buffered.body))
}

/// Resumes a stream on another upstream, after the last event that was relayed.
///
/// `reserved` is used first. Returns `None` if the stream can't be resumed.
pub(crate) async fn resume(
    cx: &Rc<RequestContext>,
    attempts: &mut Attempts,
    after: Option<u64>,
    mut reserved: Option<Placement>,
) -> Option<StartedStream> {
    loop {
        let placement = next_placement(cx, attempts, &mut reserved).ok()?;
        let id = placement.upstream.id();
        match send(cx, &placement, after).await {
            Ok(UpstreamResponse::Events(started)) => return Some(started),
            Ok(_) => return None,
            Err(failure) => {
                if attempts.record(id, failure.outcome) != NextStep::MayRetry {
                    return None;
                }
            }
        }
    }
}
