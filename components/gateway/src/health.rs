//! Outlier ejection of upstreams by the responses that they give.

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures after which an upstream is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Weight of a new response in the moving average of failures.
const WEIGHT: f64 = 0.12;

/// Failure share from which an upstream is ejected.
const MAX_FAILURE_SHARE: f64 = 0.45;

/// Length of the first ejection; doubles with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(1500);

/// Longest ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);

/// Length of an ejection that another node's report causes.
const REMOTE_EJECTION_TIME: Duration = Duration::from_millis(800);

/// Time after a successful response in which reports of other nodes are ignored.
const RECENT_SUCCESS: Duration = Duration::from_millis(1000);

/// Response statistics and ejection state of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    failure_share: f64,
    ejections: u32,
    ejected_until: Option<Instant>,
    last_success: Option<Instant>,
}

impl Health {
    /// Returns whether the upstream is ejected.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the moving average of the share of responses that failed.
    pub(crate) fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Records a successful response.
    pub(crate) fn record_success(&mut self, now: Instant) {
        self.last_success = Some(now);
        self.consecutive_failures = 0;
        self.failure_share *= 1.0 - WEIGHT;
        if self.failure_share < WEIGHT {
            self.ejections = 0;
        }
    }

    /// Records that no connection could be opened, which ejects the upstream at once; returns
    /// whether this call ejected it.
    pub(crate) fn record_unreachable(&mut self, now: Instant) -> bool {
        let was_ejected = self.is_ejected(now);
        self.record_failure(now);
        if !self.is_ejected(now) {
            self.ejected_until = Some(now + BASE_EJECTION_TIME);
        }
        !was_ejected
    }

    /// Records that another node found no upstream, or a different one, at the address; returns
    /// whether this call ejected the upstream.
    pub(crate) fn record_remote_absence(&mut self, now: Instant) -> bool {
        let succeeded_recently = self.last_success.is_some_and(|at| now - at < RECENT_SUCCESS);
        if succeeded_recently || self.is_ejected(now) {
            return false;
        }
        self.ejected_until = Some(now + REMOTE_EJECTION_TIME);
        true
    }

    /// Records a failed response; returns whether this call ejected the upstream.
    pub(crate) fn record_failure(&mut self, now: Instant) -> bool {
        self.consecutive_failures += 1;
        self.failure_share += WEIGHT * (1.0 - self.failure_share);
        if self.is_ejected(now) {
            return false;
        }
        if self.consecutive_failures < MAX_CONSECUTIVE_FAILURES
            && self.failure_share < MAX_FAILURE_SHARE
        {
            return false;
        }
        let time = BASE_EJECTION_TIME * 2_u32.pow(self.ejections.min(4));
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.ejected_until = Some(now + time.min(MAX_EJECTION_TIME));
        true
    }
}
