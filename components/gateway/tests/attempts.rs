//! Exhaustive test of retry decisions over all sequences of attempt outcomes.

use lycheelatch_gateway::{Attempts, NextStep, RouteKind, SendOutcome};
use lycheelatch_prelude::UpstreamId;

const OUTCOMES: [SendOutcome; 4] =
    [SendOutcome::NotSent, SendOutcome::NotRun, SendOutcome::Unknown, SendOutcome::RanAndFailed];

const KINDS: [RouteKind; 4] =
    [RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream, RouteKind::ResumableStream];

/// Maximum number of attempts in a sequence.
const MAX_SENDS: u32 = 5;

/// Calls `check` for every sequence of outcomes, up to the first that allows no retry.
fn each_sequence(
    kind: RouteKind,
    max_attempts: u32,
    check: &mut impl FnMut(&[SendOutcome], NextStep),
) {
    fn step(
        attempts: &Attempts,
        outcomes: &mut Vec<SendOutcome>,
        check: &mut impl FnMut(&[SendOutcome], NextStep),
    ) {
        for outcome in OUTCOMES {
            let mut attempts = attempts.clone();
            let upstream: UpstreamId = format!("r-{}", outcomes.len()).parse().unwrap();
            let next = attempts.record(upstream, outcome);
            outcomes.push(outcome);
            check(outcomes, next);
            if next == NextStep::MayRetry && outcomes.len() < MAX_SENDS as usize {
                step(&attempts, outcomes, check);
            }
            outcomes.pop();
        }
    }
    step(&Attempts::new(kind, max_attempts), &mut Vec::new(), check);
}

fn may_have_run(outcomes: &[SendOutcome]) -> bool {
    outcomes
        .iter()
        .any(|outcome| matches!(outcome, SendOutcome::Unknown | SendOutcome::RanAndFailed))
}

#[test]
fn record_at_most_once_never_retries_what_may_have_run() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Stream] {
        for max_attempts in 1..4 {
            each_sequence(kind, max_attempts, &mut |outcomes, next| {
                if may_have_run(outcomes) {
                    assert_eq!(next, NextStep::FailUnknown, "{kind:?} {outcomes:?}");
                }
            });
        }
    }
}

#[test]
fn record_refuses_as_not_run_only_if_nothing_may_have_run() {
    for kind in KINDS {
        for max_attempts in 1..4 {
            each_sequence(kind, max_attempts, &mut |outcomes, next| match next {
                NextStep::RefuseNotRun => assert!(!may_have_run(outcomes), "{kind:?} {outcomes:?}"),
                NextStep::FailUnknown => assert!(may_have_run(outcomes), "{kind:?} {outcomes:?}"),
                NextStep::MayRetry => {}
            });
        }
    }
}

#[test]
fn record_respects_max_attempts() {
    for kind in KINDS {
        for max_attempts in 1..4 {
            each_sequence(kind, max_attempts, &mut |outcomes, next| {
                let delivered =
                    outcomes.iter().filter(|outcome| **outcome != SendOutcome::NotSent).count();
                let is_used_up = delivered >= max_attempts as usize;
                assert!(!is_used_up || next != NextStep::MayRetry, "{kind:?} {outcomes:?}");
            });
        }
    }
}

#[test]
fn record_not_sent_may_always_be_retried() {
    for kind in KINDS {
        let mut attempts = Attempts::new(kind, 1);
        let upstream: UpstreamId = "r-1".parse().unwrap();
        assert_eq!(attempts.record(upstream, SendOutcome::NotSent), NextStep::MayRetry);
        assert!(!attempts.is_retry(), "no attempt was delivered");
    }
}
