//! The answers that are being relayed now.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use lycheelatch_prelude::{RequestId, ServiceName, UpstreamId, WorkspaceName};
use tokio::sync::mpsc;

/// What a running answer is told to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamCommand {
    /// Go on at another upstream, which recomputes what is missing.
    Resume {
        /// The upstream; none: whichever placement chooses.
        to: Option<UpstreamId>,
    },
    /// Move the KV cache to another upstream and go on there.
    Move {
        /// The upstream.
        to: UpstreamId,
    },
    /// End here: the caller takes the answer up again at another node.
    HandOver,
}

/// What is known of one running answer.
#[derive(Debug, Clone)]
pub struct RunningStream {
    /// The request.
    pub request: RequestId,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Its service.
    pub service: ServiceName,
    /// The upstream that it runs at, once one has taken it.
    pub upstream: Option<UpstreamId>,
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u64,
    /// Tokens that were relayed.
    pub generated: u64,
    /// Most tokens that the request asks for.
    pub max_tokens: Option<u64>,
}

struct Entry {
    about: RunningStream,
    generated: Arc<AtomicU64>,
    tx: mpsc::UnboundedSender<StreamCommand>,
}

/// The answers that this node relays now.
#[derive(Default)]
pub struct RunningStreams(Mutex<HashMap<RequestId, Entry>>);

impl RunningStreams {
    /// Returns the running answers.
    pub fn list(&self) -> Vec<RunningStream> {
        let with_progress = |entry: &Entry| RunningStream {
            generated: entry.generated.load(Ordering::Relaxed),
            ..entry.about.clone()
        };
        self.0.lock().unwrap().values().map(with_progress).collect()
    }

    /// Returns how many answers run.
    pub fn count(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    /// Returns whether an answer runs here.
    pub fn is_running(&self, request: &RequestId) -> bool {
        self.0.lock().unwrap().contains_key(request)
    }

    /// Tells a running answer what to do; returns whether it runs here.
    pub fn send_command(&self, request: &RequestId, command: StreamCommand) -> bool {
        let running = self.0.lock().unwrap();
        running.get(request).is_some_and(|entry| entry.tx.send(command).is_ok())
    }

    /// Adds an answer that starts to run. An earlier one of the same request is ended.
    pub(crate) fn start(self: &Arc<Self>, about: RunningStream) -> RunningGuard {
        let (tx, rx) = mpsc::unbounded_channel();
        let generated = Arc::new(AtomicU64::new(about.generated));
        let request = about.request.clone();
        let entry = Entry { about, generated: generated.clone(), tx: tx.clone() };
        let earlier = self.0.lock().unwrap().insert(request.clone(), entry);
        if let Some(earlier) = earlier {
            let _ended_already = earlier.tx.send(StreamCommand::HandOver);
        }
        RunningGuard { streams: self.clone(), request, generated, tx, rx }
    }
}

/// Keeps an answer listed while it runs.
pub(crate) struct RunningGuard {
    streams: Arc<RunningStreams>,
    request: RequestId,
    generated: Arc<AtomicU64>,
    tx: mpsc::UnboundedSender<StreamCommand>,
    pub(crate) rx: mpsc::UnboundedReceiver<StreamCommand>,
}

impl RunningGuard {
    /// Notes how many tokens were relayed.
    pub(crate) fn progress(&self, generated: u64) {
        self.generated.store(generated, Ordering::Relaxed);
    }

    /// Notes that the answer goes on at another upstream.
    pub(crate) fn moved(&self, upstream: &UpstreamId) {
        let mut running = self.streams.0.lock().unwrap();
        if let Some(entry) = running.get_mut(&self.request) {
            entry.about.upstream = Some(upstream.clone());
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut running = self.streams.0.lock().unwrap();
        let is_own =
            running.get(&self.request).is_some_and(|entry| entry.tx.same_channel(&self.tx));
        if is_own {
            running.remove(&self.request);
        }
    }
}
