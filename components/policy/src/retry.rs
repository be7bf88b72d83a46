//! Retry and hedging policy of the proxy.

use std::time::Duration;

use displaydoc::Display;
use lycheelatch_prelude::{Attempt, Idempotency, UpstreamId, ZoneName};
use lycheelatch_upstream::Reached;
use tokio::time::Instant;

/// Maximum attempts of the proxy for one request, including the first.
const MAX_ATTEMPTS: u32 = 2;

/// An attempt that failed.
#[derive(Debug, Clone)]
pub struct FailedAttempt {
    /// Upstream that the attempt was sent to.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Whether the request may have reached the upstream.
    pub reached: Reached,
    /// Whether a part of the response was relayed to the caller.
    pub response_started: bool,
}

/// Properties of a request that decide whether it is retried or hedged.
#[derive(Debug, Clone)]
pub struct RetryContext {
    /// Attempt number given by the caller.
    pub caller_attempt: Attempt,
    /// Whether admission classified the request as a retry by the caller.
    pub is_caller_retry: bool,
    /// Number of attempts made by the proxy.
    pub attempts: u32,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Expected duration of an attempt.
    pub expected: Duration,
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another upstream.
    Retry {
        /// Upstream that must not be used again.
        exclude: UpstreamId,
        /// Availability zone to avoid if possible.
        avoid_zone: ZoneName,
    },
    /// Return the failure to the caller.
    GiveUp(NoRetryReason),
}

/// Reason why a failed attempt is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NoRetryReason {
    /// the request is not idempotent and may have been executed
    MayHaveRun,
    /// a part of the response was already relayed to the caller
    ResponseStarted,
    /// the request is itself a retry by the caller
    CallerRetries,
    /// the maximum number of attempts is reached
    MaxAttempts,
    /// the deadline of the request is earlier than its expected completion
    Deadline,
    /// the retry budget is exhausted
    Budget,
}

impl std::error::Error for NoRetryReason {}

/// Retry and hedging policy of the proxy.
///
/// Only one level retries: the proxy does not retry a request that is itself a
/// retry by the caller, because retries at several levels multiply.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides what to do after a failed attempt. `withdraw` takes a retry from the budget and
    /// returns false if the budget is exhausted; it is called only if all other checks pass.
    pub fn decide(
        &self,
        now: Instant,
        failed: &FailedAttempt,
        cx: &RetryContext,
        withdraw: impl FnOnce() -> bool,
    ) -> RetryDecision {
        if failed.response_started {
            return RetryDecision::GiveUp(NoRetryReason::ResponseStarted);
        }
        match self.check_retry(now, failed.reached, cx, withdraw) {
            Err(reason) => RetryDecision::GiveUp(reason),
            Ok(()) => RetryDecision::Retry {
                exclude: failed.upstream.clone(),
                avoid_zone: failed.zone.clone(),
            },
        }
    }

    /// Checks whether an attempt that got no response may be retried. `withdraw` is as in
    /// [`RetryPolicy::decide`].
    pub fn check_retry(
        &self,
        now: Instant,
        reached: Reached,
        cx: &RetryContext,
        withdraw: impl FnOnce() -> bool,
    ) -> Result<(), NoRetryReason> {
        match self.no_retry_reason(now, reached, cx) {
            Some(reason) => Err(reason),
            None if !withdraw() => Err(NoRetryReason::Budget),
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

    /// Returns whether a slow first attempt may be hedged by a second one.
    ///
    /// `waited` is the time since the first attempt was sent, without a response.
    /// `usual_p95` is the 95th percentile of the response time.
    pub fn may_hedge(
        &self,
        now: Instant,
        waited: Duration,
        usual_p95: Duration,
        cx: &RetryContext,
        withdraw: impl FnOnce() -> bool,
    ) -> bool {
        cx.idempotency == Idempotency::Idempotent
            && !cx.is_caller_retry
            && cx.caller_attempt.is_fresh()
            && cx.attempts < MAX_ATTEMPTS
            && waited >= usual_p95
            && now + cx.expected <= cx.deadline
            && withdraw()
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
    fn decide_not_run_retries_at_another_upstream() {
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
    fn decide_only_one_level_retries() {
        let now = Instant::now();
        let cx = RetryContext { caller_attempt: Attempt(2), ..context(now) };
        let decision = decide(&failed(Reached::NotRun), &cx, now);
        assert_eq!(decision, RetryDecision::GiveUp(NoRetryReason::CallerRetries));
        let cx = RetryContext { is_caller_retry: true, ..context(now) };
        let decision = decide(&failed(Reached::NotRun), &cx, now);
        assert_eq!(decision, RetryDecision::GiveUp(NoRetryReason::CallerRetries));
    }

    #[test]
    fn decide_attempts_deadline_and_budget() {
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
    fn decide_started_response_is_never_retried() {
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
