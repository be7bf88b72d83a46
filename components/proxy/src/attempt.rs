//! Attempts at upstreams and whether another one is made.

use lycheelatch_policy::{
    AttemptEvent, AttemptNumber, LifecycleState, LifecycleStep, RequestEvent, RequestLifecycle,
};
use lycheelatch_prelude::{Idempotency, Outcome, UpstreamId, ZoneName};
use lycheelatch_upstream::{Reached, UpstreamError};
use tokio::time::Instant;

use crate::{Record, Refusal, RefusalReason, Upstream};

/// Most attempts at one request.
pub(crate) const MAX_ATTEMPTS: u32 = 3;

/// What is asked before another attempt.
pub struct FailedAttempt<'a> {
    /// The request.
    pub rec: &'a Record,
    /// How the last attempt failed.
    pub err: &'a UpstreamError,
    /// Attempts so far.
    pub attempts: usize,
}

/// Decides whether another attempt is made, where the outcome permits one.
pub trait Retry: Send + Sync {
    /// Returns whether there is room for another attempt.
    fn allow(&self, failed: &FailedAttempt<'_>) -> bool;
}

/// Allows a fixed number of attempts.
pub struct RetryFixed;

impl Retry for RetryFixed {
    fn allow(&self, failed: &FailedAttempt<'_>) -> bool {
        failed.attempts < MAX_ATTEMPTS as usize
    }
}

/// The attempts at one request so far.
#[derive(Debug)]
pub(crate) struct Attempts {
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) last_zone: Option<ZoneName>,
    /// Upstreams whose connection went silent once.
    silent: Vec<UpstreamId>,
    lifecycle: RequestLifecycle,
    current: AttemptNumber,
}

impl Attempts {
    /// Creates the attempts at a request; at most `max` are made.
    pub(crate) fn new(idempotency: Idempotency, is_resumable: bool, max: u32) -> Attempts {
        Attempts::from_lifecycle(RequestLifecycle::new(idempotency, is_resumable, max))
    }

    /// Creates the attempts at going on with an answer that was relayed in part.
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

    /// Notes that the request is about to be sent; false if it must not be.
    pub(crate) fn start(&mut self) -> bool {
        let Some(current) = self.lifecycle.start_attempt() else { return false };
        self.current = current;
        // The client does not say when the first byte goes out.
        self.apply(AttemptEvent::BytesSent) == LifecycleStep::Continue
    }

    fn apply(&mut self, event: AttemptEvent) -> LifecycleStep {
        self.lifecycle.on_attempt(self.current, event)
    }

    /// Notes that the answer has begun.
    pub(crate) fn record_response_start(&mut self) {
        self.apply(AttemptEvent::ResponseStarted);
    }

    /// Notes that a part of the answer is about to go to the caller.
    pub(crate) fn record_relay(&mut self) {
        self.apply(AttemptEvent::ChunkRelayed);
    }

    /// Notes that the answer is whole, and returns the outcome.
    pub(crate) fn finish(&mut self, status: u16) -> Outcome {
        self.apply(AttemptEvent::ResponseEnded { status });
        self.outcome(RequestEvent::GivenUp)
    }

    /// Notes an attempt that failed.
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

    /// Returns whether a connection went silent where none had before: that says
    /// nothing of the upstream, which a fresh connection may reach.
    pub(crate) fn is_first_silence(&self, upstream: &Upstream, err: &UpstreamError) -> bool {
        matches!(err, UpstreamError::Silent { .. }) && !self.silent.contains(upstream.id())
    }

    /// Notes that the upstream is left without its being blamed.
    pub(crate) fn abandon(&mut self, upstream: &Upstream) {
        self.tried.push(upstream.id().clone());
        self.apply(AttemptEvent::Failed { may_have_run: true });
    }

    /// Returns whether the outcome permits another attempt.
    pub(crate) fn may_start_attempt(&self) -> bool {
        self.lifecycle.may_start_attempt()
    }

    /// Returns whether another attempt is made.
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

    /// Ends the request, if it has not ended, and returns its outcome.
    pub(crate) fn outcome(&mut self, event: RequestEvent) -> Outcome {
        self.lifecycle.on_request(event);
        match self.lifecycle.state() {
            LifecycleState::Ended(outcome) => outcome,
            _ => Outcome::Unknown,
        }
    }

    /// Returns the answer when no further attempt is made.
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
