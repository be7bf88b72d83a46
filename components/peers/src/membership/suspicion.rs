//! How long a suspected member has to refute, and how far to trust oneself.

use std::{collections::BTreeSet, time::Duration};

use lycheelatch_prelude::NodeId;
use tokio::time::Instant;

/// Time to refute when only one node suspects.
const LONGEST: Duration = Duration::from_secs(5);
/// Time to refute when [`CONFIRMATIONS`] more nodes suspect.
const SHORTEST: Duration = Duration::from_millis(2_500);
/// Further suspecting nodes that shorten the time as far as it goes.
const CONFIRMATIONS: usize = 3;

/// A suspicion that runs until it is refuted or its time is over.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    start: Instant,
    by: BTreeSet<NodeId>,
}

impl Suspicion {
    pub(crate) fn new(start: Instant, by: NodeId) -> Suspicion {
        Suspicion { start, by: BTreeSet::from([by]) }
    }

    /// Adds a suspecting node and returns whether it shortens the time.
    pub(crate) fn confirm(&mut self, by: &NodeId) -> bool {
        self.by.len() <= CONFIRMATIONS && self.by.insert(by.clone())
    }

    /// Moves the start by the time that this process was paused.
    pub(crate) fn postpone(&mut self, pause: Duration) {
        self.start += pause;
    }

    /// Returns when the member is taken for dead, seen by a node of health `scale`.
    pub(crate) fn deadline(&self, scale: u32) -> Instant {
        let confirmed = (self.by.len().saturating_sub(1)).min(CONFIRMATIONS) as f64;
        let share = (confirmed + 1.0).ln() / (CONFIRMATIONS as f64 + 1.0).ln();
        self.start + LONGEST.saturating_sub((LONGEST - SHORTEST).mul_f64(share)) * scale
    }
}

/// Highest score of a node's doubt in itself.
const MAX_DOUBT: u32 = 7;

/// A node's doubt in its own speed; probes and suspicions wait longer with it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    doubt: u32,
}

impl Health {
    /// Returns the factor for timeouts, from 1.
    pub(crate) fn scale(self) -> u32 {
        self.doubt + 1
    }

    /// Notes something that speaks against this node.
    pub(crate) fn worsen(&mut self, by: u32) {
        self.doubt = (self.doubt + by).min(MAX_DOUBT);
    }

    /// Notes a probe that went well.
    pub(crate) fn improve(&mut self) {
        self.doubt = self.doubt.saturating_sub(1);
    }
}
