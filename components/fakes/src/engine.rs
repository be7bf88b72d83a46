//! In-memory model engine, timed by Tokio's clock.
//!
//! The text of each token is a function of the prompt and the token's offset,
//! so that a test can check whether a response is complete.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use lycheelatch_prelude::{Fence, RequestId, Sequence};
use lycheelatch_upstream::{
    CacheEvents, Engine, EngineRequest, EngineStream, KvBlob, LoadReport, LoadedModel, Order,
    OrderKind, Role, StreamEvent, TokenOffset, UpstreamError,
};
use serde::Deserialize;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Fault, Faults};

/// Characters of a prompt per token.
const CHARS_PER_TOKEN: usize = 4;

/// Speed and checks of a [`MemoryEngine`].
#[derive(Debug, Clone, PartialEq)]
pub struct MemoryEngineConfig {
    /// Whether an order with an outdated fencing number is refused.
    pub checks_fences: bool,
    /// Interval between two tokens of a stream.
    pub token_interval: Duration,
    /// Prefill rate in tokens per second; prompts are computed one at a time.
    pub prefill_tokens_per_second: u64,
    /// KV cache export rate in bytes per second; exports run one at a time.
    pub export_bytes_per_second: u64,
    /// Fixed time of each export, in addition to the transfer of its bytes.
    pub export_overhead: Duration,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
}

impl Default for MemoryEngineConfig {
    fn default() -> MemoryEngineConfig {
        MemoryEngineConfig {
            checks_fences: true,
            token_interval: Duration::from_millis(30),
            prefill_tokens_per_second: 20_000,
            export_bytes_per_second: 2_500_000_000,
            export_overhead: Duration::from_millis(10),
            kv_bytes_per_token: 131_072,
        }
    }
}

/// An order that an engine received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// Fencing number of the order.
    pub fence: Fence,
    /// Content of the order.
    pub kind: OrderKind,
    /// When the order was applied or refused.
    pub at: Instant,
    /// Whether the order was applied.
    pub accepted: bool,
}

/// A request that an engine started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedRequest {
    /// Request ID.
    pub request: RequestId,
    /// When the request was received.
    pub at: Instant,
    /// Whether the request resumes a partial response.
    pub resumed: bool,
}

/// In-memory model engine; clones share their state.
#[derive(Clone)]
pub struct MemoryEngine {
    shared: Arc<Shared>,
    /// Faults to inject into orders.
    pub order_faults: Faults,
    /// Faults to inject into KV cache exports.
    pub export_faults: Faults,
    /// Faults to inject into KV cache imports.
    pub import_faults: Faults,
}

struct Shared {
    speed: MemoryEngineConfig,
    data: Mutex<Data>,
    is_killed: AtomicBool,
    prefill: tokio::sync::Mutex<()>,
    export: tokio::sync::Mutex<()>,
}

#[derive(Default)]
struct Data {
    cached: HashMap<RequestId, Arc<AtomicU64>>,
    running: HashSet<RequestId>,
    orders: Vec<ReceivedOrder>,
    highest_fence: Fence,
    models: Vec<LoadedModel>,
    role: Role,
    started: Vec<StartedRequest>,
    recomputed: u64,
}

#[derive(Deserialize)]
struct Body {
    prompt: String,
    max_tokens: u64,
}

/// Returns the hash of `prompt` that each token of the response contains.
pub fn memory_prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes()) & 0xffff
}

/// Returns the text of the token at `offset` of the response to the prompt with this hash.
pub fn memory_token_text(prompt_hash: u64, offset: u64) -> Arc<str> {
    format!("{prompt_hash:x}.{offset} ").into()
}

/// Returns the number of tokens of a prompt.
pub fn memory_prompt_token_count(prompt: &str) -> u64 {
    (prompt.len() / CHARS_PER_TOKEN) as u64
}

impl MemoryEngine {
    /// Creates an engine without models.
    pub fn new(speed: MemoryEngineConfig) -> MemoryEngine {
        let shared = Shared {
            speed,
            data: Mutex::default(),
            is_killed: AtomicBool::new(false),
            prefill: tokio::sync::Mutex::default(),
            export: tokio::sync::Mutex::default(),
        };
        MemoryEngine {
            shared: Arc::new(shared),
            order_faults: Faults::default(),
            export_faults: Faults::default(),
            import_faults: Faults::default(),
        }
    }

    /// Kills the engine: all running streams and later calls fail.
    pub fn kill(&self) {
        self.shared.is_killed.store(true, Ordering::Relaxed);
    }

    /// Returns the received orders, in the sequence in which they were applied or refused.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.data(|data| data.orders.clone())
    }

    /// Returns the requests that were started.
    pub fn started(&self) -> Vec<StartedRequest> {
        self.data(|data| data.started.clone())
    }

    /// Returns the number of tokens that were recomputed for resumed requests.
    pub fn recomputed_tokens(&self) -> u64 {
        self.data(|data| data.recomputed)
    }

    /// Returns the number of running streams.
    pub fn running(&self) -> usize {
        self.data(|data| data.running.len())
    }

    fn data<T>(&self, f: impl FnOnce(&mut Data) -> T) -> T {
        f(&mut self.shared.data.lock().unwrap())
    }

    fn check_alive(&self) -> Result<(), UpstreamError> {
        match self.shared.is_killed.load(Ordering::Relaxed) {
            true => Err(UpstreamError::Broken { reason: "the engine was killed".into() }),
            false => Ok(()),
        }
    }

    async fn apply_fault(&self, faults: &Faults) -> Result<(), UpstreamError> {
        match faults.next() {
            Fault::None => Ok(()),
            Fault::Refuse => Err(UpstreamError::Refused { status: 503, retry_after_ms: None }),
            Fault::LoseResponse => {
                Err(UpstreamError::Broken { reason: "injected fault: connection lost".into() })
            }
            Fault::Slow(delay) => {
                sleep(delay).await;
                Ok(())
            }
            Fault::SlowThenLoseResponse(delay) => {
                sleep(delay).await;
                Err(UpstreamError::Broken { reason: "injected fault: connection lost".into() })
            }
            Fault::Silent => std::future::pending().await,
        }
    }

    fn start_request(&self, req: &EngineRequest, needed: u64) -> (Arc<AtomicU64>, u64) {
        self.data(|data| {
            let at = Instant::now();
            let resumed = req.resume.is_some();
            data.started.push(StartedRequest { request: req.id.clone(), at, resumed });
            data.running.insert(req.id.clone());
            let cached = data.cached.entry(req.id.clone()).or_default().clone();
            let missing = needed.saturating_sub(cached.load(Ordering::Relaxed));
            if resumed {
                data.recomputed += missing;
            }
            (cached, missing)
        })
    }

    async fn prefill(&self, tokens: u64) {
        let _one_at_a_time = self.shared.prefill.lock().await;
        let rate = self.shared.speed.prefill_tokens_per_second as f64;
        sleep(Duration::from_secs_f64(tokens as f64 / rate)).await;
    }

    async fn next_event(
        &self,
        run: &mut StreamState,
    ) -> Option<Result<StreamEvent, UpstreamError>> {
        if run.is_done {
            return None;
        }
        if let Some(missing) = run.missing_tokens.take() {
            self.prefill(missing).await;
            run.cached.store(run.prompt_tokens + run.next, Ordering::Relaxed);
        }
        sleep(self.shared.speed.token_interval).await;
        if let Err(err) = self.check_alive() {
            run.is_done = true;
            return Some(Err(err));
        }
        if run.next >= run.length {
            run.is_done = true;
            return Some(Ok(StreamEvent::Done));
        }
        let text = memory_token_text(run.prompt_hash, run.next);
        let data = Bytes::from(text.to_string());
        let offset = TokenOffset(run.next);
        run.next += 1;
        run.cached.store(run.prompt_tokens + run.next, Ordering::Relaxed);
        Some(Ok(StreamEvent::Token { offset, text, data }))
    }

    fn apply_order(&self, order: &Order) -> Result<(), UpstreamError> {
        let checks = self.shared.speed.checks_fences;
        self.data(|data| {
            let seen = data.highest_fence;
            let accepted = !checks || order.fence >= seen;
            let (fence, kind, at) = (order.fence, order.kind.clone(), Instant::now());
            data.orders.push(ReceivedOrder { fence, kind, at, accepted });
            if !accepted {
                return Err(UpstreamError::StaleFence { given: order.fence, seen });
            }
            data.highest_fence = seen.max(order.fence);
            match &order.kind {
                OrderKind::Models { models, .. } => data.models = models.clone(),
                OrderKind::Role { role } => data.role = *role,
            }
            Ok(())
        })
    }
}

/// State of one stream.
struct StreamState {
    engine: MemoryEngine,
    id: RequestId,
    prompt_hash: u64,
    length: u64,
    prompt_tokens: u64,
    next: u64,
    missing_tokens: Option<u64>,
    cached: Arc<AtomicU64>,
    is_done: bool,
}

impl Drop for StreamState {
    fn drop(&mut self) {
        self.engine.data(|data| data.running.remove(&self.id));
    }
}

#[async_trait(?Send)]
impl Engine for MemoryEngine {
    async fn generate(&self, req: EngineRequest) -> Result<EngineStream, UpstreamError> {
        self.check_alive()?;
        let body: Body = serde_json::from_slice(&req.body)
            .map_err(|err| UpstreamError::BadAnswer { reason: err.to_string().into() })?;
        let prompt_tokens = memory_prompt_token_count(&body.prompt);
        let next = req.resume.as_ref().map_or(0, |resume| resume.offset.0);
        let (cached, missing) = self.start_request(&req, prompt_tokens + next);
        let missing_tokens = Some(missing);
        let run = StreamState {
            engine: self.clone(),
            id: req.id,
            prompt_hash: memory_prompt_hash(&body.prompt),
            length: body.max_tokens,
            prompt_tokens,
            next,
            missing_tokens,
            cached,
            is_done: false,
        };
        let events = stream::unfold(run, |mut run| async move {
            let engine = run.engine.clone();
            let event = engine.next_event(&mut run).await?;
            Some((event, run))
        });
        Ok(events.boxed_local())
    }

    async fn cancel(&self, _id: &RequestId) -> Result<(), UpstreamError> {
        self.check_alive()
    }

    async fn load_report(&self) -> Result<LoadReport, UpstreamError> {
        self.check_alive()?;
        let per_stream = 1.0 / self.shared.speed.token_interval.as_secs_f64();
        Ok(self.data(|data| LoadReport {
            running: data.running.len() as u32,
            waiting: 0,
            cache_used_tokens: 0,
            cache_total_tokens: 1_000_000,
            tokens_per_second: data.running.len() as f64 * per_stream,
            role: data.role,
            models: data.models.clone(),
        }))
    }

    async fn cache_events(&self, after: Sequence) -> Result<CacheEvents, UpstreamError> {
        self.check_alive()?;
        Ok(CacheEvents { last: after, gap: false, events: Vec::new() })
    }

    async fn order(&self, order: &Order) -> Result<(), UpstreamError> {
        self.check_alive()?;
        let lost = || UpstreamError::Broken { reason: "injected fault: response lost".into() };
        match self.order_faults.next() {
            Fault::None => self.apply_order(order),
            Fault::Refuse => Err(UpstreamError::Refused { status: 503, retry_after_ms: None }),
            Fault::LoseResponse => self.apply_order(order).and(Err(lost())),
            Fault::Slow(delay) => {
                // Spawned, so that the order is applied even if the caller drops the call.
                let (engine, order) = (self.clone(), order.clone());
                let effect = tokio::task::spawn_local(async move {
                    sleep(delay).await;
                    engine.apply_order(&order)
                });
                effect.await.unwrap_or_else(|_| Err(lost()))
            }
            Fault::SlowThenLoseResponse(delay) => {
                let (engine, order) = (self.clone(), order.clone());
                tokio::task::spawn_local(async move {
                    sleep(delay).await;
                    let _lost_response = engine.apply_order(&order);
                });
                Err(lost())
            }
            Fault::Silent => std::future::pending().await,
        }
    }

    async fn export_kv(&self, id: &RequestId) -> Result<KvBlob, UpstreamError> {
        self.check_alive()?;
        let _one_at_a_time = self.shared.export.lock().await;
        self.apply_fault(&self.export_faults).await?;
        let cached = self.data(|data| data.cached.get(id).cloned());
        let tokens = cached.map_or(0, |tokens| tokens.load(Ordering::Relaxed));
        let speed = &self.shared.speed;
        let secs =
            (tokens * speed.kv_bytes_per_token) as f64 / speed.export_bytes_per_second as f64;
        sleep(speed.export_overhead + Duration::from_secs_f64(secs)).await;
        self.check_alive()?;
        Ok(KvBlob { request: id.clone(), tokens, data: Bytes::new() })
    }

    async fn import_kv(&self, blob: &KvBlob) -> Result<(), UpstreamError> {
        self.check_alive()?;
        self.apply_fault(&self.import_faults).await?;
        self.check_alive()?;
        self.data(|data| {
            let cached = data.cached.entry(blob.request.clone()).or_default();
            cached.store(blob.tokens, Ordering::Relaxed);
        });
        Ok(())
    }
}
