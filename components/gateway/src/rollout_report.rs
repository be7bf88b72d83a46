//! What nodes tell each other of roll-outs.

use std::{collections::BTreeMap, sync::Arc};

use lycheelatch_policy::{LATENCY_CLASSES, RolloutCounts, RolloutPhase, RouteCounts, TrackCounts};
use lycheelatch_prelude::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{StoreRevision, messages::RevisionWire};

/// Maximum number of roll-outs in one digest.
pub(crate) const MAX_REPORTS: usize = 32;

/// Maximum number of routes in one report; routes beyond it are counted as one.
const MAX_ROUTES: usize = 32;

/// Name of the routes beyond the maximum.
const OTHER_ROUTES: &str = "(others)";

/// What a node counted since the order of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutReport {
    pub(crate) service: ServiceName,
    /// Revision of the order.
    pub(crate) order: RevisionWire,
    /// Time since the order, as far as the node knows, in milliseconds.
    pub(crate) age_ms: u64,
    /// Phase that the node is in.
    pub(crate) phase: RolloutPhase,
    /// Requests of the node that are in flight at the stable track.
    pub(crate) in_flight_at_stable: u32,
    sent: u64,
    sent_to_canary: u64,
    routes: Vec<RouteReport>,
}

/// The leader's latest step in a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RolloutNotice {
    pub(crate) service: ServiceName,
    /// Revision of the order.
    pub(crate) order: RevisionWire,
    /// Time since the order, in milliseconds.
    pub(crate) age_ms: u64,
    pub(crate) phase: RolloutPhase,
    /// Share of the requests for the canary, 0 to 1.
    pub(crate) canary_share: f64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RouteReport {
    route: Arc<str>,
    stable: TrackReport,
    canary: TrackReport,
}

/// Counts of one track, without the latency classes that are empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TrackReport {
    failed: u32,
    answered: Vec<(u8, u32)>,
}

impl RolloutReport {
    /// Creates the report of a node.
    pub(crate) fn new(
        service: ServiceName,
        order: StoreRevision,
        age_ms: u64,
        phase: RolloutPhase,
        counts: &RolloutCounts,
    ) -> RolloutReport {
        let routes = bounded(&counts.routes);
        RolloutReport {
            service,
            order: order.into(),
            age_ms,
            phase,
            in_flight_at_stable: 0,
            sent: counts.sent,
            sent_to_canary: counts.sent_to_canary,
            routes: routes.into_iter().map(RouteReport::from).collect(),
        }
    }

    /// Adds what the node counted to a sum.
    pub(crate) fn add_to(&self, sum: &mut RolloutCounts) {
        sum.sent = sum.sent.saturating_add(self.sent);
        sum.sent_to_canary = sum.sent_to_canary.saturating_add(self.sent_to_canary);
        for RouteReport { route, stable, canary } in &self.routes {
            let of_route = sum.routes.entry(route.clone()).or_default();
            stable.add_to(&mut of_route.stable);
            canary.add_to(&mut of_route.canary);
        }
    }
}

/// Returns the counts by route, those beyond the maximum in one sum.
fn bounded(routes: &BTreeMap<Arc<str>, RouteCounts>) -> BTreeMap<Arc<str>, RouteCounts> {
    if routes.len() <= MAX_ROUTES {
        return routes.clone();
    }
    let mut bounded: BTreeMap<Arc<str>, RouteCounts> = BTreeMap::new();
    for (at, (route, counts)) in routes.iter().enumerate() {
        let name = if at < MAX_ROUTES - 1 { route.clone() } else { OTHER_ROUTES.into() };
        let sum = bounded.entry(name).or_default();
        TrackReport::from(&counts.stable).add_to(&mut sum.stable);
        TrackReport::from(&counts.canary).add_to(&mut sum.canary);
    }
    bounded
}

impl From<(Arc<str>, RouteCounts)> for RouteReport {
    fn from((route, counts): (Arc<str>, RouteCounts)) -> RouteReport {
        RouteReport {
            route,
            stable: TrackReport::from(&counts.stable),
            canary: TrackReport::from(&counts.canary),
        }
    }
}

impl From<&TrackCounts> for TrackReport {
    fn from(counts: &TrackCounts) -> TrackReport {
        let classes = (0_u8..).zip(counts.answered);
        let answered = classes.filter(|(_, count)| *count > 0).collect();
        TrackReport { failed: counts.failed, answered }
    }
}

impl TrackReport {
    fn add_to(&self, sum: &mut TrackCounts) {
        sum.failed = sum.failed.saturating_add(self.failed);
        for (class, count) in &self.answered {
            // A class that this program doesn't know is slower than all others.
            let class = usize::from(*class).min(LATENCY_CLASSES - 1);
            sum.answered[class] = sum.answered[class].saturating_add(*count);
        }
    }
}
