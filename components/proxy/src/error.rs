//! Refusals: answers to requests that did not run, or whose outcome is said.

use std::time::Duration;

use actix_web::{HttpResponse, http::StatusCode};
use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_prelude::{InvalidValue, Outcome, RequestId, ServiceName, WorkspaceName};
use serde::Serialize;

use crate::head::{OUTCOME_HEADER, REQUEST_ID_HEADER};

/// Why a request has no answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// {0}
    Invalid(InvalidValue),
    /// the bearer token is missing or belongs to no workspace
    Unauthorized,
    /// workspace {workspace} may not call service {service}
    Forbidden {
        /// Workspace of the caller.
        workspace: WorkspaceName,
        /// Service that was called.
        service: ServiceName,
    },
    /// service {0} does not exist
    UnknownService(String),
    /// request {0} is not known
    UnknownRequest(RequestId),
    /// the answer of request {0} can't be taken up again
    NotResumable(RequestId),
    /// the request still runs
    StillRunning,
    /// the body is larger than {0} bytes
    BodyTooLarge(usize),
    /// the body was not sent in time
    BodyTimeout,
    /// another request with a different body has this idempotency key
    KeyMismatch,
    /// a request with this idempotency key is running
    KeyRunning,
    /// an earlier request with this idempotency key may have run
    KeyUnresolved,
    /// the idempotency key can't be claimed now: {0}
    ClaimFailed(String),
    /// there is no room for the request now
    Overloaded,
    /// the workspace has used its share
    WorkspaceLimited,
    /// retries have used their share
    RetryLimited,
    /// no upstream of service {0} can take the request
    NoUpstream(ServiceName),
    /// the deadline has passed
    DeadlinePassed,
    /// the node is stopping
    Stopping,
    /// the node has no configuration yet
    NotReady,
    /// the upstream failed: {0}
    UpstreamFailed(String),
    /// the upstream rejected the request (status {status})
    UpstreamRejected {
        /// HTTP status.
        status: u16,
        /// Body of the rejection.
        body: Bytes,
    },
}

/// An answer that lycheelatch gives itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// What became of the request.
    pub outcome: Outcome,
    /// When to try again.
    pub retry_after: Option<Duration>,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.reason.fmt(f)
    }
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason) -> Refusal {
        Refusal { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason) -> Refusal {
        Refusal { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Sets the time after which to try again.
    pub fn retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match &self.reason {
            RefusalReason::Invalid(_) => StatusCode::BAD_REQUEST,
            RefusalReason::Unauthorized => StatusCode::UNAUTHORIZED,
            RefusalReason::Forbidden { .. } => StatusCode::FORBIDDEN,
            RefusalReason::UnknownService(_) | RefusalReason::UnknownRequest(_) => {
                StatusCode::NOT_FOUND
            }
            RefusalReason::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            RefusalReason::KeyRunning
            | RefusalReason::KeyUnresolved
            | RefusalReason::NotResumable(_)
            | RefusalReason::StillRunning => StatusCode::CONFLICT,
            RefusalReason::WorkspaceLimited | RefusalReason::RetryLimited => {
                StatusCode::TOO_MANY_REQUESTS
            }
            RefusalReason::ClaimFailed(_)
            | RefusalReason::Overloaded
            | RefusalReason::NoUpstream(_)
            | RefusalReason::Stopping
            | RefusalReason::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            RefusalReason::UpstreamFailed(_) => StatusCode::BAD_GATEWAY,
            RefusalReason::UpstreamRejected { status, .. } => {
                StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY)
            }
        }
    }

    /// Returns the answer as problem JSON.
    pub fn into_response(self, id: &RequestId) -> HttpResponse {
        let mut answer = HttpResponse::build(self.status());
        answer
            .insert_header((REQUEST_ID_HEADER, id.as_str()))
            .insert_header((OUTCOME_HEADER, self.outcome.as_str()));
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            answer.insert_header(("retry-after", seconds.to_string()));
        }
        if let RefusalReason::UpstreamRejected { body, .. } = self.reason {
            return answer.content_type("application/json").body(body);
        }
        let problem = ProblemWire::new(&self);
        answer
            .content_type("application/problem+json")
            .body(serde_json::to_vec(&problem).unwrap_or_default())
    }
}

/// Problem details of RFC 9457.
#[derive(Debug, Serialize)]
struct ProblemWire {
    title: String,
    status: u16,
    detail: String,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

impl ProblemWire {
    fn new(refusal: &Refusal) -> ProblemWire {
        let (field, value) = match &refusal.reason {
            RefusalReason::Invalid(err) => (Some(err.field.clone()), Some(err.value.clone())),
            RefusalReason::UnknownService(name) => {
                (Some("model".to_owned()), Some(name.chars().take(128).collect()))
            }
            _ => (None, None),
        };
        let status = refusal.status();
        ProblemWire {
            title: status.canonical_reason().unwrap_or("Error").to_owned(),
            status: status.as_u16(),
            detail: refusal.reason.to_string(),
            outcome: refusal.outcome.as_str(),
            field,
            value,
        }
    }
}

impl From<InvalidValue> for Refusal {
    fn from(err: InvalidValue) -> Refusal {
        Refusal::not_run(RefusalReason::Invalid(err))
    }
}
