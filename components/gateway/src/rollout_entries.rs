//! Entries of the store by which roll-outs are ordered and reported.

use std::{sync::Arc, time::Duration};

use lycheelatch_prelude::ServiceName;
use serde::{Deserialize, Serialize};

use crate::StoreRevision;

/// An operator's order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// Version that the service moves to.
    pub to: Arc<str>,
    /// Time from the order until its deadline.
    pub duration: Duration,
}

/// State of a roll-out, for the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The new version is being compared or promoted.
    Running,
    /// The new version has replaced the old one.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

impl RolloutState {
    /// Returns whether a roll-out stays in the state.
    pub fn is_final(self) -> bool {
        self != RolloutState::Running
    }
}

/// Reported status of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// State.
    pub state: RolloutState,
    /// Version that the service moves to.
    pub to: Arc<str>,
    /// Revision of the order, if the status names it.
    pub order: Option<StoreRevision>,
    /// Time of the order by the nodes' clock, in milliseconds since the Unix epoch, if it names it.
    pub ordered_at_ms: Option<u64>,
}
