//! What operators write: services, workspaces, placement rules and limits.
//!
//! [`Snapshot`] is the whole configuration at one revision. Nodes hold it
//! behind an `Arc` and replace it whole.

mod model;
mod selector;
mod snapshot;
mod token;

pub use model::{
    ClassCapacity, Effect, FleetSpec, LatencyTarget, ModelSpec, PlacementRule, Service,
    ServiceKind, ServiceLimits, Workspace, WorkspaceLimits,
};
pub use selector::{Requirement, Selector};
pub use snapshot::Snapshot;
pub use token::TokenHash;
