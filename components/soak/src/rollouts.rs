//! Roll-outs of a bad and of a good version, and checks of what came of them.

use std::{cell::RefCell, time::Duration};

use lycheelatch_fakes::entry::{
    Behavior, ExecutedRequest, FakeStore, ScriptedUpstream, upstream_entry,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::check::Violation;

/// Share of the requests that a bad version may get; as in the nodes' settings.
pub(crate) const EXPOSURE: f64 = 0.1;

/// Requests that it may get besides; as in the nodes' settings.
pub(crate) const EXTRA: u32 = 50;

/// Time from an order until its deadline.
const DURATION: Duration = Duration::from_secs(14);

/// Time between two looks at the status.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of upstreams of each new version.
const UPSTREAMS: usize = 3;

/// Requests for which the bad version's upstreams have a script.
const SCRIPTED: usize = 2000;

/// Key of the status.
const STATUS_KEY: &str = "status/rollout/svc";

/// A new version of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Version {
    /// Two responses in five are failures.
    Bad,
    Good,
}

impl Version {
    fn name(self) -> &'static str {
        match self {
            Version::Bad => "v2",
            Version::Good => "v3",
        }
    }

    /// Returns the state in which the roll-out must end.
    fn end(self) -> &'static str {
        match self {
            Version::Bad => "rolled_back",
            Version::Good => "completed",
        }
    }
}

/// One roll-out and its record.
struct Played {
    version: Version,
    upstreams: Vec<ScriptedUpstream>,
    ordered: Instant,
    /// States in the order in which they were seen.
    states: Vec<(String, Duration)>,
}

/// Record of the roll-outs of a run.
#[derive(Default)]
pub(crate) struct RolloutLog(RefCell<Vec<Played>>);

impl RolloutLog {
    /// Rolls out a bad version and then a good one; watches the status until the task is dropped.
    pub(crate) async fn play(&self, store: &FakeStore) {
        for version in [Version::Bad, Version::Good] {
            let upstreams = start_upstreams(store, version).await;
            let played = Played { version, upstreams, ordered: Instant::now(), states: Vec::new() };
            self.0.borrow_mut().push(played);
            let order = json!({"service": "svc", "to": version.name(),
                "duration_s": DURATION.as_secs()});
            store.put("op/rollout/svc", &order);
            let is_last = version == Version::Good;
            while is_last || !self.has_ended() {
                sleep(POLL_INTERVAL).await;
                if let Some(status) = store.value(STATUS_KEY) {
                    self.record(&status);
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn has_ended(&self) -> bool {
        let played = self.0.borrow();
        played.last().is_some_and(|last| last.states.iter().any(|(state, _)| state != "running"))
    }

    fn record(&self, status: &Value) {
        let mut played = self.0.borrow_mut();
        let to = status["to"].as_str().unwrap_or_default();
        let Some(current) = played.iter_mut().find(|played| played.version.name() == to) else {
            return;
        };
        let state = status["state"].as_str().unwrap_or_default();
        if current.states.last().is_none_or(|(last, _)| last != state) {
            current.states.push((state.to_owned(), current.ordered.elapsed()));
        }
    }

    /// Returns the requests that the new versions' upstreams executed.
    pub(crate) fn executed(&self) -> Vec<ExecutedRequest> {
        let played = self.0.borrow();
        let upstreams = played.iter().flat_map(|played| &played.upstreams);
        upstreams.flat_map(ScriptedUpstream::executed).collect()
    }

    /// Checks the ends of the roll-outs and what the bad version got.
    pub(crate) fn check(&self, all: &[ExecutedRequest]) -> Vec<Violation> {
        let played = self.0.borrow();
        let mut violations: Vec<_> = played.iter().filter_map(check_end).collect();
        violations.extend(played.iter().filter_map(|played| check_exposure(played, all)));
        violations
    }

    /// Returns the states of each roll-out with their times, and the new version's requests.
    pub(crate) fn summary(&self) -> String {
        let played = self.0.borrow();
        let lines = played.iter().map(|Played { version, upstreams, states, .. }| {
            let requests: usize = upstreams.iter().map(|up| up.executed().len()).sum();
            format!("roll-out of a {version:?} version: {states:?}, {requests} requests")
        });
        lines.collect::<Vec<_>>().join("\n  ")
    }
}

async fn start_upstreams(store: &FakeStore, version: Version) -> Vec<ScriptedUpstream> {
    let mut upstreams = Vec::new();
    for at in 0..UPSTREAMS {
        let upstream = ScriptedUpstream::start([]).await;
        upstream.set_default(Behavior::Echo);
        if version == Version::Bad {
            let is_failure = |number| number % 5 < 2;
            for number in 0..SCRIPTED {
                let failure = Behavior::Respond(500, "failed".to_owned());
                upstream.push(if is_failure(number) { failure } else { Behavior::Echo });
            }
        }
        let mut entry = upstream_entry(upstream.address(), "ready");
        entry["version"] = json!(version.name());
        store.put(&format!("servers/{}-{at}", version.name()), &entry);
        upstreams.push(upstream);
    }
    upstreams
}

/// Checks that a roll-out ended as its version deserves, and stayed there.
fn check_end(played: &Played) -> Option<Violation> {
    let states: Vec<_> = played.states.iter().map(|(state, _)| state.as_str()).collect();
    let ends = states.iter().filter(|state| **state != "running").count();
    let is_right = states.last() == Some(&played.version.end()) && ends == 1;
    (!is_right).then(|| Violation {
        guarantee: "a roll-out ends as its version deserves, once",
        detail: format!("{:?}: {:?}", played.version, played.states),
    })
}

/// Checks how many requests the bad version got until its deadline.
fn check_exposure(played: &Played, all: &[ExecutedRequest]) -> Option<Violation> {
    let in_time =
        |req: &&ExecutedRequest| req.at >= played.ordered && req.at < played.ordered + DURATION;
    let got = played.upstreams.iter().flat_map(ScriptedUpstream::executed);
    let got = got.filter(|req| in_time(&req)).count();
    let bound = EXPOSURE * all.iter().filter(in_time).count() as f64 + f64::from(EXTRA);
    let is_exceeded = played.version == Version::Bad && got as f64 > bound;
    is_exceeded.then(|| Violation {
        guarantee: "a bad version gets few requests",
        detail: format!("{got} requests, {bound:.0} are permitted"),
    })
}
