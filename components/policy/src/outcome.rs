//! What becomes of a request: the one place that decides on its outcome.
//!
//! A request is accepted, sent to an upstream in one or more attempts,
//! answered, and ends in exactly one [`Outcome`]. Events of attempts carry
//! their number; those of an attempt that is over are discarded, so that a
//! late answer never reaches the caller.

use lycheelatch_prelude::{Idempotency, Outcome};

/// Lowest HTTP status of an answer that says that the request failed.
const SERVER_ERROR: u16 = 500;

/// Number of an attempt within one request, from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// Where a request is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LifecycleState {
    /// Accepted; no byte of the current attempt has gone out.
    Accepted,
    /// A byte of the current attempt may have reached an upstream.
    Sent,
    /// The current attempt's answer has begun.
    Responding,
    /// Over.
    Ended(Outcome),
}

/// What happens to one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptEvent {
    /// A byte is about to go out.
    BytesSent,
    /// The head of the answer came.
    ResponseStarted,
    /// A part of the answer is about to go to the caller.
    ChunkRelayed,
    /// The answer is whole and has gone to the caller.
    ResponseEnded {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The attempt failed: refused, reset, silent, out of order or reclaimed.
    Failed {
        /// Whether the upstream may have run it; false only if no byte can
        /// have reached it or it said itself that it did not.
        may_have_run: bool,
    },
}

/// What happens to a request apart from its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestEvent {
    /// The deadline passed.
    TimedOut,
    /// The caller left.
    Cancelled,
    /// The node stops and could not hand the request over.
    NodeStopped,
    /// No attempt will follow the failed one.
    GivenUp,
}

/// What to do after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LifecycleStep {
    /// Go on.
    Continue,
    /// The attempt is over: start another if [`RequestLifecycle::may_start_attempt`], else give up.
    AttemptEnded,
    /// The request is over; nothing more goes to the caller.
    Ended(Outcome),
    /// The event belongs to an attempt or a request that is over; drop it.
    Discard,
}

/// The life of one request.
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
    /// Creates the life of a request that was accepted just now.
    ///
    /// `is_resumable`: another attempt can go on exactly where the relayed
    /// part of the answer ended. `max_attempts` counts the first one, too.
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

    /// Creates the life of a request whose answer is taken up again after a
    /// part of it was relayed.
    pub fn resumed(idempotency: Idempotency, max_attempts: u32) -> RequestLifecycle {
        let fresh = RequestLifecycle::new(idempotency, true, max_attempts);
        RequestLifecycle { may_have_run: true, has_relayed: true, ..fresh }
    }

    /// Returns where the request is.
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Returns whether an attempt may be started now.
    pub fn may_start_attempt(&self) -> bool {
        let is_over = matches!(self.state, LifecycleState::Ended(_));
        if is_over || self.is_attempt_open || self.attempts >= self.max_attempts {
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

    /// Takes an event of an attempt.
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
            (AttemptEvent::ResponseEnded { status }, LifecycleState::Responding) => {
                self.end(if status >= SERVER_ERROR { Outcome::Failed } else { Outcome::Complete })
            }
            // Out of order: the connection can't be trusted.
            _ => self.end_attempt(true),
        }
    }

    /// Takes an event of the request as a whole.
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
        self.end(self.outcome_without_answer())
    }

    /// Returns the outcome of a request that gets no whole answer.
    fn outcome_without_answer(&self) -> Outcome {
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
        let mut life = RequestLifecycle::new(idempotency, false, 2);
        let attempt = life.start_attempt().unwrap();
        assert_eq!(life.on_attempt(attempt, AttemptEvent::BytesSent), LifecycleStep::Continue);
        (life, attempt)
    }

    #[test]
    fn on_attempt_reset_of_non_idempotent_is_unknown() {
        let (mut life, attempt) = sent(Idempotency::NonIdempotent);
        let step = life.on_attempt(attempt, AttemptEvent::Failed { may_have_run: true });
        assert_eq!(step, LifecycleStep::AttemptEnded);
        assert!(!life.may_start_attempt());
        let step = life.on_request(RequestEvent::GivenUp);
        assert_eq!(step, LifecycleStep::Ended(Outcome::Unknown));
    }

    #[test]
    fn on_attempt_refusal_may_be_retried() {
        let (mut life, attempt) = sent(Idempotency::NonIdempotent);
        life.on_attempt(attempt, AttemptEvent::Failed { may_have_run: false });
        assert!(life.may_start_attempt());
        assert_eq!(life.on_request(RequestEvent::GivenUp), LifecycleStep::Ended(Outcome::NotRun));
    }

    #[test]
    fn on_attempt_late_answer_is_discarded() {
        let (mut life, first) = sent(Idempotency::Idempotent);
        life.on_attempt(first, AttemptEvent::Failed { may_have_run: true });
        life.start_attempt().unwrap();
        assert_eq!(life.on_attempt(first, AttemptEvent::ResponseStarted), LifecycleStep::Discard);
    }

    #[test]
    fn on_request_timeout_before_first_byte_is_not_run() {
        let mut life = RequestLifecycle::new(Idempotency::NonIdempotent, false, 2);
        life.start_attempt().unwrap();
        assert_eq!(life.on_request(RequestEvent::TimedOut), LifecycleStep::Ended(Outcome::NotRun));
    }

    #[test]
    fn on_request_stop_after_a_relayed_part_is_failed() {
        let (mut life, attempt) = sent(Idempotency::Idempotent);
        life.on_attempt(attempt, AttemptEvent::ResponseStarted);
        life.on_attempt(attempt, AttemptEvent::ChunkRelayed);
        assert_eq!(
            life.on_request(RequestEvent::NodeStopped),
            LifecycleStep::Ended(Outcome::Failed)
        );
    }
}
