//! Recomputed tokens of conversations and long histories on engines with small prefix caches.

mod support;

use std::time::Duration;

use support::recompute::{Chooser, Report, Setup, run};

/// Maximum ratio of the recomputed tokens to those of the least loaded strategy.
const MAX_OF_LEAST_LOADED: f64 = 0.5;

/// Maximum ratio of the recomputed tokens to those of a strategy that knows every cache.
const MAX_OF_ORACLE: f64 = 1.15;

fn check(setup: impl Fn(Chooser) -> Setup) {
    let run_with = |chooser| run(setup(chooser));
    let policy: Report = run_with(Chooser::Policy);
    let least = run_with(Chooser::LeastLoaded);
    let oracle = run_with(Chooser::Oracle);
    assert_eq!(policy.refused, 0);
    let ratio = |other: &Report| policy.recomputed as f64 / other.recomputed as f64;
    assert!(ratio(&least) <= MAX_OF_LEAST_LOADED, "recomputed {} of least loaded", ratio(&least));
    assert!(ratio(&oracle) <= MAX_OF_ORACLE, "recomputed {} of the oracle", ratio(&oracle));
    let (own, other) = (policy.percentile(95.0), least.percentile(95.0));
    assert!(own <= other, "p95 of the first token is {own} ms, least loaded {other} ms");
}

#[test]
fn recomputed_steady_near_oracle() {
    check(|chooser| Setup::small(1, chooser));
}

#[test]
fn recomputed_zone_lost_near_oracle() {
    check(|chooser| {
        let zone_lost_at = Some(Duration::from_secs(150));
        Setup { zone_lost_at, ..Setup::small(1, chooser) }
    });
}
