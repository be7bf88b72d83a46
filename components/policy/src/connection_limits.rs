//! When a client's connection is closed, because it makes no progress or because others need its
//! place.

use std::time::Duration;

use tokio::time::Instant;

/// Time without progress after which a connection may be closed to make room for others.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Time beyond a bound before a connection is closed for it, so that the server's own timers and
/// responses go first.
const BOUND_SLACK: Duration = Duration::from_millis(500);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request's head.
    Head,
    /// The rest of a request's body.
    Body,
    /// The response to a request that has been read.
    Response,
    /// The client, which does not read the response.
    Unread,
}

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionProgress {
    /// What the connection waits for.
    pub phase: ConnectionPhase,
    /// When the phase began; for bodies and responses, when the last byte was read or written.
    pub since: Instant,
    /// Until when the client may take a response.
    pub deadline: Option<Instant>,
}

/// Bounds on the time that a client may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Time for a complete request head.
    pub head: Duration,
    /// Time for which a connection may be idle, or a body or response without progress.
    pub idle: Duration,
}

/// Why a connection is closed before its client does so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// The head of a request was not received in time.
    SlowHead,
    /// No part of a body was received for too long.
    SlowBody,
    /// The client did not read a response in time.
    UnreadResponse,
    /// The head or the rest of a refused body is too large.
    TooLarge,
    /// Another connection needed its place.
    Displaced,
    /// All connections were in use.
    NoPlace,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [CloseReason; 6] = [
        CloseReason::SlowHead,
        CloseReason::SlowBody,
        CloseReason::UnreadResponse,
        CloseReason::TooLarge,
        CloseReason::Displaced,
        CloseReason::NoPlace,
    ];

    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::SlowHead => "slow_head",
            CloseReason::SlowBody => "slow_body",
            CloseReason::UnreadResponse => "unread_response",
            CloseReason::TooLarge => "too_large",
            CloseReason::Displaced => "displaced",
            CloseReason::NoPlace => "no_place",
        }
    }
}

impl ConnectionProgress {
    /// Returns why the connection is to be closed now, if it is.
    ///
    /// A response with a deadline may be read slowly until then.
    pub fn overdue(&self, limits: ConnectionLimits, now: Instant) -> Option<CloseReason> {
        let elapsed = now.saturating_duration_since(self.since);
        let (is_overdue, reason) = match self.phase {
            ConnectionPhase::Idle | ConnectionPhase::Response => return None,
            ConnectionPhase::Head => (elapsed > limits.head + BOUND_SLACK, CloseReason::SlowHead),
            ConnectionPhase::Body => (elapsed > limits.idle + BOUND_SLACK, CloseReason::SlowBody),
            ConnectionPhase::Unread => {
                let is_late = match self.deadline {
                    Some(deadline) => now > deadline + BOUND_SLACK,
                    None => elapsed > limits.idle + BOUND_SLACK,
                };
                (is_late, CloseReason::UnreadResponse)
            }
        };
        is_overdue.then_some(reason)
    }

    /// Returns for how long the connection has made no progress, if it may be closed to make room
    /// for another connection.
    pub fn displaceable(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.since);
        match self.phase {
            ConnectionPhase::Idle | ConnectionPhase::Head => Some(elapsed),
            ConnectionPhase::Response => None,
            ConnectionPhase::Body | ConnectionPhase::Unread => {
                (elapsed > STALLED_AFTER).then_some(elapsed)
            }
        }
    }

    /// Returns for how long the connection has made no progress, if memory is kept for it and it
    /// may be closed to free that memory.
    pub fn frees_memory(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.since);
        let holds_memory = matches!(self.phase, ConnectionPhase::Body | ConnectionPhase::Unread);
        (holds_memory && elapsed > STALLED_AFTER).then_some(elapsed)
    }
}
