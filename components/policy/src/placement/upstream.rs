//! State of one upstream as seen by the local node.

use std::time::Duration;

use lycheelatch_prelude::ServiceName;
use lycheelatch_upstream::LoadReport;
use tokio::time::Instant;

use super::Candidate;
use crate::{ConcurrencyLimit, OutlierEjection, prefix_index::CacheClock};

/// Time after which a load report or digest is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(30);

/// Time without cache events after which the cache content is estimated.
const EVENTS_LIFETIME: Duration = Duration::from_secs(10);

/// Assumed cache capacity until a load report gives the actual one.
const DEFAULT_CACHE_TOKENS: u64 = 200_000;

/// Load on an upstream from requests of other nodes, as of the last report or digest.
#[derive(Debug, Clone, Copy)]
struct RemoteLoad {
    at: Instant,
    requests: f64,
    waiting: f64,
    /// Whether no request of any node was queued.
    is_queue_empty: bool,
    /// Ratio of the requests of all nodes to those of the local node.
    total_to_local: f64,
}

/// State of one upstream as seen by the local node.
#[derive(Debug)]
pub(crate) struct UpstreamView {
    pub(crate) candidate: Candidate,
    pub(crate) service: ServiceName,
    /// Position within its service.
    pub(crate) position: usize,
    /// Generation of the slot, so that handles of a removed upstream are recognized.
    pub(crate) generation: u32,
    /// Hash of the upstream's identity for rendezvous hashing.
    pub(crate) seed: u64,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) ejection: OutlierEjection,
    pub(crate) cache: CacheClock,
    /// Uncached prompt tokens of the local node's requests that await their first token.
    pub(crate) prefill_tokens: u64,
    last_events_at: Option<Instant>,
    remote: Option<RemoteLoad>,
}

impl UpstreamView {
    /// Creates the state of a new upstream.
    pub(crate) fn new(
        candidate: Candidate,
        service: ServiceName,
        generation: u32,
        limit: ConcurrencyLimit,
    ) -> UpstreamView {
        UpstreamView {
            seed: xxhash_rust::xxh3::xxh3_64(candidate.id.as_str().as_bytes()),
            candidate,
            service,
            position: 0,
            generation,
            limit,
            ejection: OutlierEjection::default(),
            cache: CacheClock::new(generation, DEFAULT_CACHE_TOKENS),
            prefill_tokens: 0,
            last_events_at: None,
            remote: None,
        }
    }

    /// Applies a load report.
    pub(crate) fn apply_load_report(&mut self, now: Instant, report: &LoadReport) {
        let local = f64::from(self.limit.requests());
        let total = f64::from(report.running) + f64::from(report.waiting);
        self.remote = Some(RemoteLoad {
            at: now,
            requests: (total - local).max(0.0),
            waiting: f64::from(report.waiting) * (total - local).max(0.0) / total.max(1.0),
            is_queue_empty: report.waiting == 0,
            total_to_local: (total / local.max(1.0)).clamp(1.0, 1000.0),
        });
        if report.cache_total_tokens > 0 {
            self.cache.set_total(report.cache_total_tokens);
            self.limit.set_max_units(report.cache_total_tokens);
        }
        self.limit.report(now, report.running, report.waiting);
    }

    /// Applies the load from a digest of another node, in requests.
    pub(crate) fn apply_load_digest(&mut self, now: Instant, running: f64, waiting: f64) {
        let local = f64::from(self.limit.requests());
        let total_to_local = ((running + waiting) / local.max(1.0)).clamp(1.0, 1000.0);
        let requests = (running + waiting - local).max(0.0);
        self.remote = Some(RemoteLoad {
            at: now,
            requests,
            waiting,
            is_queue_empty: waiting == 0.0,
            total_to_local,
        });
    }

    /// Returns the requests at the upstream: the exact local count plus the reported remote ones.
    pub(crate) fn requests(&self, now: Instant) -> f64 {
        f64::from(self.limit.requests()) + self.remote(now).map_or(0.0, |remote| remote.requests)
    }

    /// Returns the queued requests of other nodes as of the last report.
    pub(crate) fn remote_waiting(&self, now: Instant) -> f64 {
        self.remote(now).map_or(0.0, |remote| remote.waiting)
    }

    /// Returns the time since the last report, zero if there is none.
    pub(crate) fn report_age(&self, now: Instant) -> Duration {
        self.remote(now).map_or(Duration::ZERO, |remote| now.saturating_duration_since(remote.at))
    }

    /// Returns whether the upstream's queue is empty as of the last report; true if there is none.
    pub(crate) fn is_queue_empty(&self, now: Instant) -> bool {
        self.remote(now).is_none_or(|remote| remote.is_queue_empty)
    }

    /// Advances the cache clock by the tokens that a local request adds to the cache.
    ///
    /// Multiplies them by the ratio of all requests to local ones, since other nodes fill the cache
    /// too. Does nothing while cache events arrive, because these advance the clock.
    pub(crate) fn advance_cache(&mut self, now: Instant, tokens: u64) {
        if self.has_events(now) {
            return;
        }
        let total_to_local = self.remote(now).map_or(1.0, |remote| remote.total_to_local);
        self.cache.advance((tokens as f64 * total_to_local) as u64);
    }

    /// Returns whether recent cache events describe the content of the cache.
    pub(crate) fn has_events(&self, now: Instant) -> bool {
        self.last_events_at.is_some_and(|at| now.saturating_duration_since(at) < EVENTS_LIFETIME)
    }

    /// Records that cache events arrived.
    pub(crate) fn record_cache_events(&mut self, now: Instant) {
        self.last_events_at = Some(now);
        self.cache.set_reports_evictions();
    }

    fn remote(&self, now: Instant) -> Option<&RemoteLoad> {
        self.remote
            .as_ref()
            .filter(|remote| now.saturating_duration_since(remote.at) < REPORT_LIFETIME)
    }
}
