//! What one node knows of one upstream.

use std::time::Duration;

use lycheelatch_prelude::ServiceName;
use lycheelatch_upstream::LoadReport;
use tokio::time::Instant;

use super::Candidate;
use crate::{ConcurrencyLimit, OutlierEjection, prefix_memory::CacheClock};

/// Time after which a load report tells nothing any more.
const REPORT_LIFETIME: Duration = Duration::from_secs(30);

/// Time after which an upstream without cache events counts as silent.
const EVENTS_LIFETIME: Duration = Duration::from_secs(10);

/// Tokens that a cache holds until a report tells.
const DEFAULT_CACHE_TOKENS: u64 = 200_000;

/// Load at an upstream by requests of other nodes, as of the last report.
#[derive(Debug, Clone, Copy)]
struct Others {
    at: Instant,
    requests: f64,
    waiting: f64,
    /// Whether nothing waited, of any node.
    is_quiet: bool,
    /// Requests of all nodes for each of this node's.
    scale: f64,
}

/// What one node knows of one upstream.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) candidate: Candidate,
    pub(crate) service: ServiceName,
    /// Position within its service.
    pub(crate) position: usize,
    /// Number of this stay in the slot.
    pub(crate) stay: u32,
    pub(crate) seed: u64,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) ejection: OutlierEjection,
    pub(crate) cache: CacheClock,
    /// Tokens of own prompts that are being computed.
    pub(crate) prefilling: u64,
    events_at: Option<Instant>,
    others: Option<Others>,
}

impl Known {
    /// Creates the knowledge of a new upstream.
    pub(crate) fn new(
        candidate: Candidate,
        service: ServiceName,
        stay: u32,
        limit: ConcurrencyLimit,
    ) -> Known {
        Known {
            seed: xxhash_rust::xxh3::xxh3_64(candidate.id.as_str().as_bytes()),
            candidate,
            service,
            position: 0,
            stay,
            limit,
            ejection: OutlierEjection::default(),
            cache: CacheClock::new(stay, DEFAULT_CACHE_TOKENS),
            prefilling: 0,
            events_at: None,
            others: None,
        }
    }

    /// Takes a load report in.
    pub(crate) fn report(&mut self, now: Instant, report: &LoadReport) {
        let own = f64::from(self.limit.requests());
        let all = f64::from(report.running) + f64::from(report.waiting);
        self.others = Some(Others {
            at: now,
            requests: (all - own).max(0.0),
            waiting: f64::from(report.waiting) * (all - own).max(0.0) / all.max(1.0),
            is_quiet: report.waiting == 0,
            scale: (all / own.max(1.0)).clamp(1.0, 1000.0),
        });
        if report.cache_total_tokens > 0 {
            self.cache.set_total(report.cache_total_tokens);
            self.limit.set_max_units(report.cache_total_tokens);
        }
        self.limit.report(now, report.running, report.waiting);
    }

    /// Takes the load by other nodes from a digest, in requests.
    pub(crate) fn digest(&mut self, now: Instant, requests: f64, waiting: f64) {
        let own = f64::from(self.limit.requests());
        let scale = ((requests + waiting) / own.max(1.0)).clamp(1.0, 1000.0);
        let others = (requests + waiting - own).max(0.0);
        self.others =
            Some(Others { at: now, requests: others, waiting, is_quiet: waiting == 0.0, scale });
    }

    /// Returns the requests at the upstream: own ones exactly, the others as reported.
    pub(crate) fn requests(&self, now: Instant) -> f64 {
        f64::from(self.limit.requests()) + self.others(now).map_or(0.0, |others| others.requests)
    }

    /// Returns the requests of other nodes that waited as of the last report.
    pub(crate) fn others_waiting(&self, now: Instant) -> f64 {
        self.others(now).map_or(0.0, |others| others.waiting)
    }

    /// Returns the time since the last report came, zero without one.
    pub(crate) fn report_age(&self, now: Instant) -> Duration {
        self.others(now).map_or(Duration::ZERO, |others| now.saturating_duration_since(others.at))
    }

    /// Returns whether nothing waits at the upstream, as far as is known.
    pub(crate) fn is_quiet(&self, now: Instant) -> bool {
        self.others(now).is_none_or(|others| others.is_quiet)
    }

    /// Counts tokens that a request of this node adds to the cache.
    pub(crate) fn cached(&mut self, now: Instant, tokens: u64) {
        if self.has_events(now) {
            return;
        }
        let scale = self.others(now).map_or(1.0, |others| others.scale);
        self.cache.advance((tokens as f64 * scale) as u64);
    }

    /// Returns whether cache events tell what the upstream holds.
    pub(crate) fn has_events(&self, now: Instant) -> bool {
        self.events_at.is_some_and(|at| now.saturating_duration_since(at) < EVENTS_LIFETIME)
    }

    /// Notes that cache events came.
    pub(crate) fn heard_events(&mut self, now: Instant) {
        self.events_at = Some(now);
        self.cache.set_told();
    }

    fn others(&self, now: Instant) -> Option<&Others> {
        self.others.as_ref().filter(|o| now.saturating_duration_since(o.at) < REPORT_LIFETIME)
    }
}
