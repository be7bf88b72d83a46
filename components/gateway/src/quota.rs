//! Limits of workspaces over all nodes.
//!
//! Each node counts what it let through in short intervals and tells the
//! others. A node lets a request through while all counts of the window
//! together stay within the limit; for nodes that it doesn't hear it assumes
//! their equal share.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use crate::table::Quota;

/// Length of one counted interval.
const INTERVAL: Duration = Duration::from_millis(250);

/// Counts of one node over a sliding window.
#[derive(Debug, Clone, Default)]
pub struct SlidingCount {
    intervals: VecDeque<(Instant, u64)>,
    total: u64,
}

impl SlidingCount {
    /// Adds to the current interval.
    pub fn add(&mut self, amount: u64, now: Instant) {
        match self.intervals.back_mut() {
            Some((start, count)) if now.saturating_duration_since(*start) < INTERVAL => {
                *count += amount;
            }
            _ => self.intervals.push_back((now, amount)),
        }
        self.total += amount;
    }

    /// Returns the sum over `window` before now.
    pub fn sum(&mut self, window: Duration, now: Instant) -> u64 {
        while let Some((start, count)) = self.intervals.front() {
            if now.saturating_duration_since(*start) <= window {
                break;
            }
            self.total -= count;
            self.intervals.pop_front();
        }
        self.total
    }
}

/// What the other nodes let through, as far as they are heard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OthersUse {
    /// Sum over the window of the nodes that are heard.
    pub heard: u64,
    /// Nodes that are known and not heard.
    pub unheard_nodes: u32,
    /// All nodes, this one included.
    pub nodes: u32,
}

/// Returns how much may pass in `window` over all nodes.
pub fn window_limit(quota: &Quota, window: Duration) -> u64 {
    let rate = quota.per_second as f64 * window.as_secs_f64();
    rate as u64 + quota.burst
}

/// Returns how much this node may still let through in `window`.
pub fn room(quota: &Quota, window: Duration, own: u64, others: OthersUse) -> u64 {
    let limit = window_limit(quota, window);
    let nodes = u64::from(others.nodes.max(1));
    let unheard = limit / nodes * u64::from(others.unheard_nodes);
    limit.saturating_sub(others.heard).saturating_sub(unheard).saturating_sub(own)
}
