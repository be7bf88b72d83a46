//! What is known of upstreams: traits at the border and their HTTP clients.
//!
//! Every failure says whether a byte of the request may have gone out, which
//! decides between `not-run` and `unknown`.

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
