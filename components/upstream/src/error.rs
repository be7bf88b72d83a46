//! Failures of a call to an upstream.

use std::sync::Arc;

use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_prelude::Fence;

/// Whether a byte of the request may have reached the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Reached {
    /// No byte can have reached it, or it said itself that the request did not run.
    NotRun,
    /// A byte may have reached it.
    MayHaveRun,
}

/// Why a call to an upstream failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum UpstreamError {
    /// no connection to the upstream: {reason}
    Connect {
        /// What was seen.
        reason: Arc<str>,
    },
    /// the upstream refused the request without running it (status {status})
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Time after which the upstream asks to be tried again, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// the upstream rejected the request as wrong (status {status})
    Rejected {
        /// HTTP status of the rejection.
        status: u16,
        /// Body of the rejection.
        body: Bytes,
    },
    /// the upstream refused fencing number {given}: it has seen {seen}
    StaleFence {
        /// Number on the order.
        given: Fence,
        /// Highest number that the upstream has seen.
        seen: Fence,
    },
    /// the connection broke: {reason}
    Broken {
        /// What was seen.
        reason: Arc<str>,
    },
    /// the upstream made no progress for {ms} ms
    Silent {
        /// Time without progress, in milliseconds.
        ms: u64,
    },
    /// the upstream answered with something that can't be read: {reason}
    BadAnswer {
        /// What was seen.
        reason: Arc<str>,
    },
    /// the upstream answered request {got} on the connection of {wanted}
    WrongRequest {
        /// Request that was sent.
        wanted: Arc<str>,
        /// Request that the answer names.
        got: Arc<str>,
    },
    /// the upstream does not have this ability
    Unsupported,
}

impl std::error::Error for UpstreamError {}

impl UpstreamError {
    /// Returns whether a byte of the request may have reached the upstream.
    pub fn reached(&self) -> Reached {
        match self {
            UpstreamError::Connect { .. }
            | UpstreamError::Refused { .. }
            | UpstreamError::Rejected { .. }
            | UpstreamError::StaleFence { .. }
            | UpstreamError::Unsupported => Reached::NotRun,
            UpstreamError::Broken { .. }
            | UpstreamError::Silent { .. }
            | UpstreamError::BadAnswer { .. }
            | UpstreamError::WrongRequest { .. } => Reached::MayHaveRun,
        }
    }
}
