//! Nodes, engines, services and callers in memory.

#![allow(dead_code, unused_imports, reason = "each test binary uses only some of these items")]

mod caller;
mod desk;
mod engine;
mod node;

pub(crate) use caller::{Caller, StreamEnd};
pub(crate) use desk::MemoryTransferService;
pub(crate) use engine::{EngineFault, MemoryEngine, token_text};
pub(crate) use node::{TestCluster, TestNode};

/// Token of the only workspace.
pub(crate) const TOKEN: &str = "bench-token-0001";

/// Name of the model service.
pub(crate) const MODEL: &str = "sack-model";

/// Name of the plain service for transfers.
pub(crate) const TRANSFER_SERVICE: &str = "sack-desk";
