//! Request lifecycle, which determines the outcome of each request.
//!
//! A request is accepted, sent to an upstream in one or more attempts, answered,
//! and ends with exactly one [`Outcome`]. Events of an attempt carry its number;
//! events of an attempt that has ended are discarded, so that a late response
//! never reaches the caller.

use lycheelatch_prelude::{Idempotency, Outcome};

/// Lowest HTTP status of a response to a failed request.
const MIN_SERVER_ERROR: u16 = 500;

/// Number of an attempt within one request, starting at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LifecycleState {
    /// Accepted; no byte of the current attempt has been sent.
    Accepted,
    /// A byte of the current attempt may have reached an upstream.
    Sent,
    /// The response of the current attempt has started.
    Responding,
    /// Ended with an outcome.
    Ended(Outcome),
}

/// Event of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptEvent {
    /// The first byte is about to be sent.
    BytesSent,
    /// The response head was received.
    ResponseStarted,
    /// A chunk of the response is about to be relayed to the caller.
    ChunkRelayed,
    /// The response is complete and has been relayed to the caller.
    ResponseEnded {
        /// HTTP status of the response.
        status: u16,
    },
    /// The attempt failed: refused, reset, timed out, out of order, or its upstream was reclaimed.
    Failed {
        /// Whether the upstream may have executed the request; false only if no byte can have
        /// reached it or if it reported that it did not execute the request.
        may_have_run: bool,
    },
}

/// Event of a request as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestEvent {
    /// The deadline passed.
    TimedOut,
    /// The caller disconnected.
    Cancelled,
    /// The node is stopping and could not hand the request over to another node.
    NodeStopped,
    /// No further attempt is made.
    GivenUp,
}

/// Required action after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LifecycleStep {
    /// Continue.
    Continue,
    /// The attempt has ended: start another one if [`RequestLifecycle::may_start_attempt`] allows
    /// it, otherwise give up.
    AttemptEnded,
    /// The request has ended; nothing more may be sent to the caller.
    Ended(Outcome),
    /// Ignore the event: it belongs to an attempt or a request that has ended.
    Discard,
}

/// State machine of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLifecycle {
    idempotency: Idempotency,
    is_resumable: bool,
    max_attempts: u32,
    state: LifecycleState,
    attempts: u32,
    is_attempt_open: bool,
    may_have_run: bool,
    has_relayed: bool,
}

impl RequestLifecycle {
    /// Creates the lifecycle of a newly accepted request.
    ///
    /// `is_resumable` means that another attempt can continue exactly where the
    /// relayed part of the response ended. `max_attempts` includes the first attempt.
    pub fn new(
        idempotency: Idempotency,
        is_resumable: bool,
        max_attempts: u32,
    ) -> RequestLifecycle {
        RequestLifecycle {
            idempotency,
            is_resumable,
            max_attempts,
            state: LifecycleState::Accepted,
            attempts: 0,
            is_attempt_open: false,
            may_have_run: false,
            has_relayed: false,
        }
    }

    /// Creates the lifecycle of a request whose response is resumed after a part of it was
    /// relayed.
    pub fn resumed(idempotency: Idempotency, max_attempts: u32) -> RequestLifecycle {
        let lifecycle = RequestLifecycle::new(idempotency, true, max_attempts);
        RequestLifecycle { may_have_run: true, has_relayed: true, ..lifecycle }
    }

    /// Returns the state of the request.
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Returns whether an attempt may be started now. A request that is not idempotent is attempted
    /// again only if no earlier attempt may have been executed.
    pub fn may_start_attempt(&self) -> bool {
        let has_ended = matches!(self.state, LifecycleState::Ended(_));
        if has_ended || self.is_attempt_open || self.attempts >= self.max_attempts {
            return false;
        }
        if self.has_relayed && !self.is_resumable {
            return false;
        }
        !self.may_have_run || self.idempotency == Idempotency::Idempotent
    }

    /// Starts an attempt, or returns `None` if none may be started.
    pub fn start_attempt(&mut self) -> Option<AttemptNumber> {
        if !self.may_start_attempt() {
            return None;
        }
        self.attempts += 1;
        self.is_attempt_open = true;
        self.state = LifecycleState::Accepted;
        Some(AttemptNumber(self.attempts))
    }

    /// Processes an event of an attempt.
    pub fn on_attempt(&mut self, attempt: AttemptNumber, event: AttemptEvent) -> LifecycleStep {
        let is_current = self.is_attempt_open && attempt.0 == self.attempts;
        if !is_current || matches!(self.state, LifecycleState::Ended(_)) {
            return LifecycleStep::Discard;
        }
        match (event, self.state) {
            (AttemptEvent::Failed { may_have_run }, _) => self.end_attempt(may_have_run),
            (AttemptEvent::BytesSent, LifecycleState::Accepted | LifecycleState::Sent) => {
                self.state = LifecycleState::Sent;
                LifecycleStep::Continue
            }
            (AttemptEvent::ResponseStarted, LifecycleState::Sent) => {
                self.state = LifecycleState::Responding;
                LifecycleStep::Continue
            }
            (AttemptEvent::ChunkRelayed, LifecycleState::Responding) => {
                self.has_relayed = true;
                LifecycleStep::Continue
            }
            (AttemptEvent::ResponseEnded { status }, LifecycleState::Responding) => self
                .end(if status >= MIN_SERVER_ERROR { Outcome::Failed } else { Outcome::Complete }),
            // An event out of order: the state of the connection is unknown.
            _ => self.end_attempt(true),
        }
    }

    /// Processes an event of the request as a whole.
    pub fn on_request(&mut self, event: RequestEvent) -> LifecycleStep {
        if matches!(self.state, LifecycleState::Ended(_)) {
            return LifecycleStep::Discard;
        }
        if event == RequestEvent::GivenUp && self.is_attempt_open {
            return LifecycleStep::Discard;
        }
        if self.is_attempt_open && self.state != LifecycleState::Accepted {
            self.may_have_run = true;
        }
        self.end(self.outcome_without_response())
    }

    /// Returns the outcome of a request without a complete response.
    fn outcome_without_response(&self) -> Outcome {
        if self.has_relayed {
            return Outcome::Failed;
        }
        match self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }

    fn end_attempt(&mut self, may_have_run: bool) -> LifecycleStep {
        self.is_attempt_open = false;
        self.may_have_run |= may_have_run;
        LifecycleStep::AttemptEnded
    }

    fn end(&mut self, outcome: Outcome) -> LifecycleStep {
        self.is_attempt_open = false;
        self.state = LifecycleState::Ended(outcome);
        LifecycleStep::Ended(outcome)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sent(idempotency: Idempotency) -> (RequestLifecycle, AttemptNumber) {
        let mut lifecycle = RequestLifecycle::new(idempotency, false, 2);
        let attempt = lifecycle.start_attempt().unwrap();
        assert_eq!(lifecycle.on_attempt(attempt, AttemptEvent::BytesSent), LifecycleStep::Continue);
        (lifecycle, attempt)
    }

    #[test]
    fn on_attempt_reset_of_non_idempotent_is_unknown() {
        let (mut lifecycle, attempt) = sent(Idempotency::NonIdempotent);
        let step = lifecycle.on_attempt(attempt, AttemptEvent::Failed { may_have_run: true });
        assert_eq!(step, LifecycleStep::AttemptEnded);
        assert!(!lifecycle.may_start_attempt());
        let step = lifecycle.on_request(RequestEvent::GivenUp);
        assert_eq!(step, LifecycleStep::Ended(Outcome::Unknown));
    }

    #[test]
    fn on_attempt_refusal_may_be_retried() {
        let (mut lifecycle, attempt) = sent(Idempotency::NonIdempotent);
        lifecycle.on_attempt(attempt, AttemptEvent::Failed { may_have_run: false });
        assert!(lifecycle.may_start_attempt());
        assert_eq!(
            lifecycle.on_request(RequestEvent::GivenUp),
            LifecycleStep::Ended(Outcome::NotRun)
        );
    }

    #[test]
    fn on_attempt_late_response_is_discarded() {
        let (mut lifecycle, first) = sent(Idempotency::Idempotent);
        lifecycle.on_attempt(first, AttemptEvent::Failed { may_have_run: true });
        lifecycle.start_attempt().unwrap();
        assert_eq!(
            lifecycle.on_attempt(first, AttemptEvent::ResponseStarted),
            LifecycleStep::Discard
        );
    }

    #[test]
    fn on_request_timeout_before_first_byte_is_not_run() {
        let mut lifecycle = RequestLifecycle::new(Idempotency::NonIdempotent, false, 2);
        lifecycle.start_attempt().unwrap();
        assert_eq!(
            lifecycle.on_request(RequestEvent::TimedOut),
            LifecycleStep::Ended(Outcome::NotRun)
        );
    }

    #[test]
    fn on_request_stop_after_relayed_chunk_is_failed() {
        let (mut lifecycle, attempt) = sent(Idempotency::Idempotent);
        lifecycle.on_attempt(attempt, AttemptEvent::ResponseStarted);
        lifecycle.on_attempt(attempt, AttemptEvent::ChunkRelayed);
        assert_eq!(
            lifecycle.on_request(RequestEvent::NodeStopped),
            LifecycleStep::Ended(Outcome::Failed)
        );
    }
}
