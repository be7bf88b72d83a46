//! What may follow a send, over every order of ends.

use lycheelatch_gateway::{Attempts, Next, RouteKind, SendEnd};
use lycheelatch_prelude::UpstreamId;

const ENDS: [SendEnd; 4] =
    [SendEnd::NotSent, SendEnd::NotRun, SendEnd::Unknown, SendEnd::RanAndFailed];

const KINDS: [RouteKind; 4] =
    [RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream, RouteKind::ResumableStream];

/// Most sends of a sequence.
const LONGEST: u32 = 5;

/// Follows every sequence of ends for as long as the request may be sent again.
fn each_sequence(kind: RouteKind, max_attempts: u32, check: &mut impl FnMut(&[SendEnd], Next)) {
    fn step(
        attempts: &Attempts,
        ends: &mut Vec<SendEnd>,
        check: &mut impl FnMut(&[SendEnd], Next),
    ) {
        for end in ENDS {
            let mut attempts = attempts.clone();
            let upstream: UpstreamId = format!("r-{}", ends.len()).parse().unwrap();
            let next = attempts.ended(upstream, end);
            ends.push(end);
            check(ends, next);
            if next == Next::MayRepeat && ends.len() < LONGEST as usize {
                step(&attempts, ends, check);
            }
            ends.pop();
        }
    }
    step(&Attempts::new(kind, max_attempts), &mut Vec::new(), check);
}

fn may_have_run(ends: &[SendEnd]) -> bool {
    ends.iter().any(|end| matches!(end, SendEnd::Unknown | SendEnd::RanAndFailed))
}

#[test]
fn ended_at_most_once_never_repeats_what_may_have_run() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Stream] {
        for max_attempts in 1..4 {
            each_sequence(kind, max_attempts, &mut |ends, next| {
                if may_have_run(ends) {
                    assert_eq!(next, Next::FailUnknown, "{kind:?} {ends:?}");
                }
            });
        }
    }
}

#[test]
fn ended_not_run_is_said_only_when_nothing_may_have_run() {
    for kind in KINDS {
        for max_attempts in 1..4 {
            each_sequence(kind, max_attempts, &mut |ends, next| match next {
                Next::RefuseNotRun => assert!(!may_have_run(ends), "{kind:?} {ends:?}"),
                Next::FailUnknown => assert!(may_have_run(ends), "{kind:?} {ends:?}"),
                Next::MayRepeat => {}
            });
        }
    }
}

#[test]
fn ended_keeps_to_most_upstreams() {
    for kind in KINDS {
        for max_attempts in 1..4 {
            each_sequence(kind, max_attempts, &mut |ends, next| {
                let arrived = ends.iter().filter(|end| **end != SendEnd::NotSent).count();
                let is_used_up = arrived >= max_attempts as usize;
                assert!(!is_used_up || next != Next::MayRepeat, "{kind:?} {ends:?}");
            });
        }
    }
}

#[test]
fn ended_not_sent_may_always_go_elsewhere() {
    for kind in KINDS {
        let mut attempts = Attempts::new(kind, 1);
        let upstream: UpstreamId = "r-1".parse().unwrap();
        assert_eq!(attempts.ended(upstream, SendEnd::NotSent), Next::MayRepeat);
        assert!(!attempts.is_retry(), "nothing has arrived");
    }
}
