//! Cluster-wide quotas of workspaces.
//!
//! Each node counts the usage it admits in short buckets and reports it to the other
//! nodes. A node admits a request as long as the usage of all nodes within the window
//! stays within the limit. A node that sends no reports is assumed to use its equal
//! share of the limit.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::table::Quota;

mod admission;

pub use admission::{Charge, Crowd, QuotaExcess, QuotaTerms, admits};

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

/// Limit and usage of a subwindow.
#[derive(Debug, Clone, Copy)]
struct Subwindow {
    limit: u64,
    used: u64,
}

impl Subwindow {
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
