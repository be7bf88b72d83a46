//! Leases, orders to engines, scaling and reclaims.
//!
//! [`Leaving`] says which instances get no new work, and [`plan`] what
//! becomes of the streams on them.

mod coordinate;
mod directory;
mod evacuate;
mod knapsack;
mod leaving;
mod listing;
mod metrics;
mod notices;
mod plan;
mod relay;
mod spread;
mod streams;
mod wire;

pub use coordinate::{Ask, Coordinator, PlannedStream, planner_of};
pub use directory::{EngineDirectory, Runner, receivers_for};
pub use evacuate::Evacuation;
pub use knapsack::{Item, best_subset, total_value};
pub use leaving::{Leaving, LeavingSet, Record, Stamp, Standing};
pub use listing::{Finding, ListObserver};
pub use metrics::{CallResult, FleetMetrics};
pub use notices::{NoticeSources, ReclaimListener, is_poller};
pub use plan::{Action, ExportLimits, Receiver, RunningStream, Step, plan};
pub use relay::{MovableStream, RelayDeps, RelayError};
pub use spread::ReclaimSpread;
pub use streams::{Instruction, StreamFacts, StreamGuard, StreamHandle, Streams};
pub use wire::WireError;
