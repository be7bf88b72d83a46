//! Finds versions that turn bad late in their roll-out.

use std::{collections::VecDeque, time::Duration};

use super::{
    LATENCY_CLASSES, RolloutCounts, RolloutEvidence, RolloutLimits, RolloutStep, RouteCounts,
    TrackCounts, decision::decide_with_recent,
};

/// Length of the recent part of a roll-out, as a divisor of the duration.
const RECENT_PART: u32 = 4;

/// Number of counts that are kept from the recent part.
const SNAPSHOTS: u32 = 8;

/// Decides the steps of one roll-out with regard to what was counted recently.
///
/// Responses from the time when a version still was good hide that it is bad now; the recent ones
/// alone show it sooner. A judge that has heard little yet decides as [`super::decide`] does, so
/// that a new leader can begin with an empty one.
#[derive(Debug, Clone, Default)]
pub struct RolloutJudge {
    /// Counts by the time since the order, oldest first.
    snapshots: VecDeque<(Duration, RolloutCounts)>,
}

impl RolloutJudge {
    /// Returns the next step of the roll-out.
    pub fn decide(&mut self, evidence: &RolloutEvidence, limits: &RolloutLimits) -> RolloutStep {
        let recent = self.recent(evidence);
        self.record(evidence);
        decide_with_recent(evidence, recent.as_ref(), limits)
    }

    /// Returns what was counted in the recent part, if the roll-out is older than that.
    fn recent(&mut self, evidence: &RolloutEvidence) -> Option<RolloutCounts> {
        let from = evidence.since_order.checked_sub(evidence.duration / RECENT_PART)?;
        while self.snapshots.get(1).is_some_and(|(at, _)| *at <= from) {
            self.snapshots.pop_front();
        }
        let (_, before) = self.snapshots.front().filter(|(at, _)| *at <= from)?;
        Some(evidence.counts.since(before))
    }

    fn record(&mut self, evidence: &RolloutEvidence) {
        let interval = evidence.duration / (RECENT_PART * SNAPSHOTS);
        let last = self.snapshots.back().map(|(at, _)| *at);
        if last.is_none_or(|at| evidence.since_order.saturating_sub(at) >= interval) {
            self.snapshots.push_back((evidence.since_order, evidence.counts.clone()));
        }
    }
}

impl RolloutCounts {
    /// Returns what was counted after `before` was.
    pub fn since(&self, before: &RolloutCounts) -> RolloutCounts {
        let route_since = |name, counts: &RouteCounts| {
            before.routes.get(name).map_or(*counts, |earlier| RouteCounts {
                stable: counts.stable.since(&earlier.stable),
                canary: counts.canary.since(&earlier.canary),
            })
        };
        let routes = self.routes.iter();
        RolloutCounts {
            sent: self.sent.saturating_sub(before.sent),
            sent_to_canary: self.sent_to_canary.saturating_sub(before.sent_to_canary),
            routes: routes.map(|(name, of)| (name.clone(), route_since(name, of))).collect(),
        }
    }
}

impl TrackCounts {
    fn since(&self, before: &TrackCounts) -> TrackCounts {
        let mut answered = [0; LATENCY_CLASSES];
        for (class, number) in answered.iter_mut().enumerate() {
            *number = self.answered[class].saturating_sub(before.answered[class]);
        }
        TrackCounts { failed: self.failed.saturating_sub(before.failed), answered }
    }
}
