//! Plans the evacuation of a leaving runner whose streams are relayed by several nodes.
//!
//! The nodes share the runner's export bandwidth. Rendezvous hashing selects the same planner
//! on every node. The planner keeps each node's latest request, plans over the streams of all
//! nodes and returns to each node the part of the plan for its own streams.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
    time::Duration,
};

use lycheelatch_prelude::{InstanceId, NodeId, RequestId};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Action, ExportLimits, Receiver, RunningStream, Step, plan};

/// Time for which a node's plan request is taken into account.
const REQUEST_TTL: Duration = Duration::from_millis(800);

/// A node's request to plan its streams on a leaving runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRequest {
    /// Leaving instance.
    pub instance: InstanceId,
    /// Time until the instance is gone, in milliseconds.
    pub notice_ms: u64,
    /// Export rate of the runner, in bytes per second.
    pub bytes_per_second: u64,
    /// Streams of the node on the runner that have to be planned.
    pub streams: Vec<RunningStream>,
    /// KV cache exports of the node that are in progress.
    pub transfers: Vec<ActiveTransfer>,
    /// Runners that can take over streams, as known to the node.
    pub receivers: Vec<Receiver>,
}

/// A KV cache export in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveTransfer {
    /// Request that the stream belongs to.
    pub request: RequestId,
    /// Size of the KV cache, in bytes.
    pub kv_bytes: u64,
    /// Time since the export was requested, in milliseconds.
    pub elapsed_ms: u64,
}

/// Planned action for one stream, as returned to the requesting node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStream {
    /// Request that the stream belongs to.
    pub request: RequestId,
    /// Action to take.
    pub action: Action,
    /// Delay before the action starts, in milliseconds.
    pub start_in_ms: u64,
}

impl PlannedStream {
    fn new(step: Step, now: Instant) -> PlannedStream {
        let start_in = step.start.saturating_duration_since(now);
        let start_in_ms = u64::try_from(start_in.as_millis()).unwrap_or(u64::MAX);
        PlannedStream { request: step.request, action: step.action, start_in_ms }
    }
}

/// Returns the node that plans the evacuation of a leaving instance.
pub fn planner_for<'a>(
    instance: &InstanceId,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    let seed = xxh3_64_with_seed(instance.as_str().as_bytes(), 0);
    nodes.max_by_key(|node| xxh3_64_with_seed(node.as_str().as_bytes(), seed))
}

/// Latest plan requests for the leaving runners that this node plans for.
#[derive(Debug, Default)]
pub struct Coordinator {
    runners: Mutex<HashMap<InstanceId, LeavingRunner>>,
}

impl Coordinator {
    /// Stores a node's plan request and returns the plan for its streams.
    ///
    /// The plan covers the streams of all nodes with a current request.
    pub fn plan_for(
        &self,
        now: Instant,
        from: &NodeId,
        request: PlanRequest,
        limits: ExportLimits,
    ) -> Vec<PlannedStream> {
        let own: HashSet<_> = request.streams.iter().map(|s| s.request.clone()).collect();
        let receivers = request.receivers.clone();
        let (streams, link_busy) = self.record_request(now, from, request, &limits);
        let steps = plan(now, &streams, &ExportLimits { link_busy, ..limits }, &receivers);
        let is_own = |step: &Step| own.contains(&step.request);
        steps.into_iter().filter(is_own).map(|step| PlannedStream::new(step, now)).collect()
    }

    fn record_request(
        &self,
        now: Instant,
        from: &NodeId,
        request: PlanRequest,
        limits: &ExportLimits,
    ) -> (Vec<RunningStream>, Duration) {
        let mut runners = self.runners.lock().unwrap();
        for runner in runners.values_mut() {
            runner.requests.retain(|_, (at, _)| *at + REQUEST_TTL > now);
        }
        runners.retain(|_, runner| !runner.requests.is_empty());
        let runner = runners.entry(request.instance.clone()).or_default();
        runner.requests.insert(from.clone(), (now, request));
        let link_busy = runner.link_busy(now, limits);
        (runner.streams(), link_busy)
    }
}

/// Plan requests for one leaving runner.
#[derive(Debug, Default)]
struct LeavingRunner {
    requests: HashMap<NodeId, (Instant, PlanRequest)>,
    /// Exports that are included in `link_free`.
    included: HashSet<RequestId>,
    /// Time at which the included exports end, assuming that they run one after another.
    link_free: Option<Instant>,
}

impl LeavingRunner {
    fn streams(&self) -> Vec<RunningStream> {
        let requests = self.requests.values();
        requests
            .flat_map(|(_, request)| &request.streams)
            .filter(|stream| !self.included.contains(&stream.request))
            .cloned()
            .collect()
    }

    /// Returns the time until the runner's export link is free.
    fn link_busy(&mut self, now: Instant, limits: &ExportLimits) -> Duration {
        let mut transfers: Vec<(Instant, ActiveTransfer)> = Vec::new();
        for (at, request) in self.requests.values() {
            let started = |t: &ActiveTransfer| *at - Duration::from_millis(t.elapsed_ms);
            transfers.extend(request.transfers.iter().map(|t| (started(t), t.clone())));
        }
        transfers.sort_by_key(|(started, _)| *started);
        self.included.retain(|request| transfers.iter().any(|(_, t)| t.request == *request));
        if transfers.is_empty() {
            self.link_free = None;
        }
        for (started, transfer) in transfers {
            if self.included.insert(transfer.request) {
                let begin = self.link_free.map_or(started, |free| free.max(started));
                self.link_free = Some(begin + limits.transfer_time(transfer.kv_bytes));
            }
        }
        self.link_free.map_or(Duration::ZERO, |free| free.saturating_duration_since(now))
    }
}
