//! Cluster configuration: services, workspaces, placement rules and limits.
//!
//! [`Snapshot`] is the complete configuration at one revision. Each node holds
//! it behind an `Arc` and replaces it as a unit ([`CurrentConfig`]).
//! [`ConfigStore`] stores the configuration, its history and its audit trail in
//! the key-value service. Nodes send changes to each other as a [`Delta`].

mod change;
mod current;
mod delta;
mod document;
mod fields;
mod lint;
mod model;
mod object;
mod record;
mod satisfiable;
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
pub use lint::{Warning, WarningReason};
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
