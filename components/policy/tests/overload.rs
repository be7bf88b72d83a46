//! Recovery from a metastable overload: half of the upstreams fail while all callers retry
//! immediately.

mod support;

use std::time::Duration;

use support::overload::{Report, RetryMarking, Setup, Strategy, Trigger, fairness, run};

/// Minimum fresh goodput during the outage, as a share of the remaining upstream capacity.
const MIN_GOODPUT_DURING: f64 = 0.9;

/// Minimum share of arrivals completed from 5 s after the outage, relative to before it.
const MIN_GOODPUT_AFTER: f64 = 0.99;

/// Maximum retries at the upstreams within any second, as a share of the fresh requests.
const MAX_RETRY_SHARE: f64 = 0.2;

/// Maximum share of arrivals that a collapsed baseline completes.
const MAX_BASELINE_AFTER: f64 = 0.1;

/// Maximum increase of the p95 latency of the other workspaces, as a factor, when one workspace
/// sends ten times its share.
const MAX_P95_FACTOR: f64 = 1.1;

fn outage_span(setup: &Setup) -> (u64, u64) {
    let from = setup.trigger_at.as_secs();
    (from, from + setup.trigger_for.as_secs())
}

fn goodput_during(setup: &Setup, report: &Report) -> f64 {
    let (from, to) = outage_span(setup);
    let remaining = setup.upstream_rate() * (setup.upstreams / 2) as f64 * (to - from) as f64;
    report.sum(from, to, |s| s.fresh_goodput) / remaining
}

fn completed_share(report: &Report, from: u64, to: u64) -> f64 {
    report.sum(from, to, |s| s.fresh_completed) / report.sum(from, to, |s| s.arrived)
}

fn check_recovery(setup: &Setup) {
    let report = run(setup.clone());
    let (from, to) = outage_span(setup);
    let before = completed_share(&report, 5, from - 1);
    let after = completed_share(&report, to + 5, to + 15) / before;
    assert!(
        goodput_during(setup, &report) >= MIN_GOODPUT_DURING,
        "goodput during the outage {}",
        goodput_during(setup, &report)
    );
    assert!(after >= MIN_GOODPUT_AFTER, "completed after the outage {after}, before {before}");
    let share = report.worst_retry_share();
    assert!(share <= MAX_RETRY_SHARE, "retries are {share} of the fresh requests");
}

#[test]
fn overload_crash_recovers() {
    for seed in 1..=2 {
        check_recovery(&Setup::outage(seed, Strategy::Policy));
    }
}

#[test]
fn overload_unresponsive_upstreams_recovers() {
    let setup = Setup::outage(1, Strategy::Policy);
    check_recovery(&Setup { trigger: Trigger::Unresponsive, ..setup });
}

#[test]
fn overload_unnumbered_retries_recovers() {
    let setup = Setup::outage(1, Strategy::Policy);
    check_recovery(&Setup { retry_marking: RetryMarking::Fingerprint, ..setup });
}

#[test]
fn overload_baselines_stay_collapsed() {
    for strategy in [Strategy::RoundRobin, Strategy::LeastLoaded, Strategy::Rendezvous] {
        let setup = Setup { run_for: Duration::from_secs(50), ..Setup::outage(1, strategy) };
        let report = run(setup.clone());
        let (_, to) = outage_span(&setup);
        let after = completed_share(&report, to + 5, to + 10);
        assert!(after <= MAX_BASELINE_AFTER, "{strategy:?} completed {after} after the outage");
    }
}

#[test]
fn fairness_large_workspace_barely_affects_others() {
    let (steady, surge) = fairness(1);
    let factor = surge.percentile(1..5, 95.0) / steady.percentile(1..5, 95.0);
    assert!(
        factor < MAX_P95_FACTOR,
        "p95 of the other workspaces increased by a factor of {factor}"
    );
    let completed = |report: &Report| report.sum(10, 35, |s| s.fresh_completed);
    assert!(
        completed(&surge) > completed(&steady),
        "the surging workspace does not use spare capacity"
    );
}

#[test]
fn run_same_seed_same_decisions() {
    let setup = Setup { run_for: Duration::from_secs(20), ..Setup::outage(3, Strategy::Policy) };
    let (a, b) = (run(setup.clone()), run(setup));
    assert_eq!(format!("{:?}", a.seconds), format!("{:?}", b.seconds));
}
