//! Records what upstreams ask of this node in their responses, and selects those that accept
//! requests.

use std::{rc::Rc, time::Duration};

use actix_http::StatusCode;
use lycheelatch_policy::{TimeToSend, UpstreamNotice, UpstreamStart};
use tokio::time::Instant;

use crate::{
    ResponseInfo, RetryAfter,
    directory::Upstream,
    event_log::{log_event, millis},
    gateway::Gateway,
    node_event::NodeEvent,
};

/// Records what an upstream asks for in the head of a response.
pub(crate) fn record_notices(
    gateway: &Gateway,
    upstream: &Upstream,
    status: StatusCode,
    info: &ResponseInfo,
) {
    // A response without a signature or refusal may come from another program at the address.
    if !info.is_signed && !info.is_not_run {
        return;
    }
    if info.is_leaving && record(gateway, upstream, UpstreamNotice::Leaving) {
        log_event(&NodeEvent::UpstreamLeaving { upstream: &upstream.id() });
    }
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let time = match info.retry_after {
        RetryAfter::None => return,
        RetryAfter::After(time) => time,
        RetryAfter::At(time) => time.saturating_sub(gateway.clock.now()),
        RetryAfter::Invalid => {
            log_event(&NodeEvent::RetryAfterInvalid { upstream: &upstream.id() });
            return;
        }
    };
    if record(gateway, upstream, UpstreamNotice::RetryAfter(time)) {
        let retry_after_ms = millis(time);
        log_event(&NodeEvent::UpstreamQuiet { upstream: &upstream.id(), retry_after_ms });
    }
}

fn record(gateway: &Gateway, upstream: &Upstream, notice: UpstreamNotice) -> bool {
    let mut notices = gateway.upstream_notices.borrow_mut();
    notices.record(&upstream.id(), start_of(upstream), notice, Instant::now())
}

fn start_of(upstream: &Upstream) -> UpstreamStart {
    UpstreamStart { started_at_ms: upstream.entry.borrow().started_at_ms }
}

/// Upstreams split by whether they want requests of this node.
pub(crate) struct Willing {
    /// Upstreams to which a request may be sent.
    pub(crate) willing: Vec<Rc<Upstream>>,
    /// Shortest time until a request may be sent to one of the others.
    pub(crate) next: Option<Duration>,
}

/// Splits upstreams by whether they want requests of this node.
pub(crate) fn willing(gateway: &Gateway, upstreams: Vec<Rc<Upstream>>) -> Willing {
    let now = Instant::now();
    let notices = gateway.upstream_notices.borrow();
    let mut next: Option<Duration> = None;
    let mut is_willing = |up: &Rc<Upstream>| match notices.time_to_send(&up.id(), start_of(up), now)
    {
        TimeToSend::Now => true,
        TimeToSend::After(time) => {
            next = Some(next.map_or(time, |next| next.min(time)));
            false
        }
        TimeToSend::Never => false,
    };
    let willing = upstreams.into_iter().filter(|up| is_willing(up)).collect();
    Willing { willing, next }
}
