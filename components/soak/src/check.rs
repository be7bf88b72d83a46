//! The promises, checked on what callers and runners saw.

use std::{collections::HashMap, fmt, time::Duration};

use lycheelatch_fakes::entry::{ECHO_EVENTS, ExecutedRequest, echo_event};
use tokio::time::Instant;

use crate::load::{Kind, Told};

/// Longest time after a runner's leaving was written in which work may still reach it.
pub(crate) const DRAIN: Duration = Duration::from_millis(2500);

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Broken {
    pub(crate) promise: &'static str,
    pub(crate) detail: String,
}

/// What a run showed.
pub(crate) struct Report {
    pub(crate) seed: u64,
    pub(crate) requests: usize,
    pub(crate) served: usize,
    pub(crate) faults: Vec<String>,
    pub(crate) broken: Vec<Broken>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { seed, requests, served, faults, broken } = self;
        write!(f, "soak: seed {seed}: {served} of {requests} served, {} faults", faults.len())?;
        if broken.is_empty() {
            return write!(f, ", every promise kept");
        }
        for fault in faults {
            write!(f, "\n  {fault}")?;
        }
        for Broken { promise, detail } in broken {
            write!(f, "\nbroken: {promise}: {detail}")?;
        }
        Ok(())
    }
}

/// When a runner's leaving was written, while nothing was disturbed.
pub(crate) struct Left {
    pub(crate) runner: usize,
    pub(crate) at: Instant,
}

/// Checks each request on its own.
pub(crate) fn check_requests(told: &[Told], ran: &[ExecutedRequest]) -> Vec<Broken> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for ran in ran {
        *runs.entry(&ran.id).or_default() += 1;
    }
    let mut broken = Vec::new();
    for told in told {
        let runs = runs.get(told.id.as_str()).copied().unwrap_or(0);
        broken.extend(check_request(told, runs));
    }
    broken
}

fn check_request(told: &Told, runs: usize) -> Option<Broken> {
    let broken = |promise| Some(Broken { promise, detail: format!("{told:?}, {runs} runs") });
    if !told.kind.may_repeat() && runs > 1 {
        return broken("at most one run");
    }
    let answer = told.answer.as_ref()?;
    let is_refusal = matches!(answer.status, 408 | 421 | 429 | 503);
    if is_refusal && !told.kind.may_repeat() && runs > 0 {
        return broken("told not run, and it ran");
    }
    if matches!(answer.status, 401 | 403 | 404) {
        return broken("a proper request was denied");
    }
    if answer.status == 200 && answer.is_complete && answer.text() != expected(told) {
        return broken("the whole answer to this request");
    }
    None
}

fn expected(told: &Told) -> String {
    if !told.kind.is_stream() {
        return told.id.clone();
    }
    (1..=ECHO_EVENTS).map(|number| echo_event(&told.id, number)).collect()
}

/// Checks that nothing reached a runner long after its leaving was written.
pub(crate) fn check_drains(left: &[Left], ran: &[Vec<ExecutedRequest>]) -> Vec<Broken> {
    let late = |left: &Left| {
        let late = ran[left.runner].iter().find(|ran| ran.at > left.at + DRAIN);
        late.map(|ran| Broken {
            promise: "a leaving runner gets no new work",
            detail: format!("{} came {:?} after", ran.id, ran.at - left.at),
        })
    };
    left.iter().filter_map(late).collect()
}

/// Checks that most requests are served once the faults are over.
pub(crate) fn check_recovery(told: &[Told], since: Instant) -> Vec<Broken> {
    let late: Vec<_> = told.iter().filter(|told| told.sent > since).collect();
    let served = late.iter().filter(|told| is_served(told)).count();
    if !late.is_empty() && served * 4 >= late.len() * 3 {
        return Vec::new();
    }
    let detail = format!("{served} of {} after the faults", late.len());
    vec![Broken { promise: "service comes back", detail }]
}

/// Returns whether a request got a whole answer of an upstream.
pub(crate) fn is_served(told: &Told) -> bool {
    told.answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.is_complete)
}

/// Returns whether a kind of request was served at all.
pub(crate) fn check_kinds(told: &[Told]) -> Vec<Broken> {
    let starved = [Kind::Safe, Kind::Once, Kind::Stream, Kind::Resume]
        .into_iter()
        .filter(|kind| !told.iter().any(|told| told.kind == *kind && is_served(told)));
    let broken = |kind| Broken { promise: "every kind is served", detail: format!("{kind:?}") };
    starved.map(broken).collect()
}
