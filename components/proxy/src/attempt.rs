//! Attempts of a request at upstreams, and the decision whether to retry.

use lycheelatch_policy::{
    AttemptEvent, AttemptNumber, LifecycleState, LifecycleStep, RequestEvent, RequestLifecycle,
};
use lycheelatch_prelude::{Idempotency, Outcome, UpstreamId, ZoneName};
use lycheelatch_upstream::{Reached, UpstreamError};
use tokio::time::Instant;

use crate::{Record, Refusal, RefusalReason, Upstream};

/// Maximum number of attempts for one request.
pub(crate) const MAX_ATTEMPTS: u32 = 3;

/// A failed attempt that may be retried.
pub struct FailedAttempt<'a> {
    /// The request.
    pub rec: &'a Record,
    /// Error of the last attempt.
    pub err: &'a UpstreamError,
    /// Number of attempts so far.
    pub attempts: usize,
}

/// Decides whether a failed attempt is retried, if its outcome permits a retry.
pub trait Retry: Send + Sync {
    /// Returns whether another attempt may be made.
    fn allow(&self, failed: &FailedAttempt<'_>) -> bool;
}

/// Allows retries up to a fixed number of attempts.
pub struct RetryFixed;

impl Retry for RetryFixed {
    fn allow(&self, failed: &FailedAttempt<'_>) -> bool {
        failed.attempts < MAX_ATTEMPTS as usize
    }
}

/// Attempts made so far for one request.
#[derive(Debug)]
pub(crate) struct Attempts {
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) last_zone: Option<ZoneName>,
    /// Upstreams with one connection that timed out without progress.
    silent: Vec<UpstreamId>,
    lifecycle: RequestLifecycle,
    current: AttemptNumber,
}

impl Attempts {
    /// Creates the state of a request that may make at most `max` attempts.
    pub(crate) fn new(idempotency: Idempotency, is_resumable: bool, max: u32) -> Attempts {
        Attempts::from_lifecycle(RequestLifecycle::new(idempotency, is_resumable, max))
    }

    /// Creates the state of a resumed request, whose response was partly relayed before.
    pub(crate) fn resumed(idempotency: Idempotency, max: u32) -> Attempts {
        Attempts::from_lifecycle(RequestLifecycle::resumed(idempotency, max))
    }

    fn from_lifecycle(lifecycle: RequestLifecycle) -> Attempts {
        Attempts {
            tried: Vec::new(),
            last_zone: None,
            silent: Vec::new(),
            lifecycle,
            current: AttemptNumber(0),
        }
    }

    /// Records that the request is about to be sent; returns false if it must not be sent.
    pub(crate) fn start(&mut self) -> bool {
        let Some(current) = self.lifecycle.start_attempt() else { return false };
        self.current = current;
        // The client does not report when the first byte is sent.
        self.apply(AttemptEvent::BytesSent) == LifecycleStep::Continue
    }

    fn apply(&mut self, event: AttemptEvent) -> LifecycleStep {
        self.lifecycle.on_attempt(self.current, event)
    }

    /// Records the start of the response.
    pub(crate) fn record_response_start(&mut self) {
        self.apply(AttemptEvent::ResponseStarted);
    }

    /// Records that a part of the response is about to be relayed to the caller.
    pub(crate) fn record_relay(&mut self) {
        self.apply(AttemptEvent::ChunkRelayed);
    }

    /// Records that the response is complete and returns the outcome.
    pub(crate) fn finish(&mut self, status: u16) -> Outcome {
        self.apply(AttemptEvent::ResponseEnded { status });
        self.outcome(RequestEvent::GivenUp)
    }

    /// Records a failed attempt.
    pub(crate) fn record_failure(&mut self, upstream: &Upstream, err: &UpstreamError) {
        if self.is_first_silence(upstream, err) {
            self.silent.push(upstream.id().clone());
        } else {
            self.tried.push(upstream.id().clone());
            self.last_zone = Some(upstream.listed.zone.clone());
        }
        let may_have_run = err.reached() == Reached::MayHaveRun;
        self.apply(AttemptEvent::Failed { may_have_run });
    }

    /// Returns whether this is the first connection to the upstream that timed out without
    /// progress. This alone is no evidence against the upstream: a new connection may reach it.
    pub(crate) fn is_first_silence(&self, upstream: &Upstream, err: &UpstreamError) -> bool {
        matches!(err, UpstreamError::Silent { .. }) && !self.silent.contains(upstream.id())
    }

    /// Records that the attempt is given up without counting it as a failure of the upstream.
    pub(crate) fn abandon(&mut self, upstream: &Upstream) {
        self.tried.push(upstream.id().clone());
        self.apply(AttemptEvent::Failed { may_have_run: true });
    }

    /// Returns whether the outcome permits another attempt.
    pub(crate) fn may_start_attempt(&self) -> bool {
        self.lifecycle.may_start_attempt()
    }

    /// Returns whether the failed attempt is retried.
    pub(crate) fn may_retry(&self, retry: &dyn Retry, rec: &Record, err: &UpstreamError) -> bool {
        if !self.may_start_attempt() {
            return false;
        }
        if matches!(err, UpstreamError::Rejected { .. } | UpstreamError::Unsupported) {
            return false;
        }
        if rec.time_left(Instant::now()).is_zero() {
            return false;
        }
        retry.allow(&FailedAttempt { rec, err, attempts: self.current.0 as usize })
    }

    /// Ends the request unless it has ended already, and returns its outcome.
    pub(crate) fn outcome(&mut self, event: RequestEvent) -> Outcome {
        self.lifecycle.on_request(event);
        match self.lifecycle.state() {
            LifecycleState::Ended(outcome) => outcome,
            _ => Outcome::Unknown,
        }
    }

    /// Returns the refusal for a request that is not retried.
    pub(crate) fn refusal(&mut self, err: UpstreamError) -> Refusal {
        let retry_after = match &err {
            UpstreamError::Refused { retry_after_ms: Some(ms), .. } => {
                Some(std::time::Duration::from_millis(*ms))
            }
            _ => None,
        };
        let reason = match err {
            UpstreamError::Rejected { status, body } => {
                RefusalReason::UpstreamRejected { status, body }
            }
            UpstreamError::Refused { .. } => RefusalReason::Overloaded,
            err => RefusalReason::UpstreamFailed(err.to_string()),
        };
        Refusal { reason, outcome: self.outcome(RequestEvent::GivenUp), retry_after }
    }
}
