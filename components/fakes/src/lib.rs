//! Stand-ins for the platform, the upstreams and the links between nodes.
//!
//! They keep everything in memory and can be slow, refuse, lose an answer
//! after the write took effect, lag and go silent. They count their calls.
//! Nothing here is linked into the two binaries.

mod cloud;
mod engine;
pub mod entry;
mod faults;
mod http;
mod inputs;
mod instances;
mod kv;
mod link;
mod weights;

pub use cloud::MemoryCloud;
pub use engine::{
    MemoryEngine, MemoryEngineConfig, ReceivedOrder, StartedRequest, memory_prompt_hash,
    memory_prompt_token_count, memory_token_text,
};
pub use faults::{Fault, Faults};
pub use http::{
    EngineConfig, EngineCounts, HttpServerHandle, ServedEngine, ServedPlain, ServedPlatform,
    serve_engine, serve_plain, serve_platform,
};
pub use inputs::FuzzInputs;
pub use instances::MemoryInstances;
pub use kv::{KvCalls, MemoryKv};
pub use link::MemoryNet;
pub use weights::MemoryWeights;
