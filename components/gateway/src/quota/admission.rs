//! Admission of requests within their workspace's limit, by priority near the limit.

use std::time::Duration;

use lycheelatch_settings::QuotaTolerance;

use super::{DIVISORS, PeerUsage, ProcessAge, Subwindow, SubwindowUsage, subwindows};
use crate::table::{Priority, Quota};

/// Share of the tolerated slack that the subwindows shorter than the window may use.
///
/// Only the whole window is limited by the operator. The shorter ones spread usage over it, and
/// a small limit must not refuse single large requests for that.
const SUBWINDOW_SLACK_SHARE: f64 = 0.5;

/// Share of the tolerated slack that the whole window may use. The rest is left for usage that
/// other nodes have not reported yet.
const WINDOW_SLACK_SHARE: f64 = 0.25;

/// Room that a request leaves to more important ones, as a share of the limit. Indexed by
/// priority; the last value applies to all lower priorities.
const RESERVED_SHARES: [f64; 3] = [0.0, 0.02, 0.04];

/// Share of the tolerance that requests of negligible cost may use. They take hardly any room, so
/// refusing them at the limit helps no other request.
const SMALL_REQUEST_TOLERANCE_SHARE: f64 = 0.5;

/// Maximum cost of such a request, as a share of the limit.
const SMALL_REQUEST_SHARE: f64 = 0.001;

/// Time ahead for which the demand must have room to be admitted as a whole, in shortest
/// subwindows. Reports of other availability zones take up to half of it.
const THINNING_HORIZON: u32 = 2;

/// Weights of the demand against the room, so that important requests are thinned out last.
/// Indexed by priority; the last value applies to all lower priorities.
const THINNING_WEIGHTS: [f64; 3] = [0.5, 1.2, 1.4];

/// Returns the value for a priority; the last one applies to all lower priorities.
fn by_priority(values: [f64; 3], priority: Priority) -> f64 {
    values[usize::from(priority.0).min(values.len() - 1)]
}

/// A request to be charged to its workspace's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// Cost in the unit of the limit.
    pub cost: u64,
    /// Priority of the request.
    pub priority: Priority,
}

impl Charge {
    /// Returns up to which usage of a subwindow, its own cost included, the request is admitted.
    ///
    /// Once requests are refused, large and less important ones are refused first. A request
    /// leaves no more room than it takes itself.
    fn limit(self, limit: u64, slack: u64, crowd: Crowd) -> u64 {
        let share =
            if crowd.refused > 0 { by_priority(RESERVED_SHARES, self.priority) } else { 0.0 };
        let reserved = (limit as f64 * share) as u64;
        limit - reserved.min(self.cost).min(limit) + slack
    }

    /// Returns whether the request has no prompt and its cost is negligible for the `limit` of a
    /// whole window.
    fn is_small(self, quota: &Quota, limit: u64) -> bool {
        let is_plain = quota.plain_tokens.is_some_and(|plain| self.cost <= plain);
        is_plain && self.cost as f64 <= limit as f64 * SMALL_REQUEST_SHARE
    }
}

/// Requests of a workspace that all nodes receive beside the one to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crowd {
    /// Cost that all nodes refused in the shortest subwindow.
    pub refused: u64,
    /// Random number from 0 to 1, drawn for the request.
    pub draw: f64,
}

/// A workspace's limit, the window over which it applies and how far it may be exceeded.
#[derive(Debug, Clone, Copy)]
pub struct QuotaTerms<'a> {
    /// The limit.
    pub quota: &'a Quota,
    /// Window over which it applies.
    pub window: Duration,
    /// How far usage may exceed it.
    pub tolerance: QuotaTolerance,
}

/// The limit that a request exceeds most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaExcess {
    /// Cost beyond the limit.
    pub cost: u64,
    /// Length of the subwindow whose limit it is.
    pub subwindow: Duration,
}

/// Checks whether a request may be admitted; if not, returns the limit that it exceeds most.
///
/// The limit of a subwindow shorter than the window does not apply if nothing was used in it.
/// Otherwise a request that costs more than such a limit could never be admitted. Nor does it
/// apply to requests of negligible cost.
pub fn admits(
    terms: QuotaTerms<'_>,
    own: SubwindowUsage,
    others: PeerUsage,
    age: ProcessAge,
    charge: Charge,
    crowd: Crowd,
) -> Result<(), QuotaExcess> {
    let subwindows = subwindows(terms.quota, terms.window, own, others, age);
    let last = DIVISORS.len() - 1;
    let slack_of = |share: f64| (terms.tolerance.slack as f64 * share) as u64;
    // Shortly after a restart, most of the usage in the shortest subwindow is assumed.
    let known_after = terms.window / DIVISORS[0] * THINNING_HORIZON;
    let is_fresh = matches!(age, ProcessAge::Restarted(age) if age < known_after);
    let is_small = charge.is_small(terms.quota, subwindows[last].limit);
    let excess_of = |at: usize| match (at == last, subwindows[at].used) {
        (true, _) if is_small => subwindows[at].excess_of_small(charge, terms.tolerance),
        (false, _) if is_small => 0,
        (true, 0) => charge.cost.saturating_sub(subwindows[at].limit),
        (false, 0) => 0,
        (false, _) => subwindows[at].excess(charge, slack_of(SUBWINDOW_SLACK_SHARE), crowd),
        (true, _) => {
            let excess = subwindows[at].excess(charge, slack_of(WINDOW_SLACK_SHARE), crowd);
            match excess {
                0 if !is_fresh => thinned(&subwindows, charge, terms.tolerance, crowd),
                _ => excess,
            }
        }
    };
    let excesses = (0..=last)
        .map(|at| QuotaExcess { cost: excess_of(at), subwindow: terms.window / DIVISORS[at] });
    match excesses.max_by_key(|excess| excess.cost) {
        Some(excess) if excess.cost > 0 => Err(excess),
        _ => Ok(()),
    }
}

/// Returns the cost of a request that is refused because all nodes together would use up the
/// window's limit before they learn of each other's usage; 0 if it is admitted.
///
/// Nodes admit that share of the demand which the limit has room for within the horizon, so that
/// they don't all admit everything until the first reports arrive.
fn thinned(
    subwindows: &[Subwindow; DIVISORS.len()],
    charge: Charge,
    tolerance: QuotaTolerance,
    crowd: Crowd,
) -> u64 {
    let [shortest, .., half, whole] = subwindows;
    let demand = shortest.used.saturating_add(crowd.refused);
    let expiring = whole.used.saturating_sub(half.used) / u64::from(DIVISORS[0] / 2);
    let slack = (tolerance.slack as f64 * SUBWINDOW_SLACK_SHARE) as u64;
    let room =
        (whole.limit + slack + expiring * u64::from(THINNING_HORIZON)).saturating_sub(whole.used);
    let expected = demand as f64 * f64::from(THINNING_HORIZON);
    if crowd.draw * expected * by_priority(THINNING_WEIGHTS, charge.priority) <= room as f64 {
        0
    } else {
        charge.cost
    }
}

impl Subwindow {
    /// Returns by how much a request would exceed what it may use of the limit.
    fn excess(self, charge: Charge, slack: u64, crowd: Crowd) -> u64 {
        let limit = charge.limit(self.limit, slack, crowd);
        self.used.saturating_add(charge.cost).saturating_sub(limit)
    }

    /// The same for a request of negligible cost in the whole window.
    fn excess_of_small(self, charge: Charge, tolerance: QuotaTolerance) -> u64 {
        let tolerated = self.limit as f64 * tolerance.overage + tolerance.slack as f64;
        let limit = self.limit.saturating_add((tolerated * SMALL_REQUEST_TOLERANCE_SHARE) as u64);
        self.used.saturating_add(charge.cost).saturating_sub(limit)
    }
}
