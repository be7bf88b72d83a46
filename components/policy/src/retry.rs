//! Whether a failed attempt is made again, and whether a slow one is doubled.

use std::time::Duration;

use displaydoc::Display;
use lycheelatch_prelude::{Attempt, Idempotency, UpstreamId, ZoneName};
use lycheelatch_upstream::Reached;
use tokio::time::Instant;

/// Most attempts that the proxy makes for one request, the first included.
const MAX_ATTEMPTS: u32 = 2;

/// An attempt that failed.
#[derive(Debug, Clone)]
pub struct FailedAttempt {
    /// Upstream that was tried.
    pub upstream: UpstreamId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether a byte may have reached it.
    pub reached: Reached,
    /// Whether a byte of its answer went to the caller.
    pub response_started: bool,
}

/// The request that an attempt was made for.
#[derive(Debug, Clone)]
pub struct RetryContext {
    /// Number of the attempt, as the caller counts.
    pub caller_attempt: Attempt,
    /// Whether admission took the request for a retry.
    pub is_caller_retry: bool,
    /// Attempts that the proxy has made.
    pub attempts: u32,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Time that an attempt takes as a rule.
    pub expected: Duration,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another upstream.
    Retry {
        /// Upstream that must not be taken again.
        exclude: UpstreamId,
        /// Availability zone that is better avoided.
        avoid_zone: ZoneName,
    },
    /// Answer the caller with the failure.
    GiveUp(NoRetryReason),
}

/// Why a failed attempt is not made again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NoRetryReason {
    /// the request may have run and must not run twice
    MayHaveRun,
    /// a part of the answer has reached the caller
    ResponseStarted,
    /// the caller retries itself
    CallerRetries,
    /// the request was tried often enough
    MaxAttempts,
    /// the caller's deadline comes before an answer could
    Deadline,
    /// the retry budget is spent
    Budget,
}

impl std::error::Error for NoRetryReason {}

/// Decides on retries and hedges of the proxy.
///
/// Retries happen on one level only: a request that its caller sent again is
/// not sent again by the proxy.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides what follows a failed attempt; `draw` takes a retry from the budget.
    pub fn decide(
        &self,
        now: Instant,
        failed: &FailedAttempt,
        cx: &RetryContext,
        draw: impl FnOnce() -> bool,
    ) -> RetryDecision {
        if failed.response_started {
            return RetryDecision::GiveUp(NoRetryReason::ResponseStarted);
        }
        match self.check_retry(now, failed.reached, cx, draw) {
            Err(why) => RetryDecision::GiveUp(why),
            Ok(()) => RetryDecision::Retry {
                exclude: failed.upstream.clone(),
                avoid_zone: failed.zone.clone(),
            },
        }
    }

    /// Returns whether an attempt without any answer is made again.
    pub fn check_retry(
        &self,
        now: Instant,
        reached: Reached,
        cx: &RetryContext,
        draw: impl FnOnce() -> bool,
    ) -> Result<(), NoRetryReason> {
        match self.no_retry_reason(now, reached, cx) {
            Some(why) => Err(why),
            None if !draw() => Err(NoRetryReason::Budget),
            None => Ok(()),
        }
    }

    fn no_retry_reason(
        &self,
        now: Instant,
        reached: Reached,
        cx: &RetryContext,
    ) -> Option<NoRetryReason> {
        let may_have_run = reached == Reached::MayHaveRun;
        if may_have_run && cx.idempotency == Idempotency::NonIdempotent {
            return Some(NoRetryReason::MayHaveRun);
        }
        if cx.is_caller_retry || !cx.caller_attempt.is_fresh() {
            return Some(NoRetryReason::CallerRetries);
        }
        if cx.attempts >= MAX_ATTEMPTS {
            return Some(NoRetryReason::MaxAttempts);
        }
        if now + cx.expected > cx.deadline {
            return Some(NoRetryReason::Deadline);
        }
        None
    }

    /// Returns whether a second attempt may run beside a slow first one.
    ///
    /// `waited` is the time since the first was sent without any answer, and
    /// `usual_p95` the time within which 95 of 100 attempts answer.
    pub fn may_hedge(
        &self,
        now: Instant,
        waited: Duration,
        usual_p95: Duration,
        cx: &RetryContext,
        draw: impl FnOnce() -> bool,
    ) -> bool {
        cx.idempotency == Idempotency::Idempotent
            && !cx.is_caller_retry
            && cx.caller_attempt.is_fresh()
            && cx.attempts < MAX_ATTEMPTS
            && waited >= usual_p95
            && now + cx.expected <= cx.deadline
            && draw()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn failed(reached: Reached) -> FailedAttempt {
        FailedAttempt {
            upstream: "r-1".parse().unwrap(),
            zone: "cenarth".parse().unwrap(),
            reached,
            response_started: false,
        }
    }

    fn context(now: Instant) -> RetryContext {
        RetryContext {
            caller_attempt: Attempt::FIRST,
            is_caller_retry: false,
            attempts: 1,
            idempotency: Idempotency::NonIdempotent,
            deadline: now + Duration::from_secs(10),
            expected: Duration::from_secs(1),
        }
    }

    fn decide(failed: &FailedAttempt, cx: &RetryContext, now: Instant) -> RetryDecision {
        RetryPolicy.decide(now, failed, cx, || true)
    }

    #[test]
    fn decide_not_run_goes_elsewhere() {
        let now = Instant::now();
        let decision = decide(&failed(Reached::NotRun), &context(now), now);
        let RetryDecision::Retry { exclude, avoid_zone } = decision else {
            panic!("gave up: {decision:?}");
        };
        assert_eq!((exclude.as_str(), avoid_zone.as_str()), ("r-1", "cenarth"));
    }

    #[test]
    fn decide_non_idempotent_runs_once() {
        let now = Instant::now();
        let decision = decide(&failed(Reached::MayHaveRun), &context(now), now);
        assert_eq!(decision, RetryDecision::GiveUp(NoRetryReason::MayHaveRun));
    }

    #[test]
    fn decide_one_level_only() {
        let now = Instant::now();
        let cx = RetryContext { caller_attempt: Attempt(2), ..context(now) };
        let decision = decide(&failed(Reached::NotRun), &cx, now);
        assert_eq!(decision, RetryDecision::GiveUp(NoRetryReason::CallerRetries));
        let cx = RetryContext { is_caller_retry: true, ..context(now) };
        let decision = decide(&failed(Reached::NotRun), &cx, now);
        assert_eq!(decision, RetryDecision::GiveUp(NoRetryReason::CallerRetries));
    }

    #[test]
    fn decide_deadline_tries_and_budget() {
        let now = Instant::now();
        let cx = RetryContext { attempts: MAX_ATTEMPTS, ..context(now) };
        let decision = decide(&failed(Reached::NotRun), &cx, now);
        assert_eq!(decision, RetryDecision::GiveUp(NoRetryReason::MaxAttempts));
        let cx = RetryContext { expected: Duration::from_secs(11), ..context(now) };
        let decision = decide(&failed(Reached::NotRun), &cx, now);
        assert_eq!(decision, RetryDecision::GiveUp(NoRetryReason::Deadline));
        let cx = context(now);
        let decision = RetryPolicy.decide(now, &failed(Reached::NotRun), &cx, || false);
        assert_eq!(decision, RetryDecision::GiveUp(NoRetryReason::Budget));
    }

    #[test]
    fn decide_answered_is_never_repeated() {
        let now = Instant::now();
        let failed = FailedAttempt { response_started: true, ..failed(Reached::MayHaveRun) };
        let cx = RetryContext { idempotency: Idempotency::Idempotent, ..context(now) };
        assert_eq!(
            decide(&failed, &cx, now),
            RetryDecision::GiveUp(NoRetryReason::ResponseStarted)
        );
    }

    #[test]
    fn may_hedge_only_idempotent() {
        let now = Instant::now();
        let (waited, p95) = (Duration::from_millis(400), Duration::from_millis(300));
        assert!(!RetryPolicy.may_hedge(now, waited, p95, &context(now), || true));
        let cx = RetryContext { idempotency: Idempotency::Idempotent, ..context(now) };
        assert!(RetryPolicy.may_hedge(now, waited, p95, &cx, || true));
        assert!(!RetryPolicy.may_hedge(now, p95 / 2, p95, &cx, || true));
        assert!(!RetryPolicy.may_hedge(now, waited, p95, &cx, || false));
    }
}
