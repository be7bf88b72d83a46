//! HTTP clients of upstreams.

mod call;
mod engine;
pub mod headers;
mod plain;
mod stream;
pub mod wire;

pub use call::UpstreamTimeouts;
pub use engine::HttpEngine;
pub use plain::HttpPlainService;
