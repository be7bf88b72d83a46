//! Tokens recomputed on conversations and long histories with limited engine memory.

mod support;

use std::time::Duration;

use support::recompute::{Chooser, Report, Setup, run};

/// Most tokens recomputed, as a share of what the fewest requests would recompute.
const MAX_OF_LEAST_LOADED: f64 = 0.5;

/// Most tokens recomputed, as a share of what knowing every cache would recompute.
const MAX_OF_ORACLE: f64 = 1.15;

fn check(setup: impl Fn(Chooser) -> Setup) {
    let run_with = |chooser| run(setup(chooser));
    let policy: Report = run_with(Chooser::Policy);
    let least = run_with(Chooser::LeastLoaded);
    let oracle = run_with(Chooser::Oracle);
    assert_eq!(policy.refused, 0);
    let of = |other: &Report| policy.recomputed as f64 / other.recomputed as f64;
    assert!(of(&least) <= MAX_OF_LEAST_LOADED, "{} of least loaded", of(&least));
    assert!(of(&oracle) <= MAX_OF_ORACLE, "{} of the oracle", of(&oracle));
    let (own, other) = (policy.percentile(95.0), least.percentile(95.0));
    assert!(own <= other, "p95 of the first token {own} ms against {other} ms");
}

#[test]
fn recomputed_today_near_oracle() {
    check(|chooser| Setup::today(1, chooser));
}

#[test]
fn recomputed_zone_lost_near_oracle() {
    check(|chooser| {
        let zone_lost_at = Some(Duration::from_secs(150));
        Setup { zone_lost_at, ..Setup::today(1, chooser) }
    });
}
