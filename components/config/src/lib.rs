//! What operators write: services, workspaces, placement rules and limits.
//!
//! [`Snapshot`] is the whole configuration at one revision. Nodes hold it
//! behind an `Arc` and replace it whole ([`CurrentConfig`]). [`ConfigStore`]
//! keeps it, its history and its audit trail in the platform's key-value
//! service, and [`Delta`] carries what changed from node to node.

mod change;
mod current;
mod delta;
mod document;
mod fields;
mod model;
mod object;
mod record;
mod selector;
mod snapshot;
mod store;
mod token;
mod validate;

pub use change::{
    Applied, ApplyEffect, ApplyError, Change, ConfigError, Conflict, Edit, Plan, plan,
};
pub use current::CurrentConfig;
pub use delta::{Delta, DeltaError};
pub use document::Document;
pub use model::{
    ClassCapacity, Effect, FleetSpec, LatencyTarget, ModelSpec, PlacementRule, Service,
    ServiceKind, ServiceLimits, Workspace, WorkspaceLimits,
};
pub use object::{Object, ObjectKey, ObjectKind};
pub use record::{Action, ChangeRecord, ObjectChange, SystemClock, Timestamp, WallClock};
pub use selector::{Requirement, Selector};
pub use snapshot::Snapshot;
pub use store::{AuditPage, AuditQuery, ChangedObject, ConfigStore, HistoryEntry, HistoryPage};
pub use token::{TokenHash, TokenId};
