//! What may still happen to one request after each of its sends.

use lycheelatch_prelude::UpstreamId;

use crate::table::RouteKind;

/// How one send ended without an answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte was sent.
    NotSent,
    /// The upstream promised that the request did not run.
    NotRun,
    /// The request may have run, or may still.
    Unknown,
    /// The upstream ran it and failed.
    RanAndFailed,
}

/// What follows a send that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The request may go to another upstream.
    MayRetry,
    /// The caller is told that the request did not run.
    RefuseNotRun,
    /// The caller is told nothing about whether it ran.
    FailUnknown,
}

/// The sends of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    kind: RouteKind,
    max_attempts: u32,
    tried: Vec<UpstreamId>,
    may_have_run: bool,
    delivered: u32,
}

impl Attempts {
    /// Starts with no send.
    pub fn new(kind: RouteKind, max_attempts: u32) -> Attempts {
        Attempts { kind, max_attempts, tried: Vec::new(), may_have_run: false, delivered: 0 }
    }

    /// Returns the upstreams that were tried.
    pub fn tried(&self) -> &[UpstreamId] {
        &self.tried
    }

    /// Returns whether the next send is one beyond the first that arrived.
    pub fn is_retry(&self) -> bool {
        self.delivered > 0
    }

    /// Returns whether a send without an answer may be left for another upstream.
    pub fn may_abandon(&self) -> bool {
        self.kind.may_repeat() && self.delivered + 1 < self.max_attempts
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Takes note of a send to an upstream and how it ended.
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

    /// Returns what the caller is told when no further send follows.
    pub fn final_step(&self) -> NextStep {
        if self.may_have_run { NextStep::FailUnknown } else { NextStep::RefuseNotRun }
    }
}
