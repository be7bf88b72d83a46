//! What is known of upstreams: traits at the border and their HTTP clients.
//!
//! Every failure says whether a byte of the request may have gone out, which
//! decides between `not-run` and `unknown`.

mod engine;
mod error;
mod plain;

pub use engine::{
    CacheEvent, CacheEvents, Engine, EngineRequest, EngineStream, KvBlob, LoadReport, LoadedModel,
    Order, OrderKind, ResumePoint, Role, StreamEvent, TokenOffset,
};
pub use error::{Reached, UpstreamError};
pub use plain::{BodyStream, PlainRequest, PlainResponse, PlainService};
