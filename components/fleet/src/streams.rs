//! The streams that this node relays, by the instance that generates them.

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

/// Exports of one stream that may fail before it is resumed without one.
const MAX_EXPORT_FAILURES: u32 = 2;

/// Rest of an answer that has outgrown its expected length, in percent of what it has.
const OVERRUN_PERCENT: u64 = 15;

/// What a stream is told to do, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instruction {
    /// What to do.
    pub action: Action,
    /// Time at which to begin.
    pub start: Instant,
}

/// What is known of a stream when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamInfo {
    /// Request that it answers.
    pub request: RequestId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the whole answer is expected to have.
    pub expected_tokens: u64,
    /// Time between two tokens, as far as known.
    pub token_interval: Duration,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
}

/// One relayed stream, as its relay and its evacuation share it.
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

    /// Returns a receiver of the instructions to the stream.
    pub fn instructions(&self) -> watch::Receiver<Option<Instruction>> {
        self.instruction.subscribe()
    }

    /// Notes how many tokens have been relayed.
    pub fn set_generated(&self, tokens: u64) {
        self.generated.store(tokens, Ordering::Relaxed);
    }

    /// Notes whether the KV cache of the stream is under way.
    pub fn set_moving(&self, is_moving: bool) {
        *self.moving_since.lock().unwrap() = is_moving.then(Instant::now);
    }

    /// Returns since when the KV cache of the stream is under way.
    pub fn moving_since(&self) -> Option<Instant> {
        *self.moving_since.lock().unwrap()
    }

    /// Notes a failed export.
    pub fn add_export_failure(&self) {
        self.export_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Tells the stream what to do.
    pub fn instruct(&self, instruction: Instruction) {
        self.instruction.send_if_modified(|current| {
            let is_new = current.as_ref() != Some(&instruction);
            *current = Some(instruction);
            is_new
        });
    }

    fn forget_instruction(&self) {
        self.instruction.send_replace(None);
    }

    /// Returns the stream as the plan needs it.
    pub fn running(&self) -> RunningStream {
        let generated = self.generated.load(Ordering::Relaxed);
        let left = match self.info.expected_tokens.saturating_sub(generated) {
            0 => (generated * OVERRUN_PERCENT / 100).max(1),
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

/// The streams that this node relays; clones share one table.
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

    /// Adds a stream on `instance`; it stays until the guard is dropped.
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
    pub fn on(&self, instance: &InstanceId) -> Vec<Arc<StreamHandle>> {
        let table = self.0.by_instance.lock().unwrap();
        table.get(instance).map(|on| on.values().cloned().collect()).unwrap_or_default()
    }

    /// Returns the instances that generate streams.
    pub fn instances(&self) -> Vec<InstanceId> {
        self.0.by_instance.lock().unwrap().keys().cloned().collect()
    }

    /// Notes that `receiver` did not take a stream over.
    pub fn add_failed_receiver(&self, receiver: &UpstreamId) {
        let mut failed = self.0.failed_receivers.lock().unwrap();
        failed.insert(receiver.clone(), Instant::now());
    }

    /// Returns whether `receiver` failed less than `within` ago.
    pub fn has_failed(&self, receiver: &UpstreamId, within: Duration) -> bool {
        let mut failed = self.0.failed_receivers.lock().unwrap();
        failed.retain(|_, at| at.elapsed() < within);
        failed.contains_key(receiver)
    }

    /// Asks for a new plan.
    pub fn request_replan(&self) {
        self.0.changed.notify_one();
    }

    /// Waits until a new plan is asked for.
    pub async fn replan_requested(&self) {
        self.0.changed.notified().await;
    }

    fn insert(&self, instance: &InstanceId, handle: &Arc<StreamHandle>) {
        let mut table = self.0.by_instance.lock().unwrap();
        let on = table.entry(instance.clone()).or_default();
        on.insert(handle.request().clone(), handle.clone());
    }

    fn remove(&self, instance: &InstanceId, request: &RequestId) {
        let mut table = self.0.by_instance.lock().unwrap();
        let Some(on) = table.get_mut(instance) else {
            return;
        };
        on.remove(request);
        if on.is_empty() {
            table.remove(instance);
        }
    }
}

/// Keeps a stream in the table while its relay lives.
#[derive(Debug)]
pub struct StreamGuard {
    streams: Streams,
    instance: InstanceId,
    handle: Arc<StreamHandle>,
}

impl StreamGuard {
    /// Returns the stream's shared part.
    pub fn handle(&self) -> &Arc<StreamHandle> {
        &self.handle
    }

    /// Returns the table that the stream is in.
    pub fn streams(&self) -> &Streams {
        &self.streams
    }

    /// Returns the instance that generates the stream.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Notes that the stream is now generated on `instance`.
    pub fn move_to(&mut self, instance: &InstanceId) {
        self.streams.remove(&self.instance, self.handle.request());
        self.instance = instance.clone();
        self.handle.set_moving(false);
        self.handle.forget_instruction();
        self.streams.insert(instance, &self.handle);
        self.streams.request_replan();
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.streams.remove(&self.instance, self.handle.request());
    }
}
