//! Finds out whether the canary is worse than the stable track.

use super::{
    LATENCY_CLASSES, RollbackReason, RolloutCounts, RolloutPhase, RouteCounts, TrackCounts,
    sequential::{Comparison, Occurrences, log_excess, log_mean_exp, log_over_rate},
};

/// Probability with which a version that is as good as the old one is taken for a bad one at any
/// time during a roll-out, over all routes and tests of the counts since the order.
///
/// [`super::RolloutJudge`] compares the recent counts at the same threshold besides.
pub const FALSE_ALARM_RATE: f64 = 0.005;

/// The same for the moment before the promotion, which can't be undone.
pub const PROMOTION_FALSE_ALARM_RATE: f64 = 0.05;

/// The same for a node that judges by its own counts, as each of hundreds may.
pub const ALONE_FALSE_ALARM_RATE: f64 = 0.00001;

/// Rate of failures at the canary that is tolerated even if the stable track never fails.
const TOLERATED_FAILURE_RATE: f64 = 0.02;

/// Failure rates that are tested against the tolerated one.
const FAILURE_RATES: [f64; 3] = [0.06, 0.2, 0.6];

/// Share of slow responses at the canary that is tolerated even if the stable track has none.
const TOLERATED_SLOW_SHARE: f64 = 0.05;

/// Shares of slow responses that are tested against the tolerated one.
const SLOW_SHARES: [f64; 3] = [0.15, 0.4, 0.9];

/// Factors by which failures may be more frequent at a bad canary.
const FAILURE_RATIOS: [f64; 4] = [2.0, 4.0, 8.0, 16.0];

/// Factors by which slow responses may be more frequent at a bad canary.
const SLOW_RATIOS: [f64; 3] = [3.0, 6.0, 12.0];

/// Both factors while the stable track gets no new requests: what strikes both tracks then shows at
/// the canary only, so that only a great difference counts.
const PROMOTING_RATIOS: [f64; 2] = [8.0, 16.0];

/// Returns why the canary is worse than the stable track, if it is.
///
/// `error_rate` is the probability of a reason where it is as good.
pub(super) fn find_fault(
    counts: &RolloutCounts,
    phase: RolloutPhase,
    error_rate: f64,
) -> Option<RollbackReason> {
    let (of_failures, of_slow): (&[f64], &[f64]) = match phase {
        RolloutPhase::Promoting => (&PROMOTING_RATIOS, &PROMOTING_RATIOS),
        _ => (&FAILURE_RATIOS, &SLOW_RATIOS),
    };
    let tests = 2.0 * (counts.routes.len() + 1) as f64;
    let threshold = (tests / error_rate).ln();
    for (route, of_route) in &counts.routes {
        let route = Some(route.clone());
        if log_failures(&[of_route], of_failures) >= threshold {
            return Some(RollbackReason::Failures { route });
        }
        if log_slowness(&[of_route], of_slow) >= threshold {
            return Some(RollbackReason::Latency { route });
        }
    }
    let routes: Vec<_> = counts.routes.values().collect();
    if log_failures(&routes, of_failures) >= threshold {
        return Some(RollbackReason::Failures { route: None });
    }
    let is_slow = log_slowness(&routes, of_slow) >= threshold;
    is_slow.then_some(RollbackReason::Latency { route: None })
}

/// Returns the log e-value against "the canary doesn't fail more often than the stable track, or
/// not more often than is tolerated".
fn log_failures(routes: &[&RouteCounts], ratios: &[f64]) -> f64 {
    let strata: Vec<_> = routes
        .iter()
        .map(|route| Comparison {
            stable: route.stable.failures(),
            canary: route.canary.failures(),
        })
        .collect();
    log_evidence(&strata, ratios, TOLERATED_FAILURE_RATE, &FAILURE_RATES)
}

/// Returns the log e-value against "the canary doesn't answer slowly more often than the stable
/// track, or not more often than is tolerated".
///
/// Each class is taken as the bound of slow responses in turn; the mean of the e-values is one.
fn log_slowness(routes: &[&RouteCounts], ratios: &[f64]) -> f64 {
    let of_class = |class: usize| {
        let strata: Vec<_> = routes
            .iter()
            .map(|route| Comparison {
                stable: route.stable.slower_than(class),
                canary: route.canary.slower_than(class),
            })
            .collect();
        log_evidence(&strata, ratios, TOLERATED_SLOW_SHARE, &SLOW_SHARES)
    };
    log_mean_exp((0..LATENCY_CLASSES - 1).map(of_class))
}

/// Returns the log e-value against "events aren't more frequent at the canary, or not more
/// frequent than `tolerated`".
fn log_evidence(strata: &[Comparison], ratios: &[f64], tolerated: f64, rates: &[f64]) -> f64 {
    let mut canary = Occurrences::default();
    for stratum in strata {
        canary.events += stratum.canary.events;
        canary.requests += stratum.canary.requests;
    }
    if canary.events == 0 {
        return f64::NEG_INFINITY;
    }
    log_excess(strata, ratios).min(log_over_rate(canary, tolerated, rates))
}

impl TrackCounts {
    fn answers(&self) -> u32 {
        self.answered.iter().sum()
    }

    /// Returns the number of attempts that ended.
    pub fn ended(&self) -> u32 {
        self.failed + self.answers()
    }

    fn failures(&self) -> Occurrences {
        Occurrences { events: self.failed, requests: self.ended() }
    }

    /// Returns the responses above a class of latency.
    fn slower_than(&self, class: usize) -> Occurrences {
        let slow = self.answered.iter().skip(class + 1).sum();
        Occurrences { events: slow, requests: self.answers() }
    }
}
