//! Checks of the calls that only the leader makes, as the platform receives them.

use std::{collections::HashMap, time::Duration};

use lycheelatch_fakes::entry::DutyCall;
use tokio::time::Instant;

use crate::{
    check::Violation,
    nodes::{LEADER_LEASE, Node},
};

/// Time after the return of a node, from a pause or a cut, in which its calls may be stale.
const RETURN_SLACK: Duration = Duration::from_millis(300);

/// What a call is about; fencing numbers grow for each subject by itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Subject {
    Usage,
    /// Service and availability zone.
    Scaling(String, String),
}

impl From<&DutyCall> for Subject {
    fn from(call: &DutyCall) -> Subject {
        let field = |name: &str| call.body[name].as_str().unwrap_or_default().to_owned();
        match call.path.as_str() {
            "/usage" => Subject::Usage,
            _ => Subject::Scaling(field("service"), field("zone")),
        }
    }
}

/// Checks the fencing numbers, the order of the leaders and the usage reports.
pub(crate) fn check_leaders(calls: &[DutyCall], nodes: &[Node]) -> Vec<Violation> {
    let returns: HashMap<&str, Vec<Instant>> =
        nodes.iter().map(|node| (node.name.as_str(), node.returned_at())).collect();
    let is_excused = |call: &&DutyCall| {
        let times = returns.get(call.holder.as_str());
        times.is_some_and(|times| times.iter().any(|at| is_right_after(call.at, *at)))
    };
    let mut by_subject: HashMap<Subject, Vec<&DutyCall>> = HashMap::new();
    for call in calls.iter().filter(|call| !is_excused(call)) {
        by_subject.entry(Subject::from(call)).or_default().push(call);
    }
    let mut violations: Vec<_> =
        by_subject.values().filter_map(|calls| check_fences(calls)).collect();
    violations.extend(by_subject.values().filter_map(|calls| check_returns(calls)));
    violations.extend(check_usage(calls));
    violations
}

fn is_right_after(at: Instant, event: Instant) -> bool {
    at >= event && at - event <= RETURN_SLACK
}

/// Checks that no fencing number is lower than one before.
fn check_fences(calls: &[&DutyCall]) -> Option<Violation> {
    let mut highest: Option<&DutyCall> = None;
    for call in calls {
        if let Some(before) = highest.filter(|before| before.fence > call.fence) {
            return Some(violation("no order of a former leader", before, call));
        }
        highest = Some(call);
    }
    None
}

/// Checks that no leader acts, after another one did, within a lease of its own last call.
fn check_returns(calls: &[&DutyCall]) -> Option<Violation> {
    let terms: Vec<_> = calls.chunk_by(|a, b| a.holder == b.holder).collect();
    terms.windows(3).find_map(|terms| {
        let (last, next) = (terms[0].last()?, terms[2].first()?);
        let is_early = last.holder == next.holder && next.at - last.at < LEADER_LEASE;
        is_early.then(|| violation("no leader returns within a lease", last, next))
    })
}

/// Checks that no window is reported with two different counts.
fn check_usage(calls: &[DutyCall]) -> Option<Violation> {
    let mut reports: HashMap<u64, &DutyCall> = HashMap::new();
    for call in calls.iter().filter(|call| call.path == "/usage") {
        let first = *reports.entry(call.body["window"].as_u64()?).or_insert(call);
        if first.body["counts"] != call.body["counts"] {
            return Some(violation("one count for a usage window", first, call));
        }
    }
    None
}

fn violation(guarantee: &'static str, before: &DutyCall, call: &DutyCall) -> Violation {
    let detail = format!("{:?} after the first: {before:?}, {call:?}", call.at - before.at);
    Violation { guarantee, detail }
}

/// Returns the number of calls and of leaders.
pub(crate) fn leader_summary(calls: &[DutyCall]) -> String {
    let terms = calls.chunk_by(|a, b| a.holder == b.holder).count();
    format!("{} calls of {terms} leaders in turn", calls.len())
}
