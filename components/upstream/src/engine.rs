//! Model engines.

use std::{pin::Pin, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::Stream;
use lycheelatch_prelude::{
    AdapterName, Fence, ModelName, ModelVersion, Priority, RequestId, Sequence,
};
use serde::{Deserialize, Serialize};

use crate::UpstreamError;

/// Number of tokens of an answer that come before a point.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TokenOffset(pub u64);

/// Where an answer is taken up again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePoint {
    /// Tokens that the caller's side has already.
    pub offset: TokenOffset,
    /// Text of those tokens, for an engine that must recompute them.
    pub text: Arc<str>,
}

/// One request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// Identity of the request; the engine repeats it in its answer.
    pub id: RequestId,
    /// Path of the OpenAI endpoint, such as `/v1/chat/completions`.
    pub path: Arc<str>,
    /// Body in the OpenAI request format.
    pub body: Bytes,
    /// Whether the caller wants a stream of events.
    pub stream: bool,
    /// Priority that the engine honours.
    pub priority: Priority,
    /// Time left until the caller's deadline.
    pub timeout: Duration,
    /// Where to take an earlier answer up again, if there is one.
    pub resume: Option<ResumePoint>,
}

/// One event of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// One token with its text and its event's data.
    Token {
        /// Tokens of this answer before this one.
        offset: TokenOffset,
        /// Text of the token.
        text: Arc<str>,
        /// Data of the event, as the engine wrote it.
        data: Bytes,
    },
    /// Data of an event that holds no token, such as usage or a finish reason.
    Other(Bytes),
    /// The answer is whole.
    Done,
}

/// Events of one answer, in order.
///
/// An answer that ends without [`StreamEvent::Done`] is broken. Dropping the
/// stream closes its connection, which is never used again.
pub type EngineStream = Pin<Box<dyn Stream<Item = Result<StreamEvent, UpstreamError>>>>;

/// Role of a runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Computes prompts and generates tokens.
    #[default]
    Mixed,
    /// Computes prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// A model, version and adapter that a runner has or should have.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapter beside the model.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
}

/// An engine's report of its own load; it lags.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that generate now.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens of KV cache in use.
    pub cache_used_tokens: u64,
    /// Tokens of KV cache that fit.
    pub cache_total_tokens: u64,
    /// Tokens generated a second.
    pub tokens_per_second: f64,
    /// Role that the runner has.
    #[serde(default)]
    pub role: Role,
    /// Models that are loaded.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum CacheEvent {
    /// Blocks were stored; each hash covers its block and all before it.
    Stored {
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// Blocks were removed.
    Removed {
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// Everything was removed.
    Cleared,
}

/// Cache events after a sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the last event; the next call passes it.
    pub last: Sequence,
    /// Whether events between the two numbers are missing.
    pub gap: bool,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// What an order asks for: an absolute state, so that a repeat changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum OrderKind {
    /// Exactly these models are to be loaded.
    Models {
        /// The models, versions and adapters.
        models: Vec<LoadedModel>,
        /// Rate at which to load from the weight store, in bytes a second.
        bytes_per_second: Option<u64>,
    },
    /// The runner is to have this role.
    Role {
        /// The role.
        role: Role,
    },
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease holder that gives it.
    pub fence: Fence,
    /// What it asks for.
    pub kind: OrderKind,
}

/// KV cache of one request, as an engine exports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvBlob {
    /// Request that it belongs to.
    pub request: RequestId,
    /// Tokens that it covers, of the prompt and of the answer together.
    pub tokens: u64,
    /// The cache, opaque.
    pub data: Bytes,
}

/// A model engine.
#[async_trait(?Send)]
pub trait Engine: Send + Sync {
    /// Sends a request, or takes one up again, and returns its events.
    async fn generate(&self, req: EngineRequest) -> Result<EngineStream, UpstreamError>;

    /// Cancels a request; cancelling an unknown one succeeds.
    async fn cancel(&self, id: &RequestId) -> Result<(), UpstreamError>;

    /// Reads the load report.
    async fn load_report(&self) -> Result<LoadReport, UpstreamError>;

    /// Reads the cache events after `after`.
    async fn cache_events(&self, after: Sequence) -> Result<CacheEvents, UpstreamError>;

    /// Gives an order.
    async fn order(&self, order: &Order) -> Result<(), UpstreamError>;

    /// Exports the KV cache of a request.
    async fn export_kv(&self, id: &RequestId) -> Result<KvBlob, UpstreamError>;

    /// Imports the KV cache of a request, before the request is taken up here.
    async fn import_kv(&self, blob: &KvBlob) -> Result<(), UpstreamError>;
}
