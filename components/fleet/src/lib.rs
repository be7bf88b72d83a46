//! Leases, orders to engines, scaling and reclaims.
//!
//! [`Leaving`] says which instances get no new work, and [`plan`] what
//! becomes of the streams on them.

mod coordinate;
mod directory;
mod evacuate;
mod gate;
mod knapsack;
mod lease;
mod leaving;
mod listing;
mod metrics;
mod notices;
mod orders;
mod plan;
mod relay;
mod spread;
mod streams;
mod wire;

pub use coordinate::{Ask, Coordinator, MovingStream, PlannedStream, planner_of};
pub use directory::{EngineDirectory, Runner, receivers_for};
pub use evacuate::Evacuation;
pub use gate::{GateError, OrderGate};
pub use knapsack::{Item, best_subset, total_value};
pub use lease::{LEASE_MARGIN, LEASE_TTL, MAX_ORDER_IN_FLIGHT, Permit, ShardLease};
pub use leaving::{Leaving, LeavingSet, Record, Stamp, Standing};
pub use listing::{Finding, ListObserver};
pub use metrics::{CallResult, FleetMetrics};
pub use notices::{NoticeSources, ReclaimListener, is_poller};
pub use orders::{OrderError, Orders, stale_fence};
pub use plan::{Action, ExportLimits, Receiver, RunningStream, Step, plan};
pub use relay::{MovableStream, RelayDeps, RelayError};
pub use spread::ReclaimSpread;
pub use streams::{Instruction, StreamFacts, StreamGuard, StreamHandle, Streams};
pub use wire::WireError;
