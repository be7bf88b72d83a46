//! Crashes of an upstream on requests whose prompt holds a part.

use std::{cell::RefCell, time::Duration};

use actix_rt::task::JoinHandle;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{
    ReceivedRequest,
    response_text::{SIGNATURE, echo_event, event_stream_head},
};

/// Header with the parts of a prompt.
const PARTS_HEADER: &str = "lycheelatch-prompt-prefix";

/// Requests on which an upstream crashes, and how it does.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CrashRule {
    /// Part of the prompt, at any place but the last.
    pub part: u64,
    /// What has been sent by then.
    pub point: CrashPoint,
    /// How the upstream ends.
    pub end: CrashEnd,
    /// Time until the upstream listens again, if it ends.
    pub down: Duration,
}

impl CrashRule {
    /// Returns a rule by which the upstream closes everything after the head of the response.
    pub fn after_head(part: u64, down: Duration) -> CrashRule {
        CrashRule { part, point: CrashPoint::Head, end: CrashEnd::Close, down }
    }
}

/// How much of the response has been sent when an upstream crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashPoint {
    /// Nothing.
    Nothing,
    /// An interim response.
    Interim,
    /// A part of the head.
    PartOfHead,
    /// The head.
    Head,
    /// The head and a part of the first event.
    PartOfEvent,
    /// So many events.
    Events(u64),
}

impl CrashPoint {
    /// Returns the text that is sent before the crash.
    pub(super) fn text(self, id: &str) -> String {
        let head = event_stream_head(id, SIGNATURE);
        match self {
            CrashPoint::Nothing => String::new(),
            CrashPoint::Interim => "HTTP/1.1 102 Processing\r\n\r\n".to_owned(),
            CrashPoint::PartOfHead => head[..head.len() / 2].to_owned(),
            CrashPoint::Head => head,
            CrashPoint::PartOfEvent => format!("{head}40\r\nid: 1\nda"),
            CrashPoint::Events(count) => {
                let events = (1..=count).map(|number| {
                    let event = echo_event(id, number);
                    format!("{:x}\r\n{event}\r\n", event.len())
                });
                head + &events.collect::<String>()
            }
        }
    }
}

/// How an upstream ends when it crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashEnd {
    /// It closes its listener and all connections.
    Close,
    /// Its process ends by this signal; only for an upstream in a process of its own.
    Signal(CrashSignal),
}

/// Signal that ends a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashSignal {
    /// `SIGABRT`.
    Abort,
    /// `SIGKILL`.
    Kill,
    /// `SIGSEGV`.
    SegmentationFault,
}

/// A crash of an upstream.
#[derive(Debug, Clone)]
pub struct Crash {
    /// Identifier of the request that caused it.
    pub request: String,
    /// When it happened.
    pub at: Instant,
}

/// Returns whether a prompt holds `part` at any place but the last.
pub(super) fn holds_shared_part(req: &ReceivedRequest, part: u64) -> bool {
    let Some(parts) = req.header(PARTS_HEADER) else { return false };
    let Some((shared, _)) = parts.rsplit_once(',') else { return false };
    let mut ids = shared.split(',').filter_map(|part| part.split_once(':'));
    ids.any(|(id, _)| u64::from_str_radix(id, 16) == Ok(part))
}

/// Tasks that end together.
#[derive(Default)]
pub(super) struct TaskSet {
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl TaskSet {
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(actix_rt::spawn(task));
    }

    pub(super) fn abort_all(&self) {
        self.tasks.take().iter().for_each(JoinHandle::abort);
    }
}
