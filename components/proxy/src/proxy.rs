//! State shared by all requests of a node.

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

/// Returns the current configuration.
pub type ConfigSource = Arc<dyn Fn() -> Arc<Snapshot> + Send + Sync>;

/// Components of a proxy.
pub struct ProxyParts {
    /// Source of the current configuration.
    pub config: ConfigSource,
    /// Upstreams.
    pub registry: Arc<Registry>,
    /// Claims on idempotency keys.
    pub claims: Arc<Claims>,
    /// Admission filter.
    pub admit: Arc<dyn Filter>,
    /// Placement policy.
    pub place: Arc<dyn Place>,
    /// Retry policy.
    pub retry: Arc<dyn Retry>,
    /// Metrics.
    pub metrics: ProxyMetrics,
    /// Maximum total size of buffered responses, in bytes.
    pub max_buffered_response_bytes: usize,
}

/// State shared by all requests of a node.
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
    /// Creates a proxy from its components.
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

    /// Connects this node to its peers, which can then exchange buffered responses.
    pub fn join_peers(self: &Arc<Self>, link: Arc<dyn PeerLink>) {
        handover::register_handlers(self, &link);
        let _already_joined = self.link.set(link);
    }

    /// Stops accepting buffered responses from other nodes.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether this node is leaving and accepts no responses from other nodes.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Waits for requests to finish, and hands the remaining ones over before `deadline`.
    pub async fn hand_over(self: &Arc<Self>, deadline: Instant) -> HandoverReport {
        handover::finish_or_hand_over(self, deadline).await
    }

    /// Waits until the outcomes of claimed requests are stored.
    ///
    /// Returns the number of settlements that are not stored at `deadline`.
    pub async fn drain_settlements(&self, deadline: Instant) -> usize {
        self.claims.drain(deadline).await
    }

    pub(crate) fn link(&self) -> Option<&Arc<dyn PeerLink>> {
        self.link.get()
    }

    /// Starts to refuse new requests.
    pub fn stop_accepting(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether new requests are refused.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that are not settled.
    pub fn open_requests(&self) -> i64 {
        self.metrics.open.get()
    }

    /// Returns the streams that are being relayed.
    pub fn running(&self) -> &Arc<RunningStreams> {
        &self.running
    }

    /// Returns the buffer of responses.
    pub fn response_buffer(&self) -> &ResponseBuffer {
        &self.response_buffer
    }

    /// Returns the upstreams.
    pub fn registry(&self) -> &Arc<Registry> {
        &self.registry
    }

    /// Authenticates a request before its body is read.
    pub(crate) async fn check_token(&self, rec: &mut Record) -> Result<(), Refusal> {
        self.authenticate.apply(rec).await.map(|_| ())
    }

    /// Applies the filters to a request before placement.
    pub(crate) async fn admit(&self, rec: &mut Record) -> Result<FilterDecision, Refusal> {
        if self.is_stopping() {
            return Err(Refusal::not_run(RefusalReason::Stopping));
        }
        filter::apply_all(&self.filters, rec).await
    }
}
