//! What upstreams ask of this node in their responses: no new requests, or none for some time.

use std::{collections::HashMap, time::Duration};

use lycheelatch_prelude::UpstreamId;
use tokio::time::Instant;

/// Time after which a notice is forgotten, and longest time for which an upstream can ask.
const MAX_QUIET: Duration = Duration::from_secs(24 * 3600);

/// Number of upstreams with a notice from which outdated ones are removed.
const CLEANUP_SIZE: usize = 1024;

/// One start of an upstream; another start of the same upstream has asked for nothing yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamStart {
    /// When it started, in milliseconds since the Unix epoch; `None` if it is not known.
    pub started_at_ms: Option<u64>,
}

/// What a response says about further requests of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamNotice {
    /// The upstream leaves.
    Leaving,
    /// The upstream refused, and wants no requests for this time.
    RetryAfter(Duration),
}

/// When a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeToSend {
    /// At once.
    Now,
    /// After this time.
    After(Duration),
    /// Never, since it leaves.
    Never,
}

#[derive(Debug, Clone, Copy)]
struct Standing {
    start: UpstreamStart,
    is_leaving: bool,
    quiet_until: Option<Instant>,
    last_notice: Instant,
}

impl Standing {
    fn is_outdated(&self, now: Instant) -> bool {
        now >= self.last_notice + MAX_QUIET
    }
}

/// Latest notices of all upstreams, from responses to this node.
///
/// They are kept by identifier and start, so that an entry that is removed from the store and comes
/// back, or a newer one of the same start, does not undo them. What an upstream says itself is newer
/// than its entry, which it may not be able to write.
#[derive(Debug, Default)]
pub struct UpstreamNotices {
    upstreams: HashMap<UpstreamId, Standing>,
}

impl UpstreamNotices {
    /// Records a notice; returns whether it changes when requests may be sent.
    pub fn record(
        &mut self,
        upstream: &UpstreamId,
        start: UpstreamStart,
        notice: UpstreamNotice,
        now: Instant,
    ) -> bool {
        if notice == UpstreamNotice::RetryAfter(Duration::ZERO) {
            return false;
        }
        let before = self.time_to_send(upstream, start, now);
        if self.upstreams.len() >= CLEANUP_SIZE {
            self.upstreams.retain(|_, standing| !standing.is_outdated(now));
        }
        let new = Standing { start, is_leaving: false, quiet_until: None, last_notice: now };
        let standing = self.upstreams.entry(upstream.clone()).or_insert(new);
        if standing.start != start {
            *standing = new;
        }
        standing.last_notice = now;
        match notice {
            UpstreamNotice::Leaving => standing.is_leaving = true,
            UpstreamNotice::RetryAfter(time) => {
                let until = now + time.min(MAX_QUIET);
                standing.quiet_until = standing.quiet_until.max(Some(until));
            }
        }
        self.time_to_send(upstream, start, now) != before
    }

    /// Returns when a request may be sent to a start of an upstream.
    pub fn time_to_send(
        &self,
        upstream: &UpstreamId,
        start: UpstreamStart,
        now: Instant,
    ) -> TimeToSend {
        let Some(standing) = self.upstreams.get(upstream) else { return TimeToSend::Now };
        if standing.start != start || standing.is_outdated(now) {
            return TimeToSend::Now;
        }
        if standing.is_leaving {
            return TimeToSend::Never;
        }
        match standing.quiet_until {
            Some(until) if until > now => TimeToSend::After(until - now),
            _ => TimeToSend::Now,
        }
    }
}
