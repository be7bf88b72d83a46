//! What every request of a node shares.

use std::sync::{
    Arc, OnceLock,
    atomic::{AtomicBool, Ordering},
};

use lycheelatch_claims::Claims;
use lycheelatch_config::Snapshot;
use lycheelatch_peers::PeerLink;
use tokio::time::Instant;

use crate::{
    Deduplicate, Filter, FilterDecision, HandoverReport, Place, ProxyMetrics, Record, Refusal,
    RefusalReason, Registry, ResponseBuffer, RunningStreams, attempt::Retry,
    authenticate::Authenticate, classify::Classify, filter, handover,
};

/// Returns the configuration that is in force.
pub type ConfigSource = Arc<dyn Fn() -> Arc<Snapshot> + Send + Sync>;

/// The parts that a proxy is made of.
pub struct ProxyParts {
    /// Configuration in force.
    pub config: ConfigSource,
    /// Upstreams.
    pub registry: Arc<Registry>,
    /// Claims on idempotency keys.
    pub claims: Arc<Claims>,
    /// Admission.
    pub admit: Arc<dyn Filter>,
    /// Placement.
    pub place: Arc<dyn Place>,
    /// Retries.
    pub retry: Arc<dyn Retry>,
    /// Metrics.
    pub metrics: ProxyMetrics,
    /// Largest total of kept answers, in bytes.
    pub max_buffered_response_bytes: usize,
}

/// What every request of a node shares.
pub struct Proxy {
    pub(crate) config: ConfigSource,
    pub(crate) registry: Arc<Registry>,
    pub(crate) claims: Arc<Claims>,
    pub(crate) place: Arc<dyn Place>,
    pub(crate) retry: Arc<dyn Retry>,
    pub(crate) metrics: ProxyMetrics,
    pub(crate) response_buffer: ResponseBuffer,
    pub(crate) running: Arc<RunningStreams>,
    authenticate: Authenticate,
    filters: Vec<Arc<dyn Filter>>,
    link: OnceLock<Arc<dyn PeerLink>>,
    leaving: AtomicBool,
    stopping: AtomicBool,
}

impl Proxy {
    /// Joins the parts.
    pub fn new(parts: ProxyParts) -> Proxy {
        let filters: Vec<Arc<dyn Filter>> =
            vec![Arc::new(Classify), Arc::new(Deduplicate::new(parts.claims.clone())), parts.admit];
        Proxy {
            config: parts.config,
            registry: parts.registry,
            claims: parts.claims,
            place: parts.place,
            retry: parts.retry,
            metrics: parts.metrics,
            response_buffer: ResponseBuffer::new(parts.max_buffered_response_bytes),
            running: Arc::default(),
            authenticate: Authenticate::default(),
            filters,
            link: OnceLock::new(),
            leaving: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        }
    }

    /// Links this node to the others: answers may move between them.
    pub fn join_peers(self: &Arc<Self>, link: Arc<dyn PeerLink>) {
        handover::register_handlers(self, &link);
        let _joined_before = self.link.set(link);
    }

    /// Takes no answers over from other nodes from now on.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether this node is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Lets requests finish, and hands those over that can't before `ends`.
    pub async fn hand_over(self: &Arc<Self>, deadline: Instant) -> HandoverReport {
        handover::finish_or_hand_over(self, deadline).await
    }

    /// Records what became of claimed requests, before this node ends.
    ///
    /// Returns how many settlements are not recorded at `ends`.
    pub async fn drain_settlements(&self, deadline: Instant) -> usize {
        self.claims.drain(deadline).await
    }

    pub(crate) fn link(&self) -> Option<&Arc<dyn PeerLink>> {
        self.link.get()
    }

    /// Refuses every new request from now on.
    pub fn stop_accepting(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether new requests are refused.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns how many requests are not settled.
    pub fn open_requests(&self) -> i64 {
        self.metrics.open.get()
    }

    /// Returns the answers that are being relayed.
    pub fn running(&self) -> &Arc<RunningStreams> {
        &self.running
    }

    /// Returns the answers that are kept.
    pub fn response_buffer(&self) -> &ResponseBuffer {
        &self.response_buffer
    }

    /// Returns the upstreams.
    pub fn registry(&self) -> &Arc<Registry> {
        &self.registry
    }

    /// Finds the workspace of a request, before its body is read.
    pub(crate) async fn check_token(&self, rec: &mut Record) -> Result<(), Refusal> {
        self.authenticate.apply(rec).await.map(|_| ())
    }

    /// Passes a request through the filters before it is placed.
    pub(crate) async fn admit(&self, rec: &mut Record) -> Result<FilterDecision, Refusal> {
        if self.is_stopping() {
            return Err(Refusal::not_run(RefusalReason::Stopping));
        }
        filter::pass(&self.filters, rec).await
    }
}
