//! Interface to model engines.

use std::{pin::Pin, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::Stream;
use lycheelatch_prelude::{
    AdapterName, Fence, ModelName, ModelVersion, Priority, RequestId, Sequence,
};
use serde::{Deserialize, Serialize};

use crate::UpstreamError;

/// Position in a response: the number of tokens that precede it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TokenOffset(pub u64);

/// Position from which an interrupted response is resumed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePoint {
    /// Number of tokens that were already delivered to the caller.
    pub offset: TokenOffset,
    /// Text of those tokens, for an engine that has to recompute their KV cache.
    pub text: Arc<str>,
}

/// One request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// Identity of the request; the engine returns it in its response.
    pub id: RequestId,
    /// Path of the OpenAI endpoint, such as `/v1/chat/completions`.
    pub path: Arc<str>,
    /// Body in the OpenAI request format.
    pub body: Bytes,
    /// Whether the caller requested a stream of events.
    pub stream: bool,
    /// Scheduling priority of the request in the engine.
    pub priority: Priority,
    /// Time left until the caller's deadline.
    pub timeout: Duration,
    /// Position to resume from, if an earlier response was interrupted.
    pub resume: Option<ResumePoint>,
}

/// One event of an engine's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// One token, with its text and the data of its event.
    Token {
        /// Number of tokens before this one in the response.
        offset: TokenOffset,
        /// Text of the token.
        text: Arc<str>,
        /// Unmodified data of the event.
        data: Bytes,
    },
    /// Data of an event that holds no token, such as usage or a finish reason.
    Other(Bytes),
    /// The response is complete.
    Done,
}

/// Events of one response, in order.
///
/// A response that ends without [`StreamEvent::Done`] is incomplete. Dropping the
/// stream closes its connection, which is never reused.
pub type EngineStream = Pin<Box<dyn Stream<Item = Result<StreamEvent, UpstreamError>>>>;

/// Role of a runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Processes prompts and generates tokens.
    #[default]
    Mixed,
    /// Processes prompts only.
    Prefill,
    /// Generates tokens only.
    Decode,
}

/// A model, version and adapter that a runner has loaded or has to load.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapter loaded with the model, if any.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
}

/// Load reported by an engine; the values lag behind the actual load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// KV cache in use, in tokens.
    pub cache_used_tokens: u64,
    /// KV cache capacity, in tokens.
    pub cache_total_tokens: u64,
    /// Tokens generated per second.
    pub tokens_per_second: f64,
    /// Current role of the runner.
    #[serde(default)]
    pub role: Role,
    /// Loaded models.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
}

/// Change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum CacheEvent {
    /// Blocks were stored; each hash covers its block and all preceding blocks.
    Stored {
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// Blocks were removed.
    Removed {
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// All blocks were removed.
    Cleared,
}

/// Cache events after a sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the last event, from which the next call continues.
    pub last: Sequence,
    /// Whether events after the requested sequence number are missing.
    pub gap: bool,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// Desired state in an order; it is absolute, so that repeating an order has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum OrderKind {
    /// Load exactly these models and unload all others.
    Models {
        /// The models, versions and adapters.
        models: Vec<LoadedModel>,
        /// Rate at which to load from the weight store, in bytes per second.
        bytes_per_second: Option<u64>,
    },
    /// Switch the runner to this role.
    Role {
        /// The new role.
        role: Role,
    },
}

/// Order that sets the state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease holder that issues the order.
    pub fence: Fence,
    /// Desired state.
    pub kind: OrderKind,
}

/// Exported KV cache of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvBlob {
    /// Request that the KV cache belongs to.
    pub request: RequestId,
    /// Number of tokens covered, of the prompt and the response together.
    pub tokens: u64,
    /// Opaque contents of the KV cache.
    pub data: Bytes,
}

/// Client of a model engine.
#[async_trait(?Send)]
pub trait Engine: Send + Sync {
    /// Sends or resumes a request and returns the events of the response.
    async fn generate(&self, req: EngineRequest) -> Result<EngineStream, UpstreamError>;

    /// Cancels a request; cancelling an unknown one succeeds.
    async fn cancel(&self, id: &RequestId) -> Result<(), UpstreamError>;

    /// Reads the load report.
    async fn load_report(&self) -> Result<LoadReport, UpstreamError>;

    /// Reads the cache events after `after`.
    async fn cache_events(&self, after: Sequence) -> Result<CacheEvents, UpstreamError>;

    /// Sends an order.
    ///
    /// Fails with [`UpstreamError::StaleFence`] if the engine has seen a higher fencing number.
    async fn order(&self, order: &Order) -> Result<(), UpstreamError>;

    /// Exports the KV cache of a request.
    async fn export_kv(&self, id: &RequestId) -> Result<KvBlob, UpstreamError>;

    /// Imports the KV cache of a request, before the request is resumed on this engine.
    async fn import_kv(&self, blob: &KvBlob) -> Result<(), UpstreamError>;
}
