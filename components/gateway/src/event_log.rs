//! The event log: one JSON line for each decision or event of the node, with rate limits.

use std::{
    cell::Cell,
    sync::{Arc, LazyLock},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use prometheus::{IntCounterVec, Opts};
use serde::Serialize;
use tokio::time::Instant;

use crate::{decision::Decision, node_event::NodeEvent};

/// Maximum lines per second for routine events, such as requests that succeeded.
const MAX_ROUTINE_PER_SECOND: u32 = 20;

/// Maximum lines per second for all other decisions.
const MAX_NOTABLE_PER_SECOND: u32 = 200;

/// Maximum lines per second for events of the node itself.
const MAX_NODE_EVENTS_PER_SECOND: u32 = 100;

/// Counts all events by kind, including those that exceeded the rate limit and were not logged.
pub(crate) static EVENTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let opts = Opts::new(
        "lycheelatch_gateway_events_total",
        "Decisions and changes of what the process believes, by kind and whether a line was due",
    );
    IntCounterVec::new(opts, &["event", "line"]).expect("a valid name and valid labels")
});

fn count(kind: &'static str, is_logged: bool) {
    let line = if is_logged { "due" } else { "beyond_rate" };
    EVENTS.with_label_values(&[kind, line]).inc();
}

/// Logs an event of the node, subject to the rate limit.
pub(crate) fn log_event(event: &NodeEvent<'_>) {
    let is_within_limit = NODE_EVENT_RATE.with(|rate| rate.try_take(MAX_NODE_EVENTS_PER_SECOND));
    count(event.into(), is_within_limit);
    if is_within_limit {
        write_line(&NodeEventLine { time_ms: unix_ms(), event });
    }
}

fn write_line(line: &impl Serialize) {
    match serde_json::to_string(line) {
        Ok(line) => log::info!(target: DECISION_LOG_TARGET, "{line}"),
        Err(err) => log::error!("decision: failed to encode a log line: {err}"),
    }
}

thread_local! {
    static NODE_EVENT_RATE: LineRate = LineRate::default();
}

#[derive(Serialize)]
struct NodeEventLine<'a> {
    time_ms: u64,
    #[serde(flatten)]
    event: &'a NodeEvent<'a>,
}

/// Limits the number of lines per second.
#[derive(Debug, Default)]
struct LineRate {
    second: Cell<Option<Instant>>,
    count: Cell<u32>,
}

impl LineRate {
    /// Counts a line and returns whether it is within the limit.
    fn try_take(&self, max: u32) -> bool {
        let now = Instant::now();
        let is_new = self.second.get().is_none_or(|at| now - at >= Duration::from_secs(1));
        if is_new {
            self.second.set(Some(now));
            self.count.set(0);
        }
        self.count.set(self.count.get() + 1);
        self.count.get() <= max
    }
}

/// Logs decisions about requests, subject to rate limits.
pub(crate) struct DecisionLog {
    node: Arc<str>,
    routine: LineRate,
    notable: LineRate,
}

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    decision: &'a Decision<'a>,
}

impl DecisionLog {
    pub(crate) fn new(node: Arc<str>) -> DecisionLog {
        DecisionLog { node, routine: LineRate::default(), notable: LineRate::default() }
    }

    pub(crate) fn write(&self, decision: &Decision<'_>) {
        let is_within_limit = match decision.is_routine() {
            true => self.routine.try_take(MAX_ROUTINE_PER_SECOND),
            false => self.notable.try_take(MAX_NOTABLE_PER_SECOND),
        };
        count(decision.into(), is_within_limit);
        if is_within_limit {
            write_line(&Line { time_ms: unix_ms(), node: &self.node, decision });
        }
    }
}

/// Log target of decision lines. Their messages are JSON objects and must be written verbatim.
pub const DECISION_LOG_TARGET: &str = "decision";

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the system time, in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}
