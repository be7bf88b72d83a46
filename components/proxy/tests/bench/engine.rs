//! A model engine in memory.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream;
use lycheelatch_prelude::{RequestId, Sequence};
use lycheelatch_upstream::{
    CacheEvents, Engine, EngineRequest, EngineStream, KvBlob, LoadReport, Order, StreamEvent,
    TokenOffset, UpstreamError,
};
use serde_json::{Value, json};
use tokio::time::sleep;

/// A fault of one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineFault {
    /// The engine is unreachable.
    Unreachable,
    /// The connection breaks after this many tokens.
    BreakAfter(u64),
    /// The connection breaks after this many events that hold no token.
    BreakAfterOthers(u64),
    /// The stream ends after this many tokens without an error.
    EndAfter(u64),
    /// The engine sends nothing after this many tokens.
    SilentAfter(u64),
    /// This token is sent twice.
    Repeat(u64),
    /// This token is omitted.
    Skip(u64),
}

/// Time after which the stream of a silent engine ends with a timeout error.
const SILENCE: Duration = Duration::from_secs(5);

/// A model engine in memory; clones share their state.
#[derive(Clone)]
pub(crate) struct MemoryEngine {
    interval: Duration,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Default)]
struct Shared {
    faults: VecDeque<EngineFault>,
    started: Vec<(RequestId, u64)>,
    cancelled: Vec<RequestId>,
    open: usize,
}

/// Returns the text of the token at `offset`, which is the same in every response.
pub(crate) fn token_text(offset: u64) -> String {
    format!("t{offset} ")
}

impl MemoryEngine {
    /// Creates an engine with an interval between tokens.
    pub(crate) fn new(interval: Duration) -> MemoryEngine {
        MemoryEngine { interval, shared: Arc::default() }
    }

    /// Sets the faults of the next responses, one for each.
    pub(crate) fn script(&self, faults: impl IntoIterator<Item = EngineFault>) {
        self.shared.lock().unwrap().faults.extend(faults);
    }

    /// Returns the requests that were started, with the offset of their first token.
    pub(crate) fn started(&self) -> Vec<(RequestId, u64)> {
        self.shared.lock().unwrap().started.clone()
    }

    /// Returns the requests for which cancellation was requested.
    pub(crate) fn cancelled(&self) -> Vec<RequestId> {
        self.shared.lock().unwrap().cancelled.clone()
    }

    /// Returns the number of open streams.
    pub(crate) fn open(&self) -> usize {
        self.shared.lock().unwrap().open
    }
}

struct ResponseState {
    engine: MemoryEngine,
    next: u64,
    end: u64,
    fault: Option<EngineFault>,
    has_ended: bool,
}

impl Drop for ResponseState {
    fn drop(&mut self) {
        self.engine.shared.lock().unwrap().open -= 1;
    }
}

impl ResponseState {
    async fn next(&mut self) -> Option<Result<StreamEvent, UpstreamError>> {
        if self.has_ended {
            return None;
        }
        sleep(self.engine.interval).await;
        match self.fault {
            Some(EngineFault::BreakAfter(at)) if at == self.next => {
                self.has_ended = true;
                return Some(Err(UpstreamError::Broken {
                    reason: "injected fault: broken".into(),
                }));
            }
            Some(EngineFault::BreakAfterOthers(0)) => {
                self.has_ended = true;
                return Some(Err(UpstreamError::Broken {
                    reason: "injected fault: broken".into(),
                }));
            }
            Some(EngineFault::BreakAfterOthers(remaining)) => {
                self.fault = Some(EngineFault::BreakAfterOthers(remaining - 1));
                return Some(Ok(StreamEvent::Other(Bytes::from_static(b"{\"choices\":[]}"))));
            }
            Some(EngineFault::EndAfter(at)) if at == self.next => {
                self.has_ended = true;
                return None;
            }
            Some(EngineFault::SilentAfter(at)) if at == self.next => {
                self.has_ended = true;
                sleep(SILENCE).await;
                return Some(Err(UpstreamError::Silent { ms: SILENCE.as_millis() as u64 }));
            }
            Some(EngineFault::Skip(at)) if at == self.next => self.next += 1,
            Some(EngineFault::Repeat(at)) if at + 1 == self.next => {
                self.fault = None;
                self.next -= 1;
            }
            _ => {}
        }
        if self.next >= self.end {
            self.has_ended = true;
            return Some(Ok(StreamEvent::Done));
        }
        let offset = self.next;
        self.next += 1;
        let text = token_text(offset);
        let data = json!({"choices": [{"delta": {"content": text}}]}).to_string();
        Some(Ok(StreamEvent::Token {
            offset: TokenOffset(offset),
            text: text.into(),
            data: Bytes::from(data),
        }))
    }
}

#[async_trait(?Send)]
impl Engine for MemoryEngine {
    async fn generate(&self, req: EngineRequest) -> Result<EngineStream, UpstreamError> {
        let body: Value = serde_json::from_slice(&req.body).unwrap();
        let end = body["max_tokens"].as_u64().unwrap_or(16);
        let next = req.resume.as_ref().map_or(0, |resume| resume.offset.0);
        let expected: String = (0..next).map(token_text).collect();
        let resumed = req.resume.map_or("".into(), |resume| resume.text);
        assert_eq!(resumed.as_ref(), expected, "the response is resumed after a different text");
        let mut shared = self.shared.lock().unwrap();
        let fault = shared.faults.pop_front();
        if fault == Some(EngineFault::Unreachable) {
            return Err(UpstreamError::Connect { reason: "injected fault: unreachable".into() });
        }
        shared.started.push((req.id, next));
        shared.open += 1;
        drop(shared);
        let response = ResponseState { engine: self.clone(), next, end, fault, has_ended: false };
        Ok(Box::pin(stream::unfold(response, |mut response| async move {
            let item = response.next().await?;
            Some((item, response))
        })))
    }

    async fn cancel(&self, id: &RequestId) -> Result<(), UpstreamError> {
        self.shared.lock().unwrap().cancelled.push(id.clone());
        Ok(())
    }

    async fn load_report(&self) -> Result<LoadReport, UpstreamError> {
        Err(UpstreamError::Unsupported)
    }

    async fn cache_events(&self, _after: Sequence) -> Result<CacheEvents, UpstreamError> {
        Err(UpstreamError::Unsupported)
    }

    async fn order(&self, _order: &Order) -> Result<(), UpstreamError> {
        Err(UpstreamError::Unsupported)
    }

    async fn export_kv(&self, _id: &RequestId) -> Result<KvBlob, UpstreamError> {
        Err(UpstreamError::Unsupported)
    }

    async fn import_kv(&self, _blob: &KvBlob) -> Result<(), UpstreamError> {
        Err(UpstreamError::Unsupported)
    }
}
