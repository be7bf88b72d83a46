//! Lets the fleet empty leaving runners of the answers that this node relays.

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

/// Time between two looks at the answers on leaving runners.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Time between two looks while no runner leaves.
const IDLE_LOOK_EVERY: Duration = Duration::from_secs(3600);

/// Tokens that an answer is expected to have where its request sets no limit.
const EXPECTED_TOKENS: u64 = 400;

/// Size of the KV cache of one token, in bytes.
const KV_BYTES_PER_TOKEN: u64 = 131_072;

/// Tokens of KV cache that are taken to be free on a runner.
const ROOM_TOKENS: u64 = 200_000;

/// Prompt tokens that a runner is taken to compute a second.
const PREFILL_TOKENS_PER_SECOND: u64 = 20_000;

/// Rate at which a runner is taken to export KV cache, in bytes a second.
const EXPORT_BYTES_PER_SECOND: u64 = 1_000_000_000;

/// The runners of this node's registry, as the fleet sees them.
pub struct RegistryDirectory {
    registry: Arc<Registry>,
    config: ConfigSource,
}

impl RegistryDirectory {
    /// Creates the view of a registry.
    pub fn new(registry: Arc<Registry>, config: ConfigSource) -> RegistryDirectory {
        RegistryDirectory { registry, config }
    }

    /// Creates the view of a proxy's registry.
    pub fn from_proxy(proxy: &Proxy) -> RegistryDirectory {
        RegistryDirectory::new(proxy.registry.clone(), proxy.config.clone())
    }
}

impl EngineDirectory for RegistryDirectory {
    fn engine(&self, upstream: &UpstreamId) -> Option<Arc<dyn Engine>> {
        let all = self.registry.all();
        let found = all.iter().find(|known| known.id() == upstream)?;
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
    let most = service.limits.max_in_flight_per_upstream;
    Runner {
        upstream: upstream.id().clone(),
        instance: upstream.listed.instance.clone(),
        zone: upstream.listed.zone.clone(),
        room_tokens: ROOM_TOKENS,
        room_streams: most.saturating_sub(upstream.in_flight()),
        prefill_tokens_per_second: PREFILL_TOKENS_PER_SECOND,
        export_bytes_per_second: EXPORT_BYTES_PER_SECOND,
    }
}

/// Shows the fleet this node's answers on leaving runners and passes its instructions on.
pub struct StreamEvacuator {
    proxy: Arc<Proxy>,
    streams: Streams,
    leaving: LeavingInstances,
}

/// One answer that the fleet plans for.
struct Followed {
    guard: StreamGuard,
    upstream: UpstreamId,
    task: JoinHandle<()>,
}

impl Drop for Followed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StreamEvacuator {
    /// Creates the link between a proxy and the fleet's streams.
    pub fn new(proxy: Arc<Proxy>, streams: Streams, leaving: LeavingInstances) -> StreamEvacuator {
        StreamEvacuator { proxy, streams, leaving }
    }

    /// Follows the leaving instances for as long as it is polled, within a local task set.
    pub async fn run(&self) {
        let mut changes = self.leaving.subscribe();
        let mut followed = HashMap::new();
        loop {
            let instances = changes.borrow_and_update().keys().cloned().collect();
            self.proxy.registry.set_leaving(instances);
            let any_new = self.follow(&mut followed);
            if any_new {
                self.streams.request_replan();
            }
            let wait = if self.leaving.is_empty() { IDLE_LOOK_EVERY } else { LOOK_EVERY };
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                () = sleep(wait) => {}
            }
        }
    }

    /// Updates what the fleet knows of the answers; returns whether one is new to it.
    fn follow(&self, followed: &mut HashMap<RequestId, Followed>) -> bool {
        let running = self.proxy.running.list();
        let config = (self.proxy.config)();
        let is_there = |request: &RequestId, known: &Followed| {
            running.iter().any(|stream| {
                stream.request == *request && stream.upstream.as_ref() == Some(&known.upstream)
            })
        };
        followed.retain(|request, known| is_there(request, known));
        let mut any_new = false;
        for stream in &running {
            if let Some(known) = followed.get(&stream.request) {
                known.guard.handle().set_generated(stream.generated);
                continue;
            }
            let Some(service) = config.services.get(&stream.service) else {
                continue;
            };
            if let Some(known) = self.begin(service, stream) {
                followed.insert(stream.request.clone(), known);
                any_new = true;
            }
        }
        any_new
    }

    fn begin(&self, service: &Service, stream: &RunningStream) -> Option<Followed> {
        let upstream = self.proxy.registry.get(&stream.service, stream.upstream.as_ref()?)?;
        if !self.leaving.is_leaving(&upstream.listed.instance) {
            return None;
        }
        let info = StreamInfo {
            request: stream.request.clone(),
            service: stream.service.clone(),
            prompt_tokens: stream.prompt_tokens,
            expected_tokens: stream.max_tokens.unwrap_or(EXPECTED_TOKENS),
            token_interval: Duration::from_millis(service.latency.between_tokens_ms),
            kv_bytes_per_token: KV_BYTES_PER_TOKEN,
        };
        let guard = self.streams.add(&upstream.listed.instance, info);
        guard.handle().set_generated(stream.generated);
        let (handle, streams) = (guard.handle().clone(), self.streams.clone());
        let task = tokio::task::spawn_local(pass_on(handle, streams, self.proxy.running.clone()));
        Some(Followed { guard, upstream: upstream.id().clone(), task })
    }
}

/// Passes the first instruction that is due on to its answer.
async fn pass_on(handle: Arc<StreamHandle>, streams: Streams, running: Arc<RunningStreams>) {
    let mut instructions = handle.instructions();
    loop {
        let instruction = instructions.borrow_and_update().clone();
        let Some((command, start)) = instruction.and_then(command_of) else {
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

fn command_of(
    Instruction { action, start }: Instruction,
) -> Option<(StreamCommand, tokio::time::Instant)> {
    match action {
        Action::Move { to } => Some((StreamCommand::Move { to }, start)),
        Action::Resume { to } => Some((StreamCommand::Resume { to: Some(to) }, start)),
        Action::Finish | Action::Wait => None,
    }
}
