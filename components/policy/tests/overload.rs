//! The day itself: half the upstreams go while every caller retries at once.

mod support;

use std::time::Duration;

use support::overload::{Marks, Report, Setup, Strategy, Trigger, fairness, run};

/// Least fresh goodput during the trigger, as a share of what is left of the upstreams.
const MIN_FRESH_DURING: f64 = 0.9;

/// Least share of arrivals done, against before the trigger, from 5 s after its end.
const MIN_FRESH_AFTER: f64 = 0.99;

/// Most retries at the upstreams within any second, as a share of fresh work.
const MAX_RETRY_SHARE: f64 = 0.2;

/// Most share of arrivals that a collapsed baseline gets done.
const MAX_COLLAPSED: f64 = 0.1;

/// Largest factor on the others' p95 when one workspace sends ten times its share.
const MAX_OTHERS_P95: f64 = 1.1;

fn span(setup: &Setup) -> (u64, u64) {
    let from = setup.trigger_at.as_secs();
    (from, from + setup.trigger_for.as_secs())
}

fn during(setup: &Setup, report: &Report) -> f64 {
    let (from, to) = span(setup);
    let remaining = setup.upstream_rate() * (setup.upstreams / 2) as f64 * (to - from) as f64;
    report.sum(from, to, |s| s.fresh_goodput) / remaining
}

fn done(report: &Report, from: u64, to: u64) -> f64 {
    report.sum(from, to, |s| s.fresh_done) / report.sum(from, to, |s| s.arrived)
}

fn check_day(setup: &Setup) {
    let report = run(setup.clone());
    let (from, to) = span(setup);
    let before = done(&report, 5, from - 1);
    let after = done(&report, to + 5, to + 15) / before;
    assert!(during(setup, &report) >= MIN_FRESH_DURING, "during {}", during(setup, &report));
    assert!(after >= MIN_FRESH_AFTER, "after {after}, before {before}");
    let share = report.worst_retry_share();
    assert!(share <= MAX_RETRY_SHARE, "retries {share} of fresh work");
}

#[test]
fn the_day_crash_recovers() {
    for seed in 1..=2 {
        check_day(&Setup::the_day(seed, Strategy::Policy));
    }
}

#[test]
fn the_day_silence_recovers() {
    let setup = Setup::the_day(1, Strategy::Policy);
    check_day(&Setup { trigger: Trigger::Silence, ..setup });
}

#[test]
fn the_day_unmarked_retries_recover() {
    let setup = Setup::the_day(1, Strategy::Policy);
    check_day(&Setup { marks: Marks::Digest, ..setup });
}

#[test]
fn the_day_baselines_stay_collapsed() {
    for strategy in [Strategy::RoundRobin, Strategy::LeastLoaded, Strategy::Rendezvous] {
        let setup = Setup { run_for: Duration::from_secs(50), ..Setup::the_day(1, strategy) };
        let report = run(setup.clone());
        let (_, to) = span(&setup);
        let after = done(&report, to + 5, to + 10);
        assert!(after <= MAX_COLLAPSED, "{strategy:?} got {after} done after the trigger");
    }
}

#[test]
fn fair_shares_large_workspace_moves_others_little() {
    let (quiet, loud) = fairness(1);
    let factor = loud.percentile(1..5, 95.0) / quiet.percentile(1..5, 95.0);
    assert!(factor < MAX_OTHERS_P95, "p95 of the others by {factor}");
    let done = |report: &Report| report.sum(10, 35, |s| s.fresh_done);
    assert!(done(&loud) > done(&quiet), "the large workspace gets no more than its quiet share");
}

#[test]
fn run_same_seed_same_decisions() {
    let setup = Setup { run_for: Duration::from_secs(20), ..Setup::the_day(3, Strategy::Policy) };
    let (a, b) = (run(setup.clone()), run(setup));
    assert_eq!(format!("{:?}", a.seconds), format!("{:?}", b.seconds));
}
