//! Interfaces to upstreams: traits for model engines and plain services, and their HTTP clients.
//!
//! Every error states whether a byte of the request may have reached the
//! upstream, which distinguishes the outcomes `not-run` and `unknown`.

mod engine;
mod error;
mod http;
mod plain;
mod sse;

pub use engine::{
    CacheEvent, CacheEvents, Engine, EngineRequest, EngineStream, KvBlob, LoadReport, LoadedModel,
    Order, OrderKind, ResumePoint, Role, StreamEvent, TokenOffset,
};
pub use error::{Reached, UpstreamError};
pub use http::{HttpEngine, HttpPlainService, UpstreamTimeouts, headers, wire};
pub use plain::{BodyStream, PlainRequest, PlainResponse, PlainService};
pub use sse::{MAX_EVENT_BYTES, SseError, SseEvent, SseReader};
