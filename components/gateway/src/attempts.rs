//! Decides after each attempt to send a request whether it may be retried.

use lycheelatch_prelude::UpstreamId;

use crate::table::RouteKind;

/// Outcome of an attempt that produced no response to relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream stated that it did not run the request.
    NotRun,
    /// The request may have run or may still be running.
    Unknown,
    /// The upstream ran the request and failed.
    RanAndFailed,
}

/// What to do after an attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The request may be sent to another upstream.
    MayRetry,
    /// Reject the request and tell the caller that it did not run.
    RefuseNotRun,
    /// Fail the request; it is unknown whether it ran.
    FailUnknown,
}

/// The attempts made for one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    kind: RouteKind,
    max_attempts: u32,
    tried: Vec<UpstreamId>,
    may_have_run: bool,
    delivered: u32,
}

impl Attempts {
    /// Creates the record of a request that has not been sent yet.
    pub fn new(kind: RouteKind, max_attempts: u32) -> Attempts {
        Attempts { kind, max_attempts, tried: Vec::new(), may_have_run: false, delivered: 0 }
    }

    /// Returns the upstreams tried so far, in order.
    pub fn tried(&self) -> &[UpstreamId] {
        &self.tried
    }

    /// Returns whether the next attempt counts as a retry: an earlier one reached an upstream.
    pub fn is_retry(&self) -> bool {
        self.delivered > 0
    }

    /// Returns whether an attempt that gets no response may be abandoned for another upstream.
    pub fn may_abandon(&self) -> bool {
        self.kind.may_repeat() && self.delivered + 1 < self.max_attempts
    }

    /// Returns whether any attempt may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records the outcome of an attempt and returns what may follow.
    pub fn record(&mut self, upstream: UpstreamId, outcome: SendOutcome) -> NextStep {
        self.tried.push(upstream);
        if outcome != SendOutcome::NotSent {
            self.delivered += 1;
        }
        if matches!(outcome, SendOutcome::Unknown | SendOutcome::RanAndFailed) {
            self.may_have_run = true;
        }
        let may_run_again = !self.may_have_run || self.kind.may_repeat();
        if may_run_again && self.delivered < self.max_attempts.max(1) {
            return NextStep::MayRetry;
        }
        self.final_step()
    }

    /// Returns how the request ends if there is no further attempt.
    pub fn final_step(&self) -> NextStep {
        if self.may_have_run { NextStep::FailUnknown } else { NextStep::RefuseNotRun }
    }
}
