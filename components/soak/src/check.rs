//! Checks of the service guarantees against the records of callers and upstreams.

use std::{collections::HashMap, fmt, time::Duration};

use lycheelatch_fakes::entry::{ECHO_EVENTS, ExecutedRequest, echo_event};
use tokio::time::Instant;

use crate::load::{CallRecord, RequestKind};

/// Time after the store entry of an upstream became `draining` within which it may still receive
/// requests.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_millis(2500);

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation {
    pub(crate) guarantee: &'static str,
    pub(crate) detail: String,
}

/// Results of a run.
pub(crate) struct Report {
    pub(crate) seed: u64,
    pub(crate) requests: usize,
    pub(crate) served: usize,
    pub(crate) faults: Vec<String>,
    /// Further results, a line each.
    pub(crate) notes: Vec<String>,
    pub(crate) violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { seed, requests, served, faults, notes, violations } = self;
        write!(f, "soak: seed {seed}: {served} of {requests} served, {} faults", faults.len())?;
        if violations.is_empty() {
            write!(f, ", every promise kept")?;
        }
        for note in notes {
            write!(f, "\n  {note}")?;
        }
        if violations.is_empty() {
            return Ok(());
        }
        for fault in faults {
            write!(f, "\n  {fault}")?;
        }
        for Violation { guarantee, detail } in violations {
            write!(f, "\nbroken: {guarantee}: {detail}")?;
        }
        Ok(())
    }
}

/// A drain during which neither the store nor any node was disturbed.
pub(crate) struct Drain {
    pub(crate) upstream: usize,
    /// When the `draining` state was written to the store.
    pub(crate) written: Instant,
}

/// Checks the response and the number of executions of each request.
pub(crate) fn check_requests(calls: &[CallRecord], executed: &[ExecutedRequest]) -> Vec<Violation> {
    let mut executions: HashMap<&str, usize> = HashMap::new();
    for req in executed {
        *executions.entry(&req.id).or_default() += 1;
    }
    let mut violations = Vec::new();
    for call in calls {
        let executions = executions.get(call.id.as_str()).copied().unwrap_or(0);
        violations.extend(check_request(call, executions));
    }
    violations
}

fn check_request(call: &CallRecord, executions: usize) -> Option<Violation> {
    let violation = |guarantee| {
        Some(Violation { guarantee, detail: format!("{call:?}, {executions} executions") })
    };
    if !call.kind.may_repeat() && executions > 1 {
        return violation("at most one execution");
    }
    let response = call.response.as_ref()?;
    let is_refusal = matches!(response.status, 408 | 421 | 429 | 503);
    if is_refusal && !call.kind.may_repeat() && executions > 0 {
        return violation("a request refused as not executed was not executed");
    }
    if matches!(response.status, 401 | 403 | 404) {
        return violation("a valid request is not denied");
    }
    if response.status == 200 && response.is_complete && response.text() != expected_text(call) {
        return violation("a complete response has the expected text");
    }
    None
}

fn expected_text(call: &CallRecord) -> String {
    if !call.kind.is_stream() {
        return call.id.clone();
    }
    (1..=ECHO_EVENTS).map(|number| echo_event(&call.id, number)).collect()
}

/// Checks that no draining upstream received a request after the grace period.
pub(crate) fn check_drains(drains: &[Drain], executed: &[Vec<ExecutedRequest>]) -> Vec<Violation> {
    let violation = |drain: &Drain| {
        let deadline = drain.written + DRAIN_GRACE;
        let late = executed[drain.upstream].iter().find(|req| req.at > deadline);
        late.map(|req| Violation {
            guarantee: "a draining upstream gets no new requests",
            detail: format!("{} was received {:?} after the write", req.id, req.at - drain.written),
        })
    };
    drains.iter().filter_map(violation).collect()
}

/// Checks that at least three quarters of the requests sent after `since` are served.
pub(crate) fn check_recovery(calls: &[CallRecord], since: Instant) -> Vec<Violation> {
    let late: Vec<_> = calls.iter().filter(|call| call.sent > since).collect();
    let served = late.iter().filter(|call| is_served(call)).count();
    if !late.is_empty() && served * 4 >= late.len() * 3 {
        return Vec::new();
    }
    let detail = format!("{served} of {} served after the faults", late.len());
    vec![Violation { guarantee: "service recovers after the faults", detail }]
}

/// Returns whether a call got a complete response with status 200.
pub(crate) fn is_served(call: &CallRecord) -> bool {
    call.response.as_ref().is_some_and(|response| response.status == 200 && response.is_complete)
}

/// Checks that at least one request of each kind was served.
pub(crate) fn check_kinds(calls: &[CallRecord]) -> Vec<Violation> {
    let unserved = [RequestKind::Safe, RequestKind::Once, RequestKind::Stream, RequestKind::Resume]
        .into_iter()
        .filter(|kind| !calls.iter().any(|call| call.kind == *kind && is_served(call)));
    let violation = |kind| Violation {
        guarantee: "every kind of request is served",
        detail: format!("{kind:?}"),
    };
    unserved.map(violation).collect()
}
