//! Whether a failed attempt is made again, and whether a slow one is doubled.

use std::time::Duration;

use displaydoc::Display;
use lycheelatch_prelude::{Attempt, Idempotency, UpstreamId, ZoneName};
use lycheelatch_upstream::Reached;
use tokio::time::Instant;

/// Most attempts that the proxy makes for one request, the first included.
const MAX_TRIES: u32 = 2;

/// An attempt that failed.
#[derive(Debug, Clone)]
pub struct FailedTry {
    /// Upstream that was tried.
    pub upstream: UpstreamId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether a byte may have reached it.
    pub reached: Reached,
    /// Whether a byte of its answer went to the caller.
    pub answered: bool,
}

/// The request that an attempt was made for.
#[derive(Debug, Clone)]
pub struct TryContext {
    /// Number of the attempt, as the caller counts.
    pub attempt: Attempt,
    /// Whether admission took the request for a retry.
    pub retried: bool,
    /// Attempts that the proxy has made.
    pub tries: u32,
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
    Elsewhere {
        /// Upstream that must not be taken again.
        exclude: UpstreamId,
        /// Availability zone that is better avoided.
        avoid_zone: ZoneName,
    },
    /// Answer the caller with the failure.
    GiveUp(GiveUp),
}

/// Why a failed attempt is not made again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum GiveUp {
    /// the request may have run and must not run twice
    MayHaveRun,
    /// a part of the answer has reached the caller
    Answered,
    /// the caller retries itself
    CallerRetries,
    /// the request was tried often enough
    Tries,
    /// the caller's deadline comes before an answer could
    Deadline,
    /// the retry budget is spent
    Budget,
}

impl std::error::Error for GiveUp {}

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
        failed: &FailedTry,
        cx: &TryContext,
        draw: impl FnOnce() -> bool,
    ) -> RetryDecision {
        if failed.answered {
            return RetryDecision::GiveUp(GiveUp::Answered);
        }
        match self.may_retry(now, failed.reached, cx, draw) {
            Err(why) => RetryDecision::GiveUp(why),
            Ok(()) => RetryDecision::Elsewhere {
                exclude: failed.upstream.clone(),
                avoid_zone: failed.zone.clone(),
            },
        }
    }

    /// Returns whether an attempt without any answer is made again.
    pub fn may_retry(
        &self,
        now: Instant,
        reached: Reached,
        cx: &TryContext,
        draw: impl FnOnce() -> bool,
    ) -> Result<(), GiveUp> {
        match self.obstacle(now, reached, cx) {
            Some(why) => Err(why),
            None if !draw() => Err(GiveUp::Budget),
            None => Ok(()),
        }
    }

    fn obstacle(&self, now: Instant, reached: Reached, cx: &TryContext) -> Option<GiveUp> {
        let may_have_run = reached == Reached::MayHaveRun;
        if may_have_run && cx.idempotency == Idempotency::NonIdempotent {
            return Some(GiveUp::MayHaveRun);
        }
        if cx.retried || !cx.attempt.is_fresh() {
            return Some(GiveUp::CallerRetries);
        }
        if cx.tries >= MAX_TRIES {
            return Some(GiveUp::Tries);
        }
        if now + cx.expected > cx.deadline {
            return Some(GiveUp::Deadline);
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
        cx: &TryContext,
        draw: impl FnOnce() -> bool,
    ) -> bool {
        cx.idempotency == Idempotency::Idempotent
            && !cx.retried
            && cx.attempt.is_fresh()
            && cx.tries < MAX_TRIES
            && waited >= usual_p95
            && now + cx.expected <= cx.deadline
            && draw()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn failed(reached: Reached) -> FailedTry {
        FailedTry {
            upstream: "r-1".parse().unwrap(),
            zone: "cenarth".parse().unwrap(),
            reached,
            answered: false,
        }
    }

    fn context(now: Instant) -> TryContext {
        TryContext {
            attempt: Attempt::FIRST,
            retried: false,
            tries: 1,
            idempotency: Idempotency::NonIdempotent,
            deadline: now + Duration::from_secs(10),
            expected: Duration::from_secs(1),
        }
    }

    fn decide(failed: &FailedTry, cx: &TryContext, now: Instant) -> RetryDecision {
        RetryPolicy.decide(now, failed, cx, || true)
    }

    #[test]
    fn decide_not_run_goes_elsewhere() {
        let now = Instant::now();
        let decision = decide(&failed(Reached::NotRun), &context(now), now);
        let RetryDecision::Elsewhere { exclude, avoid_zone } = decision else {
            panic!("gave up: {decision:?}");
        };
        assert_eq!((exclude.as_str(), avoid_zone.as_str()), ("r-1", "cenarth"));
    }

    #[test]
    fn decide_non_idempotent_runs_once() {
        let now = Instant::now();
        let decision = decide(&failed(Reached::MayHaveRun), &context(now), now);
        assert_eq!(decision, RetryDecision::GiveUp(GiveUp::MayHaveRun));
    }

    #[test]
    fn decide_one_level_only() {
        let now = Instant::now();
        let cx = TryContext { attempt: Attempt(2), ..context(now) };
        let decision = decide(&failed(Reached::NotRun), &cx, now);
        assert_eq!(decision, RetryDecision::GiveUp(GiveUp::CallerRetries));
        let cx = TryContext { retried: true, ..context(now) };
        let decision = decide(&failed(Reached::NotRun), &cx, now);
        assert_eq!(decision, RetryDecision::GiveUp(GiveUp::CallerRetries));
    }

    #[test]
    fn decide_deadline_tries_and_budget() {
        let now = Instant::now();
        let cx = TryContext { tries: MAX_TRIES, ..context(now) };
        let decision = decide(&failed(Reached::NotRun), &cx, now);
        assert_eq!(decision, RetryDecision::GiveUp(GiveUp::Tries));
        let cx = TryContext { expected: Duration::from_secs(11), ..context(now) };
        let decision = decide(&failed(Reached::NotRun), &cx, now);
        assert_eq!(decision, RetryDecision::GiveUp(GiveUp::Deadline));
        let cx = context(now);
        let decision = RetryPolicy.decide(now, &failed(Reached::NotRun), &cx, || false);
        assert_eq!(decision, RetryDecision::GiveUp(GiveUp::Budget));
    }

    #[test]
    fn decide_answered_is_never_repeated() {
        let now = Instant::now();
        let failed = FailedTry { answered: true, ..failed(Reached::MayHaveRun) };
        let cx = TryContext { idempotency: Idempotency::Idempotent, ..context(now) };
        assert_eq!(decide(&failed, &cx, now), RetryDecision::GiveUp(GiveUp::Answered));
    }

    #[test]
    fn may_hedge_only_idempotent() {
        let now = Instant::now();
        let (waited, p95) = (Duration::from_millis(400), Duration::from_millis(300));
        assert!(!RetryPolicy.may_hedge(now, waited, p95, &context(now), || true));
        let cx = TryContext { idempotency: Idempotency::Idempotent, ..context(now) };
        assert!(RetryPolicy.may_hedge(now, waited, p95, &cx, || true));
        assert!(!RetryPolicy.may_hedge(now, p95 / 2, p95, &cx, || true));
        assert!(!RetryPolicy.may_hedge(now, waited, p95, &cx, || false));
    }
}
