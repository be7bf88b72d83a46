//! Samples of speed on their way between nodes.

use std::rc::Rc;

use super::*;
use crate::{ClusterClock, SystemBootClock, test_support};

const USUAL: Duration = Duration::from_millis(100);

/// Returns a node that knows one upstream.
fn node(number: usize) -> (Gateway, Rc<Upstream>) {
    let gateway = test_support::gateway(number, ClusterClock::new(Rc::new(SystemBootClock)));
    gateway.directory.put(test_support::engine_entry("r-1", "zone-a"), test_support::first_era(1));
    let upstream = gateway.directory.get(&"r-1".parse().unwrap()).unwrap();
    (gateway, upstream)
}

fn expected() -> ExpectedSpeed {
    ExpectedSpeed { factor: 1.0, crowding: 0.25, stated: 0.0, believed: 0.0, usual_time: USUAL }
}

#[test]
fn handle_speed_notices_takes_over_what_another_node_measured() {
    let ((here, seen), (there, heard)) = (node(1), node(2));
    let now = Instant::now();
    let load = ReportedLoad { running: 1, waiting: 0, slots: 4, work_time_percent: Some(300) };
    record_reported_load(&seen, load, now);
    (0..8).for_each(|_| record_answer_time(&here, &seen, expected(), USUAL * 3, now));
    let notices = here.speed_notices.take();
    let bytes = postcard::to_stdvec(&notices).unwrap();
    assert!(bytes.len() <= 1 + 8 * notices.len(), "{} bytes", bytes.len());
    handle_speed_notices(&there, &notices, now);
    let (seen, heard) = (seen.speed.borrow(), heard.speed.borrow());
    assert!(heard.factor(0.0, now) > 2.0, "{}", heard.factor(0.0, now));
    assert!((heard.factor(0.0, now) / seen.factor(0.0, now)).ln().abs() < 0.1);
    assert!(heard.stated_deviation(now) != 0.0, "the stated figure is passed on");
}

#[test]
fn handle_speed_notices_ignores_unknown_upstreams() {
    let (there, heard) = node(2);
    let key = UpstreamKey::from(&"r-9".parse().unwrap());
    let sample = SpeedSample { log_ratio: 1.0, crowding: 0.0 };
    handle_speed_notices(&there, &[SpeedNotice::new(key, sample, None)], Instant::now());
    assert!(heard.speed.borrow().is_unknown());
}

#[test]
fn record_missing_answer_counts_only_what_is_overdue() {
    let (here, upstream) = node(1);
    let now = Instant::now();
    record_missing_answer(&here, &upstream, expected(), USUAL / 10, now);
    assert!(here.speed_notices.borrow().is_empty());
    record_missing_answer(&here, &upstream, expected(), USUAL * 10, now);
    assert_eq!(here.speed_notices.borrow().len(), 1);
}

#[test]
fn keep_for_others_is_bounded() {
    let (here, upstream) = node(1);
    let now = Instant::now();
    (0..500).for_each(|_| record_answer_time(&here, &upstream, expected(), USUAL, now));
    assert_eq!(here.speed_notices.borrow().len(), MAX_WAITING);
}

#[test]
fn upstream_speed_is_small() {
    assert!(size_of::<lycheelatch_policy::UpstreamSpeed>() <= 96);
}
