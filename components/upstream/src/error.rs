//! Errors of calls to an upstream.

use std::sync::Arc;

use bytes::Bytes;
use displaydoc::Display;
use lycheelatch_prelude::Fence;

/// Whether a byte of the request may have reached the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Reached {
    /// No byte can have reached the upstream, or it reported that the request did not run.
    NotRun,
    /// A byte may have reached the upstream.
    MayHaveRun,
}

/// Why a call to an upstream failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum UpstreamError {
    /// no connection to the upstream: {reason}
    Connect {
        /// Cause of the failure.
        reason: Arc<str>,
    },
    /// the upstream refused the request without running it (status {status})
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Delay requested by the upstream before a retry, in milliseconds.
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
        /// Fencing number of the order.
        given: Fence,
        /// Highest fencing number that the upstream has seen.
        seen: Fence,
    },
    /// the connection broke: {reason}
    Broken {
        /// Cause of the failure.
        reason: Arc<str>,
    },
    /// the upstream made no progress for {ms} ms
    Silent {
        /// Time without progress, in milliseconds.
        ms: u64,
    },
    /// the upstream answered with something that can't be read: {reason}
    BadAnswer {
        /// Cause of the failure.
        reason: Arc<str>,
    },
    /// the upstream answered request {got} on the connection of {wanted}
    WrongRequest {
        /// Id of the request that was sent.
        wanted: Arc<str>,
        /// Request id in the response.
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
