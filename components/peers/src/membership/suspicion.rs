//! Timeouts of suspicions, and the local node's health score.

use std::{collections::BTreeSet, time::Duration};

use lycheelatch_prelude::NodeId;
use tokio::time::Instant;

/// Time to refute a suspicion reported by one node only.
const MAX_SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to refute a suspicion confirmed by [`CONFIRMATIONS`] further nodes.
const MIN_SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Number of confirmations that reduce the timeout to its minimum.
const CONFIRMATIONS: usize = 3;

/// A suspicion that lasts until it is refuted or times out.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    start: Instant,
    reporters: BTreeSet<NodeId>,
}

impl Suspicion {
    pub(crate) fn new(start: Instant, by: NodeId) -> Suspicion {
        Suspicion { start, reporters: BTreeSet::from([by]) }
    }

    /// Adds a confirmation and returns whether it shortens the timeout.
    pub(crate) fn confirm(&mut self, by: &NodeId) -> bool {
        self.reporters.len() <= CONFIRMATIONS && self.reporters.insert(by.clone())
    }

    /// Postpones the deadline by the time that this process was paused.
    pub(crate) fn postpone(&mut self, pause: Duration) {
        self.start += pause;
    }

    /// Returns when the member is declared dead by a node with health multiplier `multiplier`.
    pub(crate) fn deadline(&self, multiplier: u32) -> Instant {
        let confirmed = (self.reporters.len().saturating_sub(1)).min(CONFIRMATIONS) as f64;
        let share = (confirmed + 1.0).ln() / (CONFIRMATIONS as f64 + 1.0).ln();
        self.start
            + MAX_SUSPICION_TIMEOUT
                .saturating_sub((MAX_SUSPICION_TIMEOUT - MIN_SUSPICION_TIMEOUT).mul_f64(share))
                * multiplier
    }
}

/// Maximum health score.
const MAX_HEALTH_SCORE: u32 = 7;

/// Health score of the local node: 0 is healthy, higher values mean it may itself be slow.
///
/// Timeouts of probes and suspicions grow with the score, to avoid false positives.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    score: u32,
}

impl Health {
    /// Returns the multiplier for timeouts, at least 1.
    pub(crate) fn multiplier(self) -> u32 {
        self.score + 1
    }

    /// Raises the score after a sign that the local node is slow.
    pub(crate) fn degrade(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_HEALTH_SCORE);
    }

    /// Lowers the score after a successful probe.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }
}
