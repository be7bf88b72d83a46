//! One plan for a leaving runner whose streams several nodes relay.
//!
//! The nodes share the runner's export bandwidth. One of them, the same for
//! all by rendezvous hashing, holds what each last said of its streams and
//! plans over all of them; each node is answered with its own part.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
    time::Duration,
};

use lycheelatch_prelude::{InstanceId, NodeId};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Action, ExportLimits, Receiver, RunningStream, Step, plan};

/// Time for which a node's word about its streams counts.
const ASK_VALID: Duration = Duration::from_millis(800);

/// One node's word about its streams on a leaving runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Instance that leaves.
    pub instance: InstanceId,
    /// Time until it goes, in milliseconds.
    pub notice_ms: u64,
    /// Rate at which it exports, in bytes a second.
    pub bytes_per_second: u64,
    /// Streams of the node there that are to be planned.
    pub streams: Vec<RunningStream>,
    /// Bytes of the node's exports that are under way.
    pub busy_bytes: u64,
    /// Runners that can take streams over, as the node knows them.
    pub receivers: Vec<Receiver>,
}

/// One stream's part of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStream {
    /// Request of the stream.
    pub request: lycheelatch_prelude::RequestId,
    /// What becomes of it.
    pub action: Action,
    /// Time until it begins, in milliseconds.
    pub start_in_ms: u64,
}

impl PlannedStream {
    fn new(step: Step, now: Instant) -> PlannedStream {
        let start_in = step.start.saturating_duration_since(now);
        let start_in_ms = u64::try_from(start_in.as_millis()).unwrap_or(u64::MAX);
        PlannedStream { request: step.request, action: step.action, start_in_ms }
    }
}

/// Returns the node that plans for a leaving instance.
pub fn planner_of<'a>(
    instance: &InstanceId,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    let seed = xxh3_64_with_seed(instance.as_str().as_bytes(), 0);
    nodes.max_by_key(|node| xxh3_64_with_seed(node.as_str().as_bytes(), seed))
}

/// What the nodes last said of the leaving runners that this node plans for.
#[derive(Debug, Default)]
pub struct Coordinator {
    asks: Mutex<HashMap<InstanceId, HashMap<NodeId, (Instant, Ask)>>>,
}

impl Coordinator {
    /// Takes a node's word and returns its part of the plan over all nodes' streams.
    pub fn answer(
        &self,
        now: Instant,
        from: &NodeId,
        ask: Ask,
        limits: ExportLimits,
    ) -> Vec<PlannedStream> {
        let own: HashSet<_> = ask.streams.iter().map(|s| s.request.clone()).collect();
        let receivers = ask.receivers.clone();
        let (streams, busy_bytes) = self.note(now, from, ask);
        let secs = busy_bytes as f64 / limits.bytes_per_second.max(1) as f64;
        let busy = Duration::from_secs_f64(secs.min(1e6));
        let steps = plan(now, &streams, &ExportLimits { busy, ..limits }, &receivers);
        let is_own = |step: &Step| own.contains(&step.request);
        steps.into_iter().filter(is_own).map(|step| PlannedStream::new(step, now)).collect()
    }

    fn note(&self, now: Instant, from: &NodeId, ask: Ask) -> (Vec<RunningStream>, u64) {
        let mut asks = self.asks.lock().unwrap();
        for nodes in asks.values_mut() {
            nodes.retain(|_, (at, _)| *at + ASK_VALID > now);
        }
        asks.retain(|_, nodes| !nodes.is_empty());
        let nodes = asks.entry(ask.instance.clone()).or_default();
        nodes.insert(from.clone(), (now, ask));
        let streams = nodes.values().flat_map(|(_, ask)| ask.streams.iter().cloned()).collect();
        (streams, nodes.values().map(|(_, ask)| ask.busy_bytes).sum())
    }
}
