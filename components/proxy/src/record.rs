//! State of one request in the pipeline.

use std::{cell::OnceCell, sync::Arc};

use bytes::Bytes;
use lycheelatch_claims::ClaimTicket;
use lycheelatch_config::{Service, Snapshot, Workspace};
use lycheelatch_prelude::{Idempotency, Labels, RequestId};
use tokio::time::Instant;

use crate::{Permit, head::Head, load::Prompt};

/// Kind of service that a request calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// Request to a model service.
    Model {
        /// Path of the OpenAI endpoint.
        path: Arc<str>,
        /// Whether the caller requests a stream of events.
        stream: bool,
    },
    /// Request to a plain service.
    Plain {
        /// HTTP method.
        method: Arc<str>,
        /// Path and query sent to the service.
        path: Arc<str>,
    },
}

/// State of a request in the pipeline; each filter adds to it.
pub struct Record {
    /// Head of the request.
    pub head: Head,
    /// Configuration in force when the request arrived; used until the request ends.
    pub config: Arc<Snapshot>,
    /// Service name as given by the caller.
    pub service_name: String,
    /// Kind of service called.
    pub kind: RequestKind,
    /// Body, if it has been read completely.
    pub body: Option<Bytes>,
    /// Workspace of the caller; set by authentication.
    pub workspace: Option<Workspace>,
    /// Service; set by classification.
    pub service: Option<Service>,
    /// Labels of the request and its workspace; set by classification.
    pub labels: Labels,
    /// Whether the request may run more than once; set by classification.
    pub idempotency: Idempotency,
    /// Deadline of the request; set by classification.
    pub deadline: Option<Instant>,
    /// Claim on the idempotency key; set by deduplication.
    pub claim: Option<ClaimTicket>,
    /// Capacity reserved for the request; set by admission.
    pub permit: Option<Box<dyn Permit>>,
    /// Prompt, parsed from the body on first use.
    prompt: OnceCell<Prompt>,
}

impl Record {
    /// Creates the record of a request from its head.
    pub fn new(
        head: Head,
        config: Arc<Snapshot>,
        service_name: String,
        kind: RequestKind,
    ) -> Record {
        Record {
            head,
            config,
            service_name,
            kind,
            body: None,
            workspace: None,
            service: None,
            labels: Labels::default(),
            idempotency: Idempotency::NonIdempotent,
            deadline: None,
            claim: None,
            permit: None,
            prompt: OnceCell::new(),
        }
    }

    /// Returns the identity of the request.
    pub fn id(&self) -> &RequestId {
        &self.head.id
    }

    /// Returns the service.
    ///
    /// # Panics
    ///
    /// Panics before classification.
    pub fn service(&self) -> &Service {
        self.service.as_ref().expect("classified")
    }

    /// Returns the workspace.
    ///
    /// # Panics
    ///
    /// Panics before authentication.
    pub fn workspace(&self) -> &Workspace {
        self.workspace.as_ref().expect("authenticated")
    }

    /// Returns the prompt, parsed from the body on the first call after classification.
    pub(crate) fn prompt(&self) -> &Prompt {
        self.prompt.get_or_init(|| Prompt::from_record(self))
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Instant) -> std::time::Duration {
        match self.deadline {
            Some(deadline) => deadline.saturating_duration_since(now),
            None => std::time::Duration::MAX,
        }
    }
}
