//! What admission is asked and what it answers.

use std::time::Duration;

use displaydoc::Display;
use lycheelatch_prelude::{Attempt, Priority, RequestId, ServiceName, WorkspaceName};
use serde::Serialize;
use tokio::time::Instant;

use crate::Fingerprint;

/// A request that asks to be let through.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Identity of the request.
    pub request: RequestId,
    /// Workspace that it belongs to.
    pub workspace: WorkspaceName,
    /// Service that it is for.
    pub service: ServiceName,
    /// Number of the attempt, as the caller counts.
    pub attempt: Attempt,
    /// Digest by which a repeat is known; none: only the attempt's number tells.
    pub fingerprint: Option<Fingerprint>,
    /// Whether the fingerprint's home says that the request failed before.
    pub failed_before: bool,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Work that it brings: prompt and expected tokens, or 1 at a plain service.
    pub cost: u64,
    /// Importance within its workspace.
    pub priority: Priority,
}

/// Number of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Ticket(pub u64);

/// Leave to run; given back with [`Admission::release`](crate::Admission::release).
#[derive(Debug, PartialEq)]
pub struct Permit {
    pub(crate) service: ServiceName,
    pub(crate) workspace: WorkspaceName,
    pub(crate) fingerprint: Option<Fingerprint>,
    pub(crate) cost: u64,
    pub(crate) is_retry: bool,
    pub(crate) started: Instant,
}

impl Permit {
    /// Returns whether the request was taken for a retry.
    pub fn is_retry(&self) -> bool {
        self.is_retry
    }

    /// Returns the work that the permit stands for, in the units of the service.
    pub fn cost(&self) -> u64 {
        self.cost
    }
}

/// Answer to an [`AdmissionRequest`].
#[derive(Debug)]
pub enum AdmissionDecision {
    /// The request may run now.
    Admitted(Permit),
    /// The request waits; [`Admission::dequeue`](crate::Admission::dequeue) tells its turn.
    Queued(Ticket),
    /// The request does not run.
    Refused(Refusal),
}

/// What became of a waiting request.
#[derive(Debug)]
pub enum Dequeued {
    /// It may run now.
    Admitted(Ticket, Permit),
    /// It does not run.
    Dropped(Ticket, Refusal),
}

/// Refusal of a request that did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When there is room for it, each caller being told another moment.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns the value of a `Retry-After` header, in whole seconds rounded up.
    pub fn retry_after_secs(&self) -> u64 {
        let whole = self.retry_after.as_secs();
        whole + u64::from(self.retry_after.subsec_nanos() > 0)
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// the service has no room within the longest time in the queue
    Overloaded,
    /// the caller's deadline comes before an answer could
    Deadline,
    /// retries have used up their share of the traffic
    RetryBudget,
    /// the workspace sends more requests a second than its limit
    WorkspaceRate,
    /// the workspace has as many requests in flight as its limit
    WorkspaceInFlight,
    /// the service is not configured
    UnknownService,
    /// no upstream of the service can be reached
    NoUpstream,
}

impl std::error::Error for RefusalReason {}
