//! Fakes that are served over HTTP on loopback.

mod engine;
mod engine_state;
mod plain;
mod platform;
mod server;

pub use engine::{ServedEngine, serve_engine};
pub use engine_state::{EngineConfig, EngineCounts};
pub use plain::{ServedPlain, serve_plain};
pub use platform::{ServedPlatform, serve_platform};
pub use server::HttpServerHandle;
