//! Attempts at upstreams and whether another one is made.

use lycheelatch_prelude::{Idempotency, UpstreamId, ZoneName};
use lycheelatch_upstream::{Reached, UpstreamError};
use tokio::time::Instant;

use crate::{Record, Refusal, RefusalReason, Upstream};

/// Most attempts at one request.
const MAX_ATTEMPTS: usize = 3;

/// What is asked before another attempt.
pub struct RetryAsk<'a> {
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
    fn allow(&self, ask: &RetryAsk<'_>) -> bool;
}

/// Allows a fixed number of attempts.
pub struct RetryFixed;

impl Retry for RetryFixed {
    fn allow(&self, ask: &RetryAsk<'_>) -> bool {
        ask.attempts < MAX_ATTEMPTS
    }
}

/// The attempts at one request so far.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) last_zone: Option<ZoneName>,
    pub(crate) may_have_run: bool,
}

impl Attempts {
    /// Notes an attempt that failed.
    pub(crate) fn failed(&mut self, upstream: &Upstream, err: &UpstreamError) {
        self.tried.push(upstream.id().clone());
        self.last_zone = Some(upstream.listed.zone.clone());
        self.may_have_run |= err.reached() == Reached::MayHaveRun;
    }

    /// Returns whether another attempt is made.
    pub(crate) fn may_retry(&self, retry: &dyn Retry, rec: &Record, err: &UpstreamError) -> bool {
        if self.may_have_run && rec.idempotency == Idempotency::NonIdempotent {
            return false;
        }
        if matches!(err, UpstreamError::Rejected { .. } | UpstreamError::Unsupported) {
            return false;
        }
        if rec.time_left(Instant::now()).is_zero() {
            return false;
        }
        retry.allow(&RetryAsk { rec, err, attempts: self.tried.len() })
    }

    /// Returns the answer when no further attempt is made.
    pub(crate) fn refusal(&self, err: UpstreamError) -> Refusal {
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
        let refusal = match self.may_have_run {
            true => Refusal::unknown(reason),
            false => Refusal::not_run(reason),
        };
        Refusal { retry_after, ..refusal }
    }
}
