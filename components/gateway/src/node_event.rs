//! Events that change the state of the node, as lines of the log.

use std::net::SocketAddr;

use lycheelatch_policy::{ProcessState, RollbackReason, RolloutCounts, RolloutPhase, RouteCounts};
use lycheelatch_prelude::{ServiceName, UpstreamId, ZoneName};
use serde::Serialize;
use strum::IntoStaticStr;

use crate::{PurchaseOption, StoreRevision, entry_source::EntrySource};

/// An event that changes the state of the node.
#[derive(Debug, Serialize, IntoStaticStr)]
#[serde(tag = "event", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum NodeEvent<'a> {
    /// The node accepts requests.
    Started { node: &'a str, callers: SocketAddr },
    /// Graceful shutdown has begun.
    Stopping { open_requests: u32 },
    /// The node has stopped.
    Stopped { cut_off_requests: u32 },
    /// Changed settings were applied.
    SettingsReloaded { seeds: usize },
    /// A configuration was applied.
    #[serde(rename = "config_in_force")]
    #[strum(serialize = "config_in_force")]
    ConfigApplied {
        version: u64,
        source: EntrySource,
        #[serde(flatten)]
        at: RevisionLine,
        #[serde(rename = "read_age_ms")]
        age_ms: u64,
    },
    /// A configuration was read that does not replace the one in force.
    #[serde(rename = "config_passed_over")]
    #[strum(serialize = "config_passed_over")]
    ConfigSkipped {
        version: u64,
        in_force: u64,
        source: EntrySource,
        #[serde(flatten)]
        at: RevisionLine,
    },
    /// A configuration was rejected as invalid.
    #[serde(rename = "config_refused")]
    #[strum(serialize = "config_refused")]
    ConfigRejected {
        source: EntrySource,
        #[serde(flatten)]
        at: RevisionLine,
        reason: &'a str,
    },
    /// An upstream was added to the directory.
    #[serde(rename = "upstream_came")]
    #[strum(serialize = "upstream_came")]
    UpstreamAdded { upstream: &'a UpstreamId, service: &'a ServiceName, address: SocketAddr },
    /// An upstream no longer accepts new requests.
    #[serde(rename = "upstream_drains")]
    #[strum(serialize = "upstream_drains")]
    UpstreamDraining {
        upstream: &'a UpstreamId,
        #[serde(flatten)]
        at: RevisionLine,
    },
    /// An upstream was removed from the directory.
    #[serde(rename = "upstream_gone")]
    #[strum(serialize = "upstream_gone")]
    UpstreamRemoved {
        upstream: &'a UpstreamId,
        #[serde(flatten)]
        at: RevisionLine,
    },
    /// An upstream entry in the store is invalid.
    #[serde(rename = "entry_refused")]
    #[strum(serialize = "entry_refused")]
    EntryRejected { key: &'a str, reason: &'a str },
    /// An upstream was temporarily ejected because of its failures (outlier ejection).
    #[serde(rename = "upstream_set_aside")]
    #[strum(serialize = "upstream_set_aside")]
    UpstreamEjected { upstream: &'a UpstreamId, failure_share: f64 },
    /// An upstream was temporarily ejected because another node did not find it at its address.
    #[serde(rename = "upstream_absent")]
    #[strum(serialize = "upstream_absent")]
    UpstreamReportedAbsent { upstream: &'a UpstreamId },
    /// After a response was cut, this node looked at what has become of the upstream's process.
    UpstreamChecked {
        upstream: &'a UpstreamId,
        /// First of the requests whose responses were cut.
        request: &'a str,
        responses: usize,
        is_listening: bool,
        /// Other connections, opened before, that are still open.
        open_connections: usize,
        /// Other connections that ended at the same time.
        ended_connections: usize,
        /// Whether its entry has gone, or another start has registered.
        is_replaced: bool,
        process: ProcessState,
    },
    /// The answer to a request clears prompt parts that upstreams crashed on.
    PartsCleared { request: &'a str, parts: &'a [String] },
    /// The prompt parts that requests are refused for have changed.
    RefusedParts { parts: &'a [String] },
    /// An upstream has named a limit in requests a second, changed it or named it no more.
    LimitNamed { upstream: &'a UpstreamId, per_second: Option<f64> },
    /// What an upstream names as its limit is no number of requests a second.
    LimitInvalid { upstream: &'a UpstreamId },
    /// An upstream says in a response that it leaves.
    UpstreamLeaving { upstream: &'a UpstreamId },
    /// An upstream refused a request and wants none for this time.
    UpstreamQuiet { upstream: &'a UpstreamId, retry_after_ms: u64 },
    /// The time for which an upstream wants no requests can't be read.
    RetryAfterInvalid { upstream: &'a UpstreamId },
    /// The store is unreachable.
    #[serde(rename = "store_lost")]
    #[strum(serialize = "store_lost")]
    StoreUnreachable { call: &'a str, reason: &'a str },
    /// The store is reachable again.
    #[serde(rename = "store_reached")]
    #[strum(serialize = "store_reached")]
    StoreRecovered {
        call: &'a str,
        #[serde(rename = "away_ms")]
        outage_ms: u64,
    },
    /// The store came back from a copy.
    StoreRestored {
        #[serde(flatten)]
        at: RevisionLine,
        before_era: u64,
        before_revision: u64,
    },
    /// Origins of streams were read from the store, after a restart.
    StreamOriginsRead { streams: usize },
    /// The node follows another node's view instead of reading the store.
    #[serde(rename = "follows")]
    #[strum(serialize = "follows")]
    FollowingReader { reader: SocketAddr },
    /// The node reads the store instead of following another node's view.
    #[serde(rename = "reads_itself")]
    #[strum(serialize = "reads_itself")]
    ReadingStore { reason: &'a str },
    /// This node has acquired the leader lease.
    #[serde(rename = "duties_won")]
    #[strum(serialize = "duties_won")]
    LeadershipAcquired { fence: u64, acts_in_ms: u64 },
    /// This node has lost the leader lease.
    #[serde(rename = "duties_lost")]
    #[strum(serialize = "duties_lost")]
    LeadershipLost { fence: u64 },
    /// Upstreams were ordered from the cloud provider.
    #[serde(rename = "ordered")]
    #[strum(serialize = "ordered")]
    UpstreamsOrdered {
        service: &'a ServiceName,
        zone: &'a ZoneName,
        purchase: PurchaseOption,
        count: u32,
    },
    /// The cloud provider refused an order for upstreams.
    OrderRefused {
        service: &'a ServiceName,
        zone: &'a ZoneName,
        purchase: PurchaseOption,
        count: u32,
        reason: &'a str,
    },
    /// The usage of a window was reported.
    UsageReported { window: u64, requests: u64 },
    /// Reporting the usage of a window failed and will be retried.
    UsageDelayed { window: u64, reason: &'a str },
    /// The clock was set to the median of all nodes.
    #[serde(rename = "clock_set")]
    #[strum(serialize = "clock_set")]
    ClockAdjusted { from_ms: u64, to_ms: u64 },
    /// An operator ordered a roll-out.
    RolloutOrdered {
        service: &'a ServiceName,
        to: &'a str,
        duration_ms: u64,
        #[serde(flatten)]
        at: RevisionLine,
    },
    /// A roll-out goes on with another phase or share.
    RolloutStep {
        service: &'a ServiceName,
        to: &'a str,
        phase: RolloutPhase,
        canary_share: f64,
        #[serde(flatten)]
        counts: RolloutCountsLine,
        reason: Option<&'a RollbackReason>,
        since_order_ms: u64,
    },
    /// The order of a roll-out can't be carried out.
    RolloutRejected { service: &'a ServiceName, reason: &'a str },
}

/// Position in the store's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct RevisionLine {
    pub(crate) era: u64,
    pub(crate) revision: u64,
}

impl From<StoreRevision> for RevisionLine {
    fn from(revision: StoreRevision) -> RevisionLine {
        RevisionLine { era: revision.era.0, revision: revision.number }
    }
}

/// Counts of a roll-out over all routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct RolloutCountsLine {
    pub(crate) sent: u64,
    pub(crate) sent_to_canary: u64,
    pub(crate) failed_stable: u64,
    pub(crate) failed_canary: u64,
    pub(crate) answered_stable: u64,
    pub(crate) answered_canary: u64,
}

impl From<&RolloutCounts> for RolloutCountsLine {
    fn from(counts: &RolloutCounts) -> RolloutCountsLine {
        let sum = |count: fn(&RouteCounts) -> u32| {
            counts.routes.values().map(|route| u64::from(count(route))).sum()
        };
        RolloutCountsLine {
            sent: counts.sent,
            sent_to_canary: counts.sent_to_canary,
            failed_stable: sum(|route| route.stable.failed),
            failed_canary: sum(|route| route.canary.failed),
            answered_stable: sum(|route| route.stable.answered.iter().sum()),
            answered_canary: sum(|route| route.canary.answered.iter().sum()),
        }
    }
}
