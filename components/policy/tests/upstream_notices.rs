//! When requests may be sent to upstreams that leave or ask for quiet.

use std::time::Duration;

use lycheelatch_policy::{TimeToSend, UpstreamNotice, UpstreamNotices, UpstreamStart};
use lycheelatch_prelude::UpstreamId;
use proptest::prelude::*;
use tokio::time::Instant;

const FIRST: UpstreamStart = UpstreamStart { started_at_ms: Some(1000) };
const SECOND: UpstreamStart = UpstreamStart { started_at_ms: Some(2000) };
const UNKNOWN: UpstreamStart = UpstreamStart { started_at_ms: None };

fn id(n: usize) -> UpstreamId {
    format!("r-{n}").parse().unwrap()
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn time_to_send_without_notice_is_now() {
    let notices = UpstreamNotices::default();
    assert_eq!(notices.time_to_send(&id(1), FIRST, Instant::now()), TimeToSend::Now);
}

#[test]
fn time_to_send_leaving_is_never_until_another_start() {
    let now = Instant::now();
    let mut notices = UpstreamNotices::default();
    assert!(notices.record(&id(1), FIRST, UpstreamNotice::Leaving, now));
    assert!(!notices.record(&id(1), FIRST, UpstreamNotice::Leaving, now), "is known");
    let later = now + secs(3600);
    assert_eq!(notices.time_to_send(&id(1), FIRST, later), TimeToSend::Never);
    assert_eq!(notices.time_to_send(&id(1), SECOND, later), TimeToSend::Now);
    assert_eq!(notices.time_to_send(&id(1), UNKNOWN, later), TimeToSend::Now);
    assert_eq!(notices.time_to_send(&id(2), FIRST, later), TimeToSend::Now);
}

#[test]
fn time_to_send_leaving_without_known_start_is_never() {
    let now = Instant::now();
    let mut notices = UpstreamNotices::default();
    notices.record(&id(1), UNKNOWN, UpstreamNotice::Leaving, now);
    assert_eq!(notices.time_to_send(&id(1), UNKNOWN, now + secs(60)), TimeToSend::Never);
}

#[test]
fn time_to_send_new_start_that_leaves_too() {
    let now = Instant::now();
    let mut notices = UpstreamNotices::default();
    notices.record(&id(1), FIRST, UpstreamNotice::RetryAfter(secs(9)), now);
    notices.record(&id(1), SECOND, UpstreamNotice::Leaving, now);
    assert_eq!(notices.time_to_send(&id(1), SECOND, now), TimeToSend::Never);
}

#[test]
fn time_to_send_retry_after_counts_from_the_notice() {
    let now = Instant::now();
    let mut notices = UpstreamNotices::default();
    let asked = UpstreamNotice::RetryAfter(Duration::from_millis(1500));
    assert!(notices.record(&id(1), FIRST, asked, now));
    let left = notices.time_to_send(&id(1), FIRST, now + secs(1));
    assert_eq!(left, TimeToSend::After(Duration::from_millis(500)));
    let over = now + Duration::from_millis(1500);
    assert_eq!(notices.time_to_send(&id(1), FIRST, over), TimeToSend::Now);
}

#[test]
fn time_to_send_shorter_retry_after_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut notices = UpstreamNotices::default();
    notices.record(&id(1), FIRST, UpstreamNotice::RetryAfter(secs(9)), now);
    assert!(!notices.record(&id(1), FIRST, UpstreamNotice::RetryAfter(secs(1)), now));
    assert_eq!(notices.time_to_send(&id(1), FIRST, now), TimeToSend::After(secs(9)));
}

#[test]
fn time_to_send_retry_after_of_zero_and_of_a_huge_time() {
    let now = Instant::now();
    let mut notices = UpstreamNotices::default();
    assert!(!notices.record(&id(1), FIRST, UpstreamNotice::RetryAfter(Duration::ZERO), now));
    assert_eq!(notices.time_to_send(&id(1), FIRST, now), TimeToSend::Now);
    notices.record(&id(1), FIRST, UpstreamNotice::RetryAfter(Duration::MAX), now);
    assert_eq!(notices.time_to_send(&id(1), FIRST, now), TimeToSend::After(secs(24 * 3600)));
    let over = now + secs(24 * 3600);
    assert_eq!(notices.time_to_send(&id(1), FIRST, over), TimeToSend::Now);
}

proptest! {
    #[test]
    fn time_to_send_any_sequence_keeps_what_was_asked(
        asked in prop::collection::vec((0..3_usize, 0..5000_u64, 0..8000_u64, any::<bool>()), 1..40),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut notices = UpstreamNotices::default();
        let mut quiet_until = [start; 3];
        let mut is_leaving = [false; 3];
        for (upstream, pause_ms, quiet_ms, leaves) in asked {
            now += Duration::from_millis(pause_ms);
            let notice = if leaves {
                is_leaving[upstream] = true;
                UpstreamNotice::Leaving
            } else {
                let quiet = Duration::from_millis(quiet_ms);
                quiet_until[upstream] = quiet_until[upstream].max(now + quiet);
                UpstreamNotice::RetryAfter(quiet)
            };
            notices.record(&id(upstream), FIRST, notice, now);
            for n in 0..3 {
                let expected = if is_leaving[n] {
                    TimeToSend::Never
                } else if quiet_until[n] > now {
                    TimeToSend::After(quiet_until[n] - now)
                } else {
                    TimeToSend::Now
                };
                prop_assert_eq!(notices.time_to_send(&id(n), FIRST, now), expected);
            }
        }
    }
}
