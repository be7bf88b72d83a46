//! Limits the retries of a node.
//!
//! The limit applies to all nodes together within a sliding window. Each node is
//! entitled to a ratio of its own requests plus an equal share of the fixed
//! allowance, so that the total holds without communication between nodes.

use lycheelatch_settings::RetryLimit;
use tokio::time::Instant;

use crate::quota::SlidingCounter;

/// Share of the limit that is used. The rest covers nodes that restart and lose their counts.
const USED_SHARE: f64 = 0.45;

/// Retry budget of this node for one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: SlidingCounter,
    retries: SlidingCounter,
}

impl RetryBudget {
    /// Counts a request from a caller.
    pub fn count_request(&mut self, now: Instant) {
        self.requests.add(1, now);
    }

    /// Draws one retry from the budget; returns false if it is exhausted.
    pub fn try_take(&mut self, limit: &RetryLimit, nodes: u32, now: Instant) -> bool {
        let requests = self.requests.sum(limit.window, now) as f64;
        let retries = self.retries.sum(limit.window, now) as f64;
        let fixed = limit.extra / f64::from(nodes.max(1));
        if retries + 1.0 > (limit.ratio * requests + fixed) * USED_SHARE {
            return false;
        }
        self.retries.add(1, now);
        true
    }
}
