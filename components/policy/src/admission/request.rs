//! Admission requests, decisions and refusals.

use std::time::Duration;

use displaydoc::Display;
use lycheelatch_prelude::{Attempt, Priority, RequestId, ServiceName, WorkspaceName};
use serde::Serialize;
use tokio::time::Instant;

use crate::Fingerprint;

/// A request to be admitted.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace that sent the request.
    pub workspace: WorkspaceName,
    /// Service that the request is addressed to.
    pub service: ServiceName,
    /// Attempt number given by the caller.
    pub attempt: Attempt,
    /// Hash that identifies repeated requests. If `None`, retries are detected by the attempt
    /// number alone.
    pub fingerprint: Option<Fingerprint>,
    /// Whether the home node of the fingerprint reported an earlier failure of this request.
    pub failed_before: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Cost in units of the service: prompt tokens plus expected completion tokens for a model
    /// service, 1 for a plain service.
    pub cost: u64,
    /// Priority among the requests of the same workspace.
    pub priority: Priority,
}

/// Identifier of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Ticket(pub u64);

/// Permission to run a request; must be returned with
/// [`Admission::release`](crate::Admission::release).
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
    /// Returns whether admission classified the request as a retry.
    pub fn is_retry(&self) -> bool {
        self.is_retry
    }

    /// Returns the cost of the request in units of the service.
    pub fn cost(&self) -> u64 {
        self.cost
    }
}

/// Decision on an [`AdmissionRequest`].
#[derive(Debug)]
pub enum AdmissionDecision {
    /// The request may run now.
    Admitted(Permit),
    /// The request is queued; [`Admission::dequeue`](crate::Admission::dequeue) returns it later.
    Queued(Ticket),
    /// The request must not run.
    Refused(Refusal),
}

/// A request removed from the queue by [`Admission::dequeue`](crate::Admission::dequeue).
#[derive(Debug)]
pub enum Dequeued {
    /// The request may run now.
    Admitted(Ticket, Permit),
    /// The request expired in the queue and must not run.
    Dropped(Ticket, Refusal),
}

/// Refusal of a request; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller should retry; spread so that callers refused together do not
    /// retry together.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns the value of a `Retry-After` header, in whole seconds rounded up.
    pub fn retry_after_secs(&self) -> u64 {
        let secs = self.retry_after.as_secs();
        secs + u64::from(self.retry_after.subsec_nanos() > 0)
    }
}

/// Reason for refusing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// the service has no capacity within the maximum queue time
    Overloaded,
    /// the deadline of the request is earlier than its expected completion
    Deadline,
    /// the retry budget is exhausted
    RetryBudget,
    /// the workspace exceeds its limit of requests per second
    WorkspaceRate,
    /// the workspace has reached its limit of requests in flight
    WorkspaceInFlight,
    /// the service is not configured
    UnknownService,
    /// the service has no reachable upstream
    NoUpstream,
}

impl std::error::Error for RefusalReason {}
