//! Simulated upstreams and callers in virtual time, for tests and benchmarks.
#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod clock;
pub mod fleet;
pub mod overload;
pub mod recompute;
pub mod rollout;
