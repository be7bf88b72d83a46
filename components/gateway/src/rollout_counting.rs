//! Counts attempts for the comparison of versions during roll-outs.

use std::{rc::Rc, time::Duration};

use lycheelatch_policy::CanaryOutcome;

use crate::{
    attempts::SendOutcome,
    directory::Upstream,
    place::Placement,
    rollout::latency_class,
    send::{Failure, UpstreamResponse},
    serve::RequestContext,
};

/// Counts a request that is sent to an upstream.
pub(crate) fn record_sent(cx: &RequestContext, upstream: &Upstream) {
    let mut rollouts = cx.gateway.rollouts.borrow_mut();
    if !rollouts.is_empty() {
        let is_first = cx.sends.get() == 1;
        let version = &upstream.entry.borrow().version;
        rollouts.record_sent(&cx.service.name, version.as_ref(), is_first);
    }
}

/// Counts the result of an attempt, `elapsed` after it was sent.
pub(crate) fn record_result(
    cx: &RequestContext,
    placement: &Placement,
    result: &Result<UpstreamResponse, Failure>,
    elapsed: Duration,
) {
    let estimate = placement.estimate.map(|estimate| estimate.time_to_first_token);
    let answered = CanaryOutcome::Answered(latency_class(elapsed, estimate));
    let outcome = match result {
        Ok(
            UpstreamResponse::Buffered(response) | UpstreamResponse::Large { start: response, .. },
        ) if response.status.is_server_error() => CanaryOutcome::Failed,
        Ok(_) => answered,
        Err(failure) if is_fault(failure) => CanaryOutcome::Failed,
        Err(_) => return,
    };
    record(cx, &placement.upstream, outcome);
}

/// Counts an attempt that got no answer in time, or whose answer broke off.
pub(crate) fn record_broken(cx: &RequestContext, upstream: &Rc<Upstream>) {
    record(cx, upstream, CanaryOutcome::Failed);
}

/// Returns whether a failure may be the version's fault, not that of a missing instance.
fn is_fault(failure: &Failure) -> bool {
    failure.outcome != SendOutcome::NotSent && !failure.is_absent
}

fn record(cx: &RequestContext, upstream: &Upstream, outcome: CanaryOutcome) {
    let mut rollouts = cx.gateway.rollouts.borrow_mut();
    if !rollouts.is_empty() {
        let version = &upstream.entry.borrow().version;
        rollouts.record_outcome(&cx.service.name, version.as_ref(), &cx.route.name, outcome);
    }
}
