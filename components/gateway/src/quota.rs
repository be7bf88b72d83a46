//! Limits of workspaces over all nodes.
//!
//! Each node counts what it let through in short intervals and tells the
//! others. A node lets a request through while all counts of the window
//! together stay within the limit; for nodes that it doesn't hear it assumes
//! their equal share.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::table::Quota;

/// Length of one counted interval.
const BUCKET: Duration = Duration::from_millis(250);

/// Parts of the window that the limit is kept in as well, so that it is used evenly.
const DIVISORS: [u32; 4] = [8, 4, 2, 1];

/// Use in each part of the window, the shortest first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubwindowUsage(pub [u64; DIVISORS.len()]);

impl std::ops::AddAssign for SubwindowUsage {
    fn add_assign(&mut self, other: SubwindowUsage) {
        for (sum, more) in self.0.iter_mut().zip(other.0) {
            *sum += more;
        }
    }
}

impl SubwindowUsage {
    /// Returns the use that a node has likely made this long after it told of this one: it
    /// goes on as in the shortest part of the window.
    pub fn extrapolate(self, age: Duration, window: Duration) -> SubwindowUsage {
        let shortest = window / DIVISORS[0];
        let since = self.0[0] as f64 * age.as_secs_f64() / shortest.as_secs_f64();
        SubwindowUsage(self.0.map(|used| used + since as u64))
    }

    /// Returns whether nothing was used.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|used| *used == 0)
    }
}

/// Counts of one node over a sliding window.
#[derive(Debug, Clone, Default)]
pub struct SlidingCounter {
    buckets: VecDeque<(Instant, u64)>,
    total: u64,
}

impl SlidingCounter {
    /// Adds to the current interval.
    pub fn add(&mut self, amount: u64, now: Instant) {
        match self.buckets.back_mut() {
            Some((start, count)) if now.saturating_duration_since(*start) < BUCKET => {
                *count += amount;
            }
            _ => self.buckets.push_back((now, amount)),
        }
        self.total += amount;
    }

    /// Returns the sum over `window` before now.
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

    /// Returns the sums over the parts of `window` before now.
    pub fn subwindow_sums(&mut self, window: Duration, now: Instant) -> SubwindowUsage {
        self.sum(window, now);
        SubwindowUsage(DIVISORS.map(|divisor| {
            let is_in = |start: &Instant| now.saturating_duration_since(*start) <= window / divisor;
            let counts = self.buckets.iter().rev().take_while(|(start, _)| is_in(start));
            counts.map(|(_, count)| count).sum()
        }))
    }
}

/// What the other nodes let through, as far as they are heard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerUsage {
    /// Sum over the window of the nodes that are heard.
    pub reported: SubwindowUsage,
    /// Nodes that were heard and are not any more.
    pub silent_nodes: u32,
    /// Nodes that were not heard since this process started.
    pub unseen_nodes: u32,
    /// All nodes, this one included.
    pub nodes: u32,
}

/// Returns how much may pass in `window` over all nodes.
pub fn window_limit(quota: &Quota, window: Duration) -> u64 {
    let rate = quota.per_second as f64 * window.as_secs_f64();
    rate as u64 + quota.burst
}

/// Part of a node's share that a process that was started again assumes to be used.
const ASSUMED_SHARE: f64 = 0.97;

/// Shortest and longest time that a workspace over its limit is asked to stay away.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_secs(4));

/// Returns the use that one node can't know of, since its process was started again.
///
/// It is taken for even, and leaves each part of the window as real use would.
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

/// Returns when a refused workspace may come back: when this node's share of its rate has
/// carried what it was refused lately.
pub fn retry_after(quota: &Quota, refused: u64, nodes: u32) -> Duration {
    let rate = quota.per_second as f64 / f64::from(nodes.max(1));
    let wait = Duration::from_secs_f64((refused as f64 / rate.max(1.0)).min(60.0));
    wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
}

/// Returns how much this node may still let through in `window`.
///
/// A node that is not heard any more may use its equal share. One that was never heard may
/// have used it before this process started, unless the whole system has just started.
pub fn remaining(
    quota: &Quota,
    window: Duration,
    own: SubwindowUsage,
    others: PeerUsage,
    age: ProcessAge,
) -> u64 {
    subwindows(quota, window, own, others, age).iter().map(Subwindow::remaining).min().unwrap_or(0)
}

/// Returns whether a request of this cost may pass.
///
/// One that is larger than a short part of the window carries passes when nothing was used
/// in that part; else it never could.
pub fn admits(
    quota: &Quota,
    window: Duration,
    own: SubwindowUsage,
    others: PeerUsage,
    age: ProcessAge,
    cost: u64,
) -> bool {
    let subwindows = subwindows(quota, window, own, others, age);
    let whole = &subwindows[DIVISORS.len() - 1];
    whole.remaining() >= cost
        && subwindows.iter().all(|subwindow| subwindow.remaining() >= cost || subwindow.used == 0)
}

/// Limit and use of one part of the window.
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
        let used = others.reported.0[at] + silent + unseen + own.0[at] + assumed.0[at];
        Subwindow { limit, used }
    })
}

/// Age of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessAge {
    /// The whole system started with it: nothing was used before.
    FirstStart,
    /// It was started again this long ago.
    Restarted(Duration),
}
