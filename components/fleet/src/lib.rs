//! Leases, orders to engines, scaling and evacuation of reclaimed instances.
//!
//! [`LeavingInstances`] holds the instances that accept no new requests; [`plan`] decides
//! how the streams running on them are finished, moved or resumed.

mod coordinate;
mod desired;
mod directory;
mod evacuate;
mod fleet;
mod gossip;
mod knapsack;
mod lease;
mod leaving;
mod listing;
mod metrics;
mod notices;
mod order_lock;
mod orders;
mod plan;
mod rank;
mod relay;
mod scale;
mod shard;
mod share;
mod size;
mod streams;
mod wire;

pub use coordinate::{ActiveTransfer, Coordinator, PlanRequest, PlannedStream, planner_for};
pub use desired::{LoadCost, RunnerState, desired_model, orders_due};
pub use directory::{EngineDirectory, Runner, receivers_for};
pub use evacuate::Evacuation;
pub use fleet::{Fleet, FleetDeps};
pub use gossip::ReclaimGossip;
pub use knapsack::{Item, best_subset, total_value};
pub use lease::{LEASE_MARGIN, LEASE_TTL, MAX_ORDER_DELAY, Permit, ShardLease};
pub use leaving::{
    InstanceRecord, InstanceStatus, LeavingDeadlines, LeavingInstances, RecordVersion,
};
pub use listing::{Finding, ListObserver};
pub use metrics::{CallResult, FleetMetrics};
pub use notices::{NoticeSources, ReclaimPoller, is_poller};
pub use order_lock::{OrderLock, OrderLockError};
pub use orders::{OrderError, Orders, stale_fence};
pub use plan::{Action, ExportLimits, Receiver, RunningStream, Step, plan};
pub use rank::is_candidate;
pub use relay::{MovableStream, RelayDeps, RelayError};
pub use scale::{PeakLoadWindow, ScalingPlan, StartBackoff, plan_scaling};
pub use shard::{DemandSource, Shard, ShardDeps};
pub use share::{WeightLoad, allocate_rates};
pub use size::{
    InstanceKind, InstanceMix, InstanceOption, MixEvaluation, cheapest_mix, evaluate_mix,
    instance_options,
};
pub use streams::{Instruction, StreamGuard, StreamHandle, StreamInfo, Streams};
pub use wire::WireError;
