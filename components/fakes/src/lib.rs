//! Fakes of the platform, the upstreams and the links between nodes.
//!
//! They keep their state in memory and count calls. They can be told to delay
//! or refuse a call, to lose its response after the effect, to return outdated
//! data or never to respond. The two binaries do not link this crate.

mod cloud;
mod engine;
pub mod entry;
mod faults;
mod http;
mod inputs;
mod instances;
mod kv;
mod link;
mod tcp_link;
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
pub use tcp_link::TcpLink;
pub use weights::MemoryWeights;
