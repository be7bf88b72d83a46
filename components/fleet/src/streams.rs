//! The streams that this node relays, grouped by the instance that generates them.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use lycheelatch_prelude::{InstanceId, RequestId, ServiceName, UpstreamId};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{Action, RunningStream};

/// Number of failed exports after which a stream is resumed without its KV cache.
const MAX_EXPORT_FAILURES: u32 = 2;

/// Percentage of the generated tokens assumed to remain once the expected length is exceeded.
const OVERRUN_REMAINDER_PERCENT: u64 = 15;

/// Action for a stream and its start time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instruction {
    /// Action to take.
    pub action: Action,
    /// Time at which to start the action.
    pub start: Instant,
}

/// Properties of a stream that are known when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamInfo {
    /// Request that the stream responds to.
    pub request: RequestId,
    /// Service that the stream belongs to.
    pub service: ServiceName,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Expected number of tokens in the complete response.
    pub expected_tokens: u64,
    /// Expected time between two tokens.
    pub token_interval: Duration,
    /// Size of the KV cache per token, in bytes.
    pub kv_bytes_per_token: u64,
}

/// State of one stream, shared by its relay and the evacuation.
#[derive(Debug)]
pub struct StreamHandle {
    info: StreamInfo,
    generated: AtomicU64,
    moving_since: Mutex<Option<Instant>>,
    export_failures: AtomicU32,
    instruction: watch::Sender<Option<Instruction>>,
}

impl StreamHandle {
    /// Returns the request of the stream.
    pub fn request(&self) -> &RequestId {
        &self.info.request
    }

    /// Returns the service of the stream.
    pub fn service(&self) -> &ServiceName {
        &self.info.service
    }

    /// Subscribes to the instructions for the stream.
    pub fn instructions(&self) -> watch::Receiver<Option<Instruction>> {
        self.instruction.subscribe()
    }

    /// Sets the number of tokens relayed so far.
    pub fn set_generated(&self, tokens: u64) {
        self.generated.store(tokens, Ordering::Relaxed);
    }

    /// Sets whether the KV cache of the stream is being transferred, and the start time.
    pub fn set_moving(&self, is_moving: bool) {
        *self.moving_since.lock().unwrap() = is_moving.then(Instant::now);
    }

    /// Returns the start time of the KV cache transfer in progress.
    pub fn moving_since(&self) -> Option<Instant> {
        *self.moving_since.lock().unwrap()
    }

    /// Counts a failed KV cache export.
    pub fn record_export_failure(&self) {
        self.export_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets the instruction for the stream; an unchanged one does not notify its receivers.
    pub fn instruct(&self, instruction: Instruction) {
        self.instruction.send_if_modified(|current| {
            let is_new = current.as_ref() != Some(&instruction);
            *current = Some(instruction);
            is_new
        });
    }

    fn clear_instruction(&self) {
        self.instruction.send_replace(None);
    }

    /// Returns the stream as input for the plan.
    pub fn running_stream(&self) -> RunningStream {
        let generated = self.generated.load(Ordering::Relaxed);
        let left = match self.info.expected_tokens.saturating_sub(generated) {
            0 => (generated * OVERRUN_REMAINDER_PERCENT / 100).max(1),
            left => left,
        };
        let tokens = self.info.prompt_tokens + generated;
        let can_export = self.export_failures.load(Ordering::Relaxed) < MAX_EXPORT_FAILURES;
        let kv_bytes = if can_export { tokens * self.info.kv_bytes_per_token } else { u64::MAX };
        let left = u32::try_from(left).unwrap_or(u32::MAX);
        RunningStream {
            request: self.info.request.clone(),
            prompt_tokens: self.info.prompt_tokens,
            generated,
            remaining_estimate: self.info.token_interval.saturating_mul(left),
            kv_bytes,
        }
    }
}

/// The table of streams that this node relays; clones share the same table.
#[derive(Debug, Clone, Default)]
pub struct Streams(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    by_instance: Mutex<HashMap<InstanceId, HashMap<RequestId, Arc<StreamHandle>>>>,
    failed_receivers: Mutex<HashMap<UpstreamId, Instant>>,
    changed: Notify,
}

impl Streams {
    /// Creates an empty table.
    pub fn new() -> Streams {
        Streams::default()
    }

    /// Adds a stream on `instance`; dropping the guard removes it.
    pub fn add(&self, instance: &InstanceId, info: StreamInfo) -> StreamGuard {
        let (instruction, _) = watch::channel(None);
        let handle = Arc::new(StreamHandle {
            info,
            generated: AtomicU64::new(0),
            moving_since: Mutex::default(),
            export_failures: AtomicU32::new(0),
            instruction,
        });
        self.insert(instance, &handle);
        StreamGuard { streams: self.clone(), instance: instance.clone(), handle }
    }

    /// Returns the streams on an instance.
    pub fn on_instance(&self, instance: &InstanceId) -> Vec<Arc<StreamHandle>> {
        let table = self.0.by_instance.lock().unwrap();
        table.get(instance).map(|streams| streams.values().cloned().collect()).unwrap_or_default()
    }

    /// Returns the instances that generate at least one stream.
    pub fn instances(&self) -> Vec<InstanceId> {
        self.0.by_instance.lock().unwrap().keys().cloned().collect()
    }

    /// Records that `receiver` failed to take over a stream.
    pub fn record_failed_receiver(&self, receiver: &UpstreamId) {
        let mut failed = self.0.failed_receivers.lock().unwrap();
        failed.insert(receiver.clone(), Instant::now());
    }

    /// Returns whether `receiver` failed less than `within` ago.
    pub fn has_recently_failed(&self, receiver: &UpstreamId, within: Duration) -> bool {
        let mut failed = self.0.failed_receivers.lock().unwrap();
        failed.retain(|_, at| at.elapsed() < within);
        failed.contains_key(receiver)
    }

    /// Requests a new plan.
    pub fn request_replan(&self) {
        self.0.changed.notify_one();
    }

    /// Waits until a new plan is requested.
    pub async fn replan_requested(&self) {
        self.0.changed.notified().await;
    }

    fn insert(&self, instance: &InstanceId, handle: &Arc<StreamHandle>) {
        let mut table = self.0.by_instance.lock().unwrap();
        let streams = table.entry(instance.clone()).or_default();
        streams.insert(handle.request().clone(), handle.clone());
    }

    fn remove(&self, instance: &InstanceId, request: &RequestId) {
        let mut table = self.0.by_instance.lock().unwrap();
        let Some(streams) = table.get_mut(instance) else {
            return;
        };
        streams.remove(request);
        if streams.is_empty() {
            table.remove(instance);
        }
    }
}

/// Keeps a stream in the table until it is dropped.
#[derive(Debug)]
pub struct StreamGuard {
    streams: Streams,
    instance: InstanceId,
    handle: Arc<StreamHandle>,
}

impl StreamGuard {
    /// Returns the shared state of the stream.
    pub fn handle(&self) -> &Arc<StreamHandle> {
        &self.handle
    }

    /// Returns the table that contains the stream.
    pub fn streams(&self) -> &Streams {
        &self.streams
    }

    /// Returns the instance that generates the stream.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Moves the stream to `instance` in the table and clears its instruction.
    pub fn move_to(&mut self, instance: &InstanceId) {
        self.streams.remove(&self.instance, self.handle.request());
        self.instance = instance.clone();
        self.handle.set_moving(false);
        self.handle.clear_instruction();
        self.streams.insert(instance, &self.handle);
        self.streams.request_replan();
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.streams.remove(&self.instance, self.handle.request());
    }
}
