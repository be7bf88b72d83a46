//! What may still happen to one request after each of its sends.

use lycheelatch_prelude::UpstreamId;

use crate::table::RouteKind;

/// How one send ended without an answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
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
pub enum Next {
    /// The request may go to another upstream.
    MayRepeat,
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
    pub fn may_leave_silent(&self) -> bool {
        self.kind.may_repeat() && self.delivered + 1 < self.max_attempts
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Takes note of a send to an upstream and how it ended.
    pub fn ended(&mut self, upstream: UpstreamId, end: SendEnd) -> Next {
        self.tried.push(upstream);
        if end != SendEnd::NotSent {
            self.delivered += 1;
        }
        if matches!(end, SendEnd::Unknown | SendEnd::RanAndFailed) {
            self.may_have_run = true;
        }
        let may_run_again = !self.may_have_run || self.kind.may_repeat();
        if may_run_again && self.delivered < self.max_attempts.max(1) {
            return Next::MayRepeat;
        }
        self.give_up()
    }

    /// Returns what the caller is told when no further send follows.
    pub fn give_up(&self) -> Next {
        if self.may_have_run { Next::FailUnknown } else { Next::RefuseNotRun }
    }
}
