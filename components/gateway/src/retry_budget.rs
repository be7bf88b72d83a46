//! How many sends beyond the first a node may make.
//!
//! The limit holds over all nodes and a sliding window. A node draws on its
//! own requests and on an equal share of the fixed part, so that the sum holds
//! without a word between nodes.

use lycheelatch_settings::RetryLimit;
use tokio::time::Instant;

use crate::quota::SlidingCounter;

/// Part of the limit that is used; the rest covers nodes that restart and forget.
const USED_SHARE: f64 = 0.45;

/// Sends beyond the first to one service from this node.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: SlidingCounter,
    retries: SlidingCounter,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Instant) {
        self.requests.add(1, now);
    }

    /// Takes one send beyond the first, if the limit allows it.
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
