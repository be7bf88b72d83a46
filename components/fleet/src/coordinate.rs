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

use lycheelatch_prelude::{InstanceId, NodeId, RequestId};
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
    /// Exports of the node that are under way.
    pub moving: Vec<MovingStream>,
    /// Runners that can take streams over, as the node knows them.
    pub receivers: Vec<Receiver>,
}

/// One export that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovingStream {
    /// Request of the stream.
    pub request: RequestId,
    /// Size of its KV cache, in bytes.
    pub kv_bytes: u64,
    /// Time since it was asked for, in milliseconds.
    pub elapsed_ms: u64,
}

/// One stream's part of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStream {
    /// Request of the stream.
    pub request: RequestId,
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
    runners: Mutex<HashMap<InstanceId, LeavingRunner>>,
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
        let (streams, busy) = self.note(now, from, ask, &limits);
        let steps = plan(now, &streams, &ExportLimits { busy, ..limits }, &receivers);
        let is_own = |step: &Step| own.contains(&step.request);
        steps.into_iter().filter(is_own).map(|step| PlannedStream::new(step, now)).collect()
    }

    fn note(
        &self,
        now: Instant,
        from: &NodeId,
        ask: Ask,
        limits: &ExportLimits,
    ) -> (Vec<RunningStream>, Duration) {
        let mut runners = self.runners.lock().unwrap();
        for runner in runners.values_mut() {
            runner.asks.retain(|_, (at, _)| *at + ASK_VALID > now);
        }
        runners.retain(|_, runner| !runner.asks.is_empty());
        let runner = runners.entry(ask.instance.clone()).or_default();
        runner.asks.insert(from.clone(), (now, ask));
        let busy = runner.busy(now, limits);
        (runner.streams(), busy)
    }
}

/// A leaving runner with what the nodes said of it.
#[derive(Debug, Default)]
struct LeavingRunner {
    asks: HashMap<NodeId, (Instant, Ask)>,
    /// Exports that are counted in `link_free`.
    counted: HashSet<RequestId>,
    /// Time at which the counted exports end, one after the other.
    link_free: Option<Instant>,
}

impl LeavingRunner {
    fn streams(&self) -> Vec<RunningStream> {
        let asks = self.asks.values();
        asks.flat_map(|(_, ask)| &ask.streams)
            .filter(|stream| !self.counted.contains(&stream.request))
            .cloned()
            .collect()
    }

    /// Returns the time until the runner's link is free.
    fn busy(&mut self, now: Instant, limits: &ExportLimits) -> Duration {
        let mut moving: Vec<(Instant, MovingStream)> = Vec::new();
        for (at, ask) in self.asks.values() {
            let since = |m: &MovingStream| *at - Duration::from_millis(m.elapsed_ms);
            moving.extend(ask.moving.iter().map(|m| (since(m), m.clone())));
        }
        moving.sort_by_key(|(since, _)| *since);
        self.counted.retain(|request| moving.iter().any(|(_, m)| m.request == *request));
        if moving.is_empty() {
            self.link_free = None;
        }
        for (since, stream) in moving {
            if self.counted.insert(stream.request) {
                let begin = self.link_free.map_or(since, |free| free.max(since));
                self.link_free = Some(begin + limits.time_of(stream.kv_bytes));
            }
        }
        self.link_free.map_or(Duration::ZERO, |free| free.saturating_duration_since(now))
    }
}
