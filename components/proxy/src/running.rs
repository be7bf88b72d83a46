//! Response streams that are being relayed.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use lycheelatch_prelude::{RequestId, ServiceName, UpstreamId, WorkspaceName};
use tokio::sync::mpsc;

/// Command to a running stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamCommand {
    /// Continue on another upstream, which recomputes the missing KV cache.
    Resume {
        /// Target upstream; `None` leaves the choice to placement.
        to: Option<UpstreamId>,
    },
    /// Transfer the KV cache to another upstream and continue there.
    Move {
        /// Target upstream.
        to: UpstreamId,
    },
    /// End on this node; the caller resumes the stream on another node.
    HandOver,
}

/// State of a running stream.
#[derive(Debug, Clone)]
pub struct RunningStream {
    /// Identity of the request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Service called.
    pub service: ServiceName,
    /// Upstream on which the stream runs; `None` until one has accepted the request.
    pub upstream: Option<UpstreamId>,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens relayed.
    pub generated: u64,
    /// Maximum number of tokens requested.
    pub max_tokens: Option<u64>,
}

struct Entry {
    info: RunningStream,
    generated: Arc<AtomicU64>,
    tx: mpsc::UnboundedSender<StreamCommand>,
}

/// Streams that this node is relaying.
#[derive(Default)]
pub struct RunningStreams(Mutex<HashMap<RequestId, Entry>>);

impl RunningStreams {
    /// Returns the running streams with their current progress.
    pub fn list(&self) -> Vec<RunningStream> {
        let with_generated = |entry: &Entry| RunningStream {
            generated: entry.generated.load(Ordering::Relaxed),
            ..entry.info.clone()
        };
        self.0.lock().unwrap().values().map(with_generated).collect()
    }

    /// Returns the number of running streams.
    pub fn count(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    /// Returns whether the stream of a request is running on this node.
    pub fn is_running(&self, request: &RequestId) -> bool {
        self.0.lock().unwrap().contains_key(request)
    }

    /// Sends a command to a running stream; returns whether it is running on this node.
    pub fn send_command(&self, request: &RequestId, command: StreamCommand) -> bool {
        let running = self.0.lock().unwrap();
        running.get(request).is_some_and(|entry| entry.tx.send(command).is_ok())
    }

    /// Registers a stream. An earlier stream of the same request is ended.
    pub(crate) fn start(self: &Arc<Self>, info: RunningStream) -> RunningGuard {
        let (tx, rx) = mpsc::unbounded_channel();
        let generated = Arc::new(AtomicU64::new(info.generated));
        let request = info.request.clone();
        let entry = Entry { info, generated: generated.clone(), tx: tx.clone() };
        let previous = self.0.lock().unwrap().insert(request.clone(), entry);
        if let Some(previous) = previous {
            let _already_ended = previous.tx.send(StreamCommand::HandOver);
        }
        RunningGuard { streams: self.clone(), request, generated, tx, rx }
    }
}

/// Keeps a stream registered until dropped.
pub(crate) struct RunningGuard {
    streams: Arc<RunningStreams>,
    request: RequestId,
    generated: Arc<AtomicU64>,
    tx: mpsc::UnboundedSender<StreamCommand>,
    pub(crate) rx: mpsc::UnboundedReceiver<StreamCommand>,
}

impl RunningGuard {
    /// Sets the number of tokens relayed.
    pub(crate) fn set_generated(&self, generated: u64) {
        self.generated.store(generated, Ordering::Relaxed);
    }

    /// Sets the upstream on which the stream runs.
    pub(crate) fn set_upstream(&self, upstream: &UpstreamId) {
        let mut running = self.streams.0.lock().unwrap();
        if let Some(entry) = running.get_mut(&self.request) {
            entry.info.upstream = Some(upstream.clone());
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
