//! Leases, orders to engines, scaling and reclaims.
//!
//! [`LeavingInstances`] says which instances get no new work, and [`plan`] what
//! becomes of the streams on them.

mod coordinate;
mod desired;
mod directory;
mod evacuate;
mod fleet;
mod gate;
mod knapsack;
mod lease;
mod leaving;
mod listing;
mod metrics;
mod notices;
mod orders;
mod plan;
mod rank;
mod relay;
mod scale;
mod shard;
mod share;
mod size;
mod spread;
mod streams;
mod wire;

pub use coordinate::{Ask, Coordinator, MovingStream, PlannedStream, planner_of};
pub use desired::{LoadCost, RunnerState, desired_model, orders_due};
pub use directory::{EngineDirectory, Runner, receivers_for};
pub use evacuate::Evacuation;
pub use fleet::{Fleet, FleetDeps};
pub use gate::{GateError, OrderGate};
pub use knapsack::{Item, best_subset, total_value};
pub use lease::{LEASE_MARGIN, LEASE_TTL, MAX_ORDER_IN_FLIGHT, Permit, ShardLease};
pub use leaving::{LeavingDeadlines, LeavingInstances, Record, Stamp, Standing};
pub use listing::{Finding, ListObserver};
pub use metrics::{CallResult, FleetMetrics};
pub use notices::{NoticeSources, ReclaimListener, is_poller};
pub use orders::{OrderError, Orders, stale_fence};
pub use plan::{Action, ExportLimits, Receiver, RunningStream, Step, plan};
pub use rank::is_candidate;
pub use relay::{MovableStream, RelayDeps, RelayError};
pub use scale::{Changes, NeedWindow, StartBackoff, decide};
pub use shard::{Demand, Shard, ShardDeps};
pub use share::{Load, share_rate};
pub use size::{Choice, InstanceKind, Mix, Verdict, cheapest_mix, choices, judge};
pub use spread::ReclaimGossip;
pub use streams::{Instruction, StreamGuard, StreamHandle, StreamInfo, Streams};
pub use wire::WireError;
