//! Decides whether a service's new version gets more requests, all of them, or none.
//!
//! During a roll-out the upstreams of a service form two tracks: the stable one runs the old
//! version, the canary the new one. Each node counts the responses of both by route; the counts
//! of all nodes are added up.

mod decision;
mod fault;
mod gate;
mod judge;
mod sequential;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

pub use self::{
    decision::{decide, find_fault_alone},
    fault::{ALONE_FALSE_ALARM_RATE, FALSE_ALARM_RATE, PROMOTION_FALSE_ALARM_RATE},
    gate::{ExposureGate, loaded_canaries},
    judge::RolloutJudge,
};

/// Upstreams of one version during a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Track {
    /// Upstreams of the version that is replaced.
    Stable,
    /// Upstreams of the new version.
    Canary,
}

/// Number of latency classes.
pub const LATENCY_CLASSES: usize = 16;

/// Class of a response's latency; each class covers the next factor of the square root of 2.
///
/// For an engine the latency is that to the first event, relative to its estimate; for any other
/// upstream it is that of the whole response, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyClass(pub u8);

/// How an attempt at an upstream ended, for the comparison of versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CanaryOutcome {
    /// The upstream answered.
    Answered(LatencyClass),
    /// The upstream failed, or broke its answer off.
    Failed,
}

/// Attempts that ended on one route at one track.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrackCounts {
    /// Attempts that failed.
    pub failed: u32,
    /// Attempts that were answered, by class of latency.
    pub answered: [u32; LATENCY_CLASSES],
}

/// Attempts since the order of a roll-out; the counts of several nodes can be added.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCounts {
    /// Requests that were sent to the service.
    pub sent: u64,
    /// Requests that were sent to the canary.
    pub sent_to_canary: u64,
    /// Attempts that ended, by route.
    pub routes: BTreeMap<Arc<str>, RouteCounts>,
}

/// Attempts that ended on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Attempts at the stable track.
    pub stable: TrackCounts,
    /// Attempts at the canary.
    pub canary: TrackCounts,
}

/// Bounds of a roll-out, from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutLimits {
    /// Share of all requests to the service that a bad version may get.
    pub max_exposure: f64,
    /// Requests that it may get besides, over all nodes.
    pub extra_requests: u32,
    /// Time after the 50th bad response within which a bad version gets no more requests.
    pub rollback_time: Duration,
}

/// Progress of a roll-out; only forward steps are possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The canary gets a share of the requests.
    Canary,
    /// The canary gets all new requests; the stable track finishes what it has.
    Promoting,
    /// The new version has replaced the old one.
    Completed,
    /// The canary gets nothing more.
    RolledBack,
}

/// What is known of a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutEvidence {
    /// Counts of all nodes.
    pub counts: RolloutCounts,
    /// Time since the order.
    pub since_order: Duration,
    /// Time from the order until its deadline.
    pub duration: Duration,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Requests at the stable track that are still in flight, over all nodes.
    pub in_flight_at_stable: u32,
}

/// Next step of a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutStep {
    /// Stays in the phase; the canary gets this share of the requests, 0 to 1.
    Continue {
        /// Share of the requests for the canary.
        canary_share: f64,
    },
    /// Moves all new requests to the canary.
    Promote,
    /// Reports the roll-out as completed.
    Complete,
    /// Stops sending to the canary and reports the roll-out as rolled back.
    RollBack(RollbackReason),
}

/// Why a roll-out is rolled back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RollbackReason {
    /// The canary fails more often than the stable track.
    Failures {
        /// Route on which it does; `None` if it shows on all routes together only.
        route: Option<Arc<str>>,
    },
    /// The canary answers more slowly than the stable track.
    Latency {
        /// Route on which it does; `None` if it shows on all routes together only.
        route: Option<Arc<str>>,
    },
    /// The time is up, and too little is known of the canary.
    NotEnoughEvidence,
}
