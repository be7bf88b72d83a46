//! Cluster-wide quotas of workspaces.
//!
//! Each node counts the usage it admits in short buckets and reports it to the other
//! nodes. A node admits a request as long as the usage of all nodes within the window
//! stays within the limit. A node that sends no reports is assumed to use its equal
//! share of the limit.

use std::{collections::VecDeque, time::Duration};

use lycheelatch_settings::QuotaTolerance;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::table::{Priority, Quota};

/// Duration of a bucket.
const BUCKET: Duration = Duration::from_millis(250);

/// Divisors of the window that yield the subwindows. Each subwindow is limited as well, so
/// that the quota is used evenly.
const DIVISORS: [u32; 4] = [8, 4, 2, 1];

/// Usage in each subwindow, shortest first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubwindowUsage(pub [u64; DIVISORS.len()]);

impl std::ops::AddAssign for SubwindowUsage {
    fn add_assign(&mut self, other: SubwindowUsage) {
        for (sum, more) in self.0.iter_mut().zip(other.0) {
            *sum = sum.saturating_add(more);
        }
    }
}

impl SubwindowUsage {
    /// Extrapolates a node's reported usage to the present, `age` after the report, at the rate
    /// of the shortest subwindow.
    ///
    /// From the longer subwindows, the usage that has left them since is subtracted. The shortest
    /// one is not reduced: its usage may have been rising when it was reported.
    pub fn extrapolate(self, age: Duration, window: Duration) -> SubwindowUsage {
        let age = age.as_secs_f64();
        let length = |at: usize| (window / DIVISORS[at]).as_secs_f64();
        let added = self.0[0] as f64 * age / length(0);
        SubwindowUsage(std::array::from_fn(|at| {
            let expired = match at {
                0 => 0.0,
                _ => {
                    let oldest = self.0[at].saturating_sub(self.0[at - 1]) as f64;
                    oldest * (age / (length(at) - length(at - 1))).min(1.0)
                }
            };
            self.0[at].saturating_add(added as u64).saturating_sub(expired as u64)
        }))
    }

    /// Returns the usage in the shortest subwindow.
    pub fn shortest(&self) -> u64 {
        self.0[0]
    }

    /// Returns whether the usage is zero in all subwindows.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|used| *used == 0)
    }
}

/// Sliding-window counter of one node.
#[derive(Debug, Clone, Default)]
pub struct SlidingCounter {
    buckets: VecDeque<(Instant, u64)>,
    total: u64,
}

impl SlidingCounter {
    /// Adds to the current bucket.
    pub fn add(&mut self, amount: u64, now: Instant) {
        match self.buckets.back_mut() {
            Some((start, count)) if now.saturating_duration_since(*start) < BUCKET => {
                *count += amount;
            }
            _ => self.buckets.push_back((now, amount)),
        }
        self.total += amount;
    }

    /// Returns the sum over the last `window` and drops older buckets.
    pub fn sum(&mut self, window: Duration, now: Instant) -> u64 {
        while let Some((start, count)) = self.buckets.front() {
            if now.saturating_duration_since(*start) <= window {
                break;
            }
            self.total -= count;
            self.buckets.pop_front();
        }
        self.total
    }

    /// Returns the sums over the subwindows of the last `window`.
    pub fn subwindow_sums(&mut self, window: Duration, now: Instant) -> SubwindowUsage {
        self.sum(window, now);
        SubwindowUsage(DIVISORS.map(|divisor| {
            let is_in = |start: &Instant| now.saturating_duration_since(*start) <= window / divisor;
            let counts = self.buckets.iter().rev().take_while(|(start, _)| is_in(start));
            counts.map(|(_, count)| count).sum()
        }))
    }
}

/// Usage of a workspace that a node reports to the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedUsage {
    /// Admitted cost.
    pub admitted: SubwindowUsage,
    /// Cost refused in the shortest subwindow.
    pub refused: u64,
}

/// Usage admitted by the other nodes, as far as it is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerUsage {
    /// Sum of the usage of the nodes whose reports are current.
    pub reported: SubwindowUsage,
    /// Sum of the cost that they refused in the shortest subwindow.
    pub refused: u64,
    /// Number of nodes that reported before but no longer do.
    pub silent_nodes: u32,
    /// Number of nodes that have not reported since this process started.
    pub unseen_nodes: u32,
    /// Number of all nodes, including this one.
    pub nodes: u32,
}

/// Returns how much all nodes together may admit within `window`.
pub fn window_limit(quota: &Quota, window: Duration) -> u64 {
    let rate = quota.per_second as f64 * window.as_secs_f64();
    rate as u64 + quota.burst
}

/// Share of a node's part of the limit that is assumed to be used already after a restart.
const ASSUMED_SHARE: f64 = 0.97;

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

/// Minimum `Retry-After` for a workspace that has exceeded its quota.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Returns the usage to assume for one node from before this process was restarted.
///
/// It is assumed to be evenly distributed over time, and expires from each subwindow as
/// counted usage does.
pub fn assumed_usage(
    quota: &Quota,
    window: Duration,
    nodes: u32,
    age: ProcessAge,
) -> SubwindowUsage {
    let ProcessAge::Restarted(age) = age else { return SubwindowUsage::default() };
    SubwindowUsage(DIVISORS.map(|divisor| {
        let length = window / divisor;
        let share = window_limit(quota, length) as f64 / f64::from(nodes.max(1));
        let left = (1.0 - age.as_secs_f64() / length.as_secs_f64()).max(0.0);
        (share * ASSUMED_SHARE * left) as u64
    }))
}

/// Returns the `Retry-After` of a request that exceeds its workspace's quota by `excess`: the time
/// after which usage that leaves the window makes room for it.
///
/// `used` is the usage of all nodes and `waiting` the cost that they refused lately. Those
/// callers return too, so they are spread evenly over the time that makes room for all;
/// `position`, from 0 to 1, is this request's place among them.
pub fn retry_after(
    quota: &Quota,
    window: Duration,
    used: SubwindowUsage,
    excess: u64,
    waiting: u64,
    position: f64,
) -> Duration {
    let [.., half, whole] = used.0;
    let oldest_half = whole.saturating_sub(half) as f64 / (window / 2).as_secs_f64();
    let rate = oldest_half.max(quota.per_second as f64).max(1.0);
    let ahead = excess as f64 + waiting as f64 * position;
    Duration::from_secs_f64(ahead / rate).clamp(MIN_RETRY_AFTER, window)
}

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
    /// At the limit, large and less important requests are refused first. A request leaves no more
    /// room than it takes itself.
    fn limit(self, limit: u64, slack: u64) -> u64 {
        let reserved = (limit as f64 * by_priority(RESERVED_SHARES, self.priority)) as u64;
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

/// Returns how much this node may still admit.
///
/// A node that stopped reporting is assumed to use its equal share. A node that never
/// reported is assumed to have used it before this process was restarted, unless the whole
/// cluster was started for the first time.
pub fn remaining(
    quota: &Quota,
    window: Duration,
    own: SubwindowUsage,
    others: PeerUsage,
    age: ProcessAge,
) -> u64 {
    subwindows(quota, window, own, others, age).iter().map(Subwindow::remaining).min().unwrap_or(0)
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
    // Shortly after a restart, most of the usage in the shortest subwindow is assumed.
    let known_after = terms.window / DIVISORS[0] * THINNING_HORIZON;
    let is_fresh = matches!(age, ProcessAge::Restarted(age) if age < known_after);
    let is_small = charge.is_small(terms.quota, subwindows[last].limit);
    let excess_of = |at: usize| match (at == last, subwindows[at].used) {
        (true, _) if is_small => subwindows[at].excess_of_small(charge, terms.tolerance),
        (false, _) if is_small => 0,
        (true, 0) => charge.cost.saturating_sub(subwindows[at].limit),
        (false, 0) => 0,
        (false, _) => subwindows[at].excess(charge, SUBWINDOW_SLACK_SHARE, terms.tolerance),
        (true, _) => {
            let excess = subwindows[at].excess(charge, WINDOW_SLACK_SHARE, terms.tolerance);
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

/// Limit and usage of a subwindow.
#[derive(Debug, Clone, Copy)]
struct Subwindow {
    limit: u64,
    used: u64,
}

impl Subwindow {
    /// Returns by how much a request would exceed what it may use of the limit.
    fn excess(self, charge: Charge, slack_share: f64, tolerance: QuotaTolerance) -> u64 {
        let slack = (tolerance.slack as f64 * slack_share) as u64;
        let limit = charge.limit(self.limit, slack);
        self.used.saturating_add(charge.cost).saturating_sub(limit)
    }

    /// The same for a request of negligible cost in the whole window.
    fn excess_of_small(self, charge: Charge, tolerance: QuotaTolerance) -> u64 {
        let tolerated = self.limit as f64 * tolerance.overage + tolerance.slack as f64;
        let limit = self.limit.saturating_add((tolerated * SMALL_REQUEST_TOLERANCE_SHARE) as u64);
        self.used.saturating_add(charge.cost).saturating_sub(limit)
    }

    fn remaining(&self) -> u64 {
        self.limit.saturating_sub(self.used)
    }
}

fn subwindows(
    quota: &Quota,
    window: Duration,
    own: SubwindowUsage,
    others: PeerUsage,
    age: ProcessAge,
) -> [Subwindow; DIVISORS.len()] {
    let assumed = assumed_usage(quota, window, others.nodes, age);
    std::array::from_fn(|at| {
        let limit = window_limit(quota, window / DIVISORS[at]);
        let share = limit / u64::from(others.nodes.max(1));
        let silent = share * u64::from(others.silent_nodes);
        let unseen = assumed.0[at] * u64::from(others.unseen_nodes);
        let known = others.reported.0[at].saturating_add(own.0[at]);
        let used = known.saturating_add(silent + unseen + assumed.0[at]);
        Subwindow { limit, used }
    })
}

/// How long ago the process started, and whether usage from before the start is possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessAge {
    /// The whole cluster was started for the first time: there is no earlier usage.
    FirstStart,
    /// The process was restarted this long ago.
    Restarted(Duration),
}
