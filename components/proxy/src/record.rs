//! The record of one request.

use std::{cell::OnceCell, sync::Arc};

use bytes::Bytes;
use lycheelatch_claims::ClaimTicket;
use lycheelatch_config::{Service, Snapshot, Workspace};
use lycheelatch_prelude::{Idempotency, Labels, RequestId};
use tokio::time::Instant;

use crate::{Permit, head::Head, load::Prompt};

/// What kind of call a request is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A call of a model service.
    Model {
        /// Path of the OpenAI endpoint.
        path: Arc<str>,
        /// Whether the caller wants a stream of events.
        stream: bool,
    },
    /// A call of a plain service.
    Plain {
        /// HTTP method.
        method: Arc<str>,
        /// Path and query at the service.
        path: Arc<str>,
    },
}

/// A request on its way through the pipeline; each filter adds to it.
pub struct Record {
    /// What the head says.
    pub head: Head,
    /// Configuration that the request is treated by from its start to its end.
    pub config: Arc<Snapshot>,
    /// Name of the service that is called, as the caller wrote it.
    pub service_name: String,
    /// What kind of call it is.
    pub kind: RequestKind,
    /// Body, where it was read whole.
    pub body: Option<Bytes>,
    /// Workspace of the caller; set by authentication.
    pub workspace: Option<Workspace>,
    /// Service; set by classification.
    pub service: Option<Service>,
    /// Labels of the request and its workspace; set by classification.
    pub labels: Labels,
    /// Whether it may run more than once; set by classification.
    pub idempotency: Idempotency,
    /// When the caller stops waiting; set by classification.
    pub deadline: Option<Instant>,
    /// Claim on the idempotency key; set by deduplication.
    pub claim: Option<ClaimTicket>,
    /// Room that the request takes up; set by admission.
    pub permit: Option<Box<dyn Permit>>,
    /// Prompt, once it was read from the body.
    prompt: OnceCell<Prompt>,
}

impl Record {
    /// Creates the record of a request whose head was read.
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

    /// Returns the prompt, which is read from the body once, after classification.
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
