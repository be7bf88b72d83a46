//! Whether an upstream's answers are good, by its answers alone.

use std::time::Duration;

use tokio::time::Instant;

/// Failures in a row after which an upstream is set aside.
const MAX_FAILURES: u32 = 3;

/// Weight of a new answer in the share of failures.
const WEIGHT: f64 = 0.12;

/// Share of failures from which an upstream is set aside.
const MAX_FAILURE_SHARE: f64 = 0.45;

/// Time for which an upstream is set aside at first.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(1500);

/// Longest time for which an upstream is set aside.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);

/// Time for which an upstream is set aside by what another node saw.
const REMOTE_EJECTION_TIME: Duration = Duration::from_millis(800);

/// Time after a good answer in which nothing is believed of what other nodes saw.
const KNOWN_GOOD: Duration = Duration::from_millis(1000);

/// What the answers of an upstream say of it.
#[derive(Debug, Default)]
pub(crate) struct Health {
    in_a_row: u32,
    failure_share: f64,
    rests: u32,
    rest_until: Option<Instant>,
    last_good: Option<Instant>,
}

impl Health {
    /// Returns whether the upstream is set aside.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// Returns the share of answers that failed lately.
    pub(crate) fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Takes note of a good answer.
    pub(crate) fn record_success(&mut self, now: Instant) {
        self.last_good = Some(now);
        self.in_a_row = 0;
        self.failure_share *= 1.0 - WEIGHT;
        if self.failure_share < WEIGHT {
            self.rests = 0;
        }
    }

    /// Takes note that no connection could be opened: the upstream is set aside at once.
    pub(crate) fn record_unreachable(&mut self, now: Instant) -> bool {
        let was_resting = self.is_ejected(now);
        self.record_failure(now);
        if !self.is_ejected(now) {
            self.rest_until = Some(now + BASE_EJECTION_TIME);
        }
        !was_resting
    }

    /// Takes note that another node found nobody, or another upstream, at the address; returns
    /// whether the upstream is set aside for it.
    pub(crate) fn record_remote_absence(&mut self, now: Instant) -> bool {
        let is_known_good = self.last_good.is_some_and(|at| now - at < KNOWN_GOOD);
        if is_known_good || self.is_ejected(now) {
            return false;
        }
        self.rest_until = Some(now + REMOTE_EJECTION_TIME);
        true
    }

    /// Takes note of a failure; returns whether the upstream is set aside now.
    pub(crate) fn record_failure(&mut self, now: Instant) -> bool {
        self.in_a_row += 1;
        self.failure_share += WEIGHT * (1.0 - self.failure_share);
        if self.is_ejected(now) {
            return false;
        }
        if self.in_a_row < MAX_FAILURES && self.failure_share < MAX_FAILURE_SHARE {
            return false;
        }
        let rest = BASE_EJECTION_TIME * 2_u32.pow(self.rests.min(4));
        self.rests += 1;
        self.in_a_row = 0;
        self.rest_until = Some(now + rest.min(MAX_EJECTION_TIME));
        true
    }
}
