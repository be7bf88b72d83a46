//! Moves response streams off leaving runners, as instructed by the fleet.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lycheelatch_config::Service;
use lycheelatch_fleet::{
    Action, EngineDirectory, Instruction, LeavingInstances, Runner, StreamGuard, StreamHandle,
    StreamInfo, Streams,
};
use lycheelatch_prelude::{RequestId, ServiceName, UpstreamId};
use lycheelatch_upstream::Engine;
use tokio::{
    task::JoinHandle,
    time::{sleep, sleep_until},
};

use crate::{
    ConfigSource, Proxy, Registry, RunningStream, RunningStreams, StreamCommand, Upstream,
    UpstreamClient,
};

/// Interval between synchronizations of the tracked streams while a runner is leaving.
const SYNC_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between synchronizations while no runner is leaving.
const IDLE_SYNC_INTERVAL: Duration = Duration::from_secs(3600);

/// Expected length of a response whose request sets no token limit.
const DEFAULT_EXPECTED_TOKENS: u64 = 400;

/// KV cache size per token, in bytes.
const KV_BYTES_PER_TOKEN: u64 = 131_072;

/// Assumed free KV cache capacity of a runner, in tokens.
const FREE_KV_TOKENS: u64 = 200_000;

/// Assumed prefill rate of a runner, in prompt tokens per second.
const PREFILL_TOKENS_PER_SECOND: u64 = 20_000;

/// Assumed KV cache export rate of a runner, in bytes per second.
const EXPORT_BYTES_PER_SECOND: u64 = 1_000_000_000;

/// [`EngineDirectory`] of the upstreams in a [`Registry`].
pub struct RegistryDirectory {
    registry: Arc<Registry>,
    config: ConfigSource,
}

impl RegistryDirectory {
    /// Creates a directory of the upstreams in `registry`.
    pub fn new(registry: Arc<Registry>, config: ConfigSource) -> RegistryDirectory {
        RegistryDirectory { registry, config }
    }

    /// Creates a directory of the upstreams of `proxy`.
    pub fn from_proxy(proxy: &Proxy) -> RegistryDirectory {
        RegistryDirectory::new(proxy.registry.clone(), proxy.config.clone())
    }
}

impl EngineDirectory for RegistryDirectory {
    fn engine(&self, upstream: &UpstreamId) -> Option<Arc<dyn Engine>> {
        let all = self.registry.all();
        let found = all.iter().find(|entry| entry.id() == upstream)?;
        match &found.client {
            UpstreamClient::Engine(engine) => Some(engine.clone()),
            UpstreamClient::Plain(_) => None,
        }
    }

    fn runners(&self, service: &ServiceName) -> Vec<Runner> {
        let config = (self.config)();
        let Some(service) = config.services.get(service) else {
            return Vec::new();
        };
        let of_service = |upstream: &&Arc<Upstream>| upstream.listed.service == service.name;
        let all = self.registry.all();
        all.iter().filter(of_service).map(|upstream| runner(service, upstream)).collect()
    }
}

fn runner(service: &Service, upstream: &Upstream) -> Runner {
    let max_in_flight = service.limits.max_in_flight_per_upstream;
    Runner {
        upstream: upstream.id().clone(),
        instance: upstream.listed.instance.clone(),
        zone: upstream.listed.zone.clone(),
        room_tokens: FREE_KV_TOKENS,
        room_streams: max_in_flight.saturating_sub(upstream.in_flight()),
        prefill_tokens_per_second: PREFILL_TOKENS_PER_SECOND,
        export_bytes_per_second: EXPORT_BYTES_PER_SECOND,
    }
}

/// Registers the response streams on leaving runners with the fleet and executes its instructions.
pub struct StreamEvacuator {
    proxy: Arc<Proxy>,
    streams: Streams,
    leaving: LeavingInstances,
}

/// Stream on a leaving runner that is registered with the fleet.
struct TrackedStream {
    guard: StreamGuard,
    upstream: UpstreamId,
    task: JoinHandle<()>,
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StreamEvacuator {
    /// Creates an evacuator that registers the streams of `proxy` in `streams`.
    pub fn new(proxy: Arc<Proxy>, streams: Streams, leaving: LeavingInstances) -> StreamEvacuator {
        StreamEvacuator { proxy, streams, leaving }
    }

    /// Tracks the leaving instances until their source is closed.
    ///
    /// Spawns local tasks, so it must run within a `LocalSet`.
    pub async fn run(&self) {
        let mut changes = self.leaving.subscribe();
        let mut tracked = HashMap::new();
        loop {
            let instances = changes.borrow_and_update().keys().cloned().collect();
            self.proxy.registry.set_leaving(instances);
            let added = self.sync_streams(&mut tracked);
            if added {
                self.streams.request_replan();
            }
            let wait = if self.leaving.is_empty() { IDLE_SYNC_INTERVAL } else { SYNC_INTERVAL };
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                () = sleep(wait) => {}
            }
        }
    }

    /// Synchronizes the tracked streams with the running ones; returns whether any was added.
    fn sync_streams(&self, tracked: &mut HashMap<RequestId, TrackedStream>) -> bool {
        let running = self.proxy.running.list();
        let config = (self.proxy.config)();
        let is_running = |request: &RequestId, entry: &TrackedStream| {
            running.iter().any(|stream| {
                stream.request == *request && stream.upstream.as_ref() == Some(&entry.upstream)
            })
        };
        tracked.retain(|request, entry| is_running(request, entry));
        let mut added = false;
        for stream in &running {
            if let Some(entry) = tracked.get(&stream.request) {
                entry.guard.handle().set_generated(stream.generated);
                continue;
            }
            let Some(service) = config.services.get(&stream.service) else {
                continue;
            };
            if let Some(entry) = self.track(service, stream) {
                tracked.insert(stream.request.clone(), entry);
                added = true;
            }
        }
        added
    }

    fn track(&self, service: &Service, stream: &RunningStream) -> Option<TrackedStream> {
        let upstream = self.proxy.registry.get(&stream.service, stream.upstream.as_ref()?)?;
        if !self.leaving.is_leaving(&upstream.listed.instance) {
            return None;
        }
        let info = StreamInfo {
            request: stream.request.clone(),
            service: stream.service.clone(),
            prompt_tokens: stream.prompt_tokens,
            expected_tokens: stream.max_tokens.unwrap_or(DEFAULT_EXPECTED_TOKENS),
            token_interval: Duration::from_millis(service.latency.between_tokens_ms),
            kv_bytes_per_token: KV_BYTES_PER_TOKEN,
        };
        let guard = self.streams.add(&upstream.listed.instance, info);
        guard.handle().set_generated(stream.generated);
        let (handle, streams) = (guard.handle().clone(), self.streams.clone());
        let task = tokio::task::spawn_local(execute_instruction(
            handle,
            streams,
            self.proxy.running.clone(),
        ));
        Some(TrackedStream { guard, upstream: upstream.id().clone(), task })
    }
}

/// Waits for the first instruction that is due and sends it to the stream as a command.
async fn execute_instruction(
    handle: Arc<StreamHandle>,
    streams: Streams,
    running: Arc<RunningStreams>,
) {
    let mut instructions = handle.instructions();
    loop {
        let instruction = instructions.borrow_and_update().clone();
        let Some((command, start)) = instruction.and_then(to_command) else {
            if instructions.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            biased;
            changed = instructions.changed() => if changed.is_err() { return },
            () = sleep_until(start) => {
                handle.set_moving(matches!(command, StreamCommand::Move { .. }));
                running.send_command(handle.request(), command);
                streams.request_replan();
                return;
            }
        }
    }
}

fn to_command(
    Instruction { action, start }: Instruction,
) -> Option<(StreamCommand, tokio::time::Instant)> {
    match action {
        Action::Move { to } => Some((StreamCommand::Move { to }, start)),
        Action::Resume { to } => Some((StreamCommand::Resume { to: Some(to) }, start)),
        Action::Finish | Action::Wait => None,
    }
}
