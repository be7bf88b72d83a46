//! Stand-ins for the platform, the upstreams and the links between nodes.
//!
//! They keep everything in memory and can be slow, refuse, lose an answer
//! after the write took effect, lag and go silent. They count their calls.
//! Nothing here is linked into the two binaries.

mod faults;
mod http;
mod kv;
mod link;

pub use faults::{Fault, Faults};
pub use http::{
    EngineConfig, EngineCounts, HttpServerHandle, ServedEngine, ServedPlain, ServedPlatform,
    serve_engine, serve_plain, serve_platform,
};
pub use kv::{KvCalls, MemoryKv};
pub use link::MemoryNet;
