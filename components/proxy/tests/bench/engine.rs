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

/// What goes wrong with one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineFault {
    /// The engine can't be reached.
    Unreachable,
    /// The connection breaks after this many tokens.
    BreakAfter(u64),
    /// The connection breaks after this many events that hold no token.
    BreakAfterOthers(u64),
    /// The answer ends after this many tokens as if it were whole.
    EndAfter(u64),
    /// The engine falls silent after this many tokens.
    SilentAfter(u64),
    /// This token comes twice.
    Repeat(u64),
    /// This token is left out.
    Skip(u64),
}

/// Time after which a silent engine is given up.
const SILENCE: Duration = Duration::from_secs(5);

/// A model engine in memory; clones are the same engine.
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

/// Returns the text of the token at `offset` of every answer.
pub(crate) fn token_text(offset: u64) -> String {
    format!("t{offset} ")
}

impl MemoryEngine {
    /// Creates an engine with this time between two tokens.
    pub(crate) fn new(interval: Duration) -> MemoryEngine {
        MemoryEngine { interval, shared: Arc::default() }
    }

    /// Sets what goes wrong with the next answers, one each.
    pub(crate) fn script(&self, faults: impl IntoIterator<Item = EngineFault>) {
        self.shared.lock().unwrap().faults.extend(faults);
    }

    /// Returns the answers that were started, with their first offsets.
    pub(crate) fn started(&self) -> Vec<(RequestId, u64)> {
        self.shared.lock().unwrap().started.clone()
    }

    /// Returns the requests that were cancelled by name.
    pub(crate) fn cancelled(&self) -> Vec<RequestId> {
        self.shared.lock().unwrap().cancelled.clone()
    }

    /// Returns how many answers are being read.
    pub(crate) fn open(&self) -> usize {
        self.shared.lock().unwrap().open
    }
}

struct Answer {
    engine: MemoryEngine,
    next: u64,
    end: u64,
    fault: Option<EngineFault>,
    has_ended: bool,
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.engine.shared.lock().unwrap().open -= 1;
    }
}

impl Answer {
    async fn next(&mut self) -> Option<Result<StreamEvent, UpstreamError>> {
        if self.has_ended {
            return None;
        }
        sleep(self.engine.interval).await;
        match self.fault {
            Some(EngineFault::BreakAfter(at)) if at == self.next => {
                self.has_ended = true;
                return Some(Err(UpstreamError::Broken { reason: "told to break".into() }));
            }
            Some(EngineFault::BreakAfterOthers(0)) => {
                self.has_ended = true;
                return Some(Err(UpstreamError::Broken { reason: "told to break".into() }));
            }
            Some(EngineFault::BreakAfterOthers(left)) => {
                self.fault = Some(EngineFault::BreakAfterOthers(left - 1));
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
        assert_eq!(resumed.as_ref(), expected, "the answer goes on after another text");
        let mut shared = self.shared.lock().unwrap();
        let fault = shared.faults.pop_front();
        if fault == Some(EngineFault::Unreachable) {
            return Err(UpstreamError::Connect { reason: "told to be unreachable".into() });
        }
        shared.started.push((req.id, next));
        shared.open += 1;
        drop(shared);
        let answer = Answer { engine: self.clone(), next, end, fault, has_ended: false };
        Ok(Box::pin(stream::unfold(answer, |mut answer| async move {
            let item = answer.next().await?;
            Some((item, answer))
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
