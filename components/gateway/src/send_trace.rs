//! Records the outcome of attempts in the log and in the health of their upstreams.

use std::rc::Rc;

use tokio::time::Instant;

use crate::{
    attempts::SendOutcome,
    decision::{Decision, SendEnded},
    directory::Upstream,
    event_log::{log_event, millis},
    node_event::NodeEvent,
    notices::announce_absence,
    place::Placement,
    response_cut::record_cut,
    rollout_counting::{record_broken, record_result},
    send::{Failure, UpstreamResponse},
    serve::RequestContext,
};

/// Logs the outcome of an attempt, also if its future is dropped before a response arrives.
pub(crate) struct SendTrace<'a> {
    cx: &'a Rc<RequestContext>,
    placement: &'a Placement,
    started: Instant,
    running_here: u32,
    running_elsewhere: u32,
    stated_percent: Option<u32>,
    is_finished: bool,
}

impl<'a> SendTrace<'a> {
    pub(crate) fn start(cx: &'a Rc<RequestContext>, placement: &'a Placement) -> SendTrace<'a> {
        SendTrace {
            cx,
            placement,
            started: Instant::now(),
            running_here: placement.upstream.running.get(),
            running_elsewhere: placement.upstream.running_elsewhere.get(),
            stated_percent: stated_percent(&placement.upstream),
            is_finished: false,
        }
    }

    pub(crate) fn finish(&mut self, result: &Result<UpstreamResponse, Failure>) {
        self.is_finished = true;
        record_result(self.cx, self.placement, result, self.started.elapsed());
        match result {
            Ok(_) => {
                self.placement.upstream.health.borrow_mut().record_success(Instant::now());
                self.write("answered", "answered");
            }
            Err(failure) => {
                self.record_failure(failure.outcome, failure.is_absent);
                self.write(outcome_label(failure.outcome), &failure.reason);
                if let Some(stage) = failure.cut_at {
                    record_cut(self.cx, &self.placement.upstream, stage, self.started);
                }
            }
        }
    }

    /// Records a failure in the upstream's health. If the upstream is absent, notifies the other
    /// nodes that use it.
    fn record_failure(&self, outcome: SendOutcome, is_absent: bool) {
        let upstream = &self.placement.upstream;
        let now = Instant::now();
        let is_unreachable = is_absent || outcome == SendOutcome::NotSent;
        let is_ejected = match is_unreachable {
            true => upstream.health.borrow_mut().record_unreachable(now),
            false => upstream.health.borrow_mut().record_failure(now),
        };
        if !is_ejected {
            return;
        }
        let failure_share = upstream.health.borrow().failure_share();
        log_event(&NodeEvent::UpstreamEjected { upstream: &upstream.id(), failure_share });
        if is_absent {
            announce_absence(&self.cx.gateway, upstream);
        }
    }

    fn write(&self, label: &str, end: &str) {
        let placement = self.placement;
        self.cx.gateway.metrics.sends.with_label_values(&[label]).inc();
        self.cx.gateway.decisions.write(&Decision::SendEnded(SendEnded {
            request: &self.cx.info.id,
            upstream: &placement.upstream.id(),
            candidates: placement.candidates,
            runner_up: placement.runner_up.as_ref().map(|(id, _)| id),
            runner_up_ms: placement.runner_up.as_ref().map(|(_, estimate)| millis(*estimate)),
            fetched_tokens: placement.estimate.map(|estimate| estimate.fetched_tokens),
            expected_ms: Some(millis(placement.speed.expected_time())),
            uncached_tokens: placement.estimate.map(|estimate| estimate.uncached_tokens),
            running_here: self.running_here,
            running_elsewhere: self.running_elsewhere,
            elapsed_ms: millis(self.started.elapsed()),
            end,
            speed_percent: (placement.speed.factor * 100.0).round() as u32,
            stated_percent: self.stated_percent,
        }));
    }
}

impl Drop for SendTrace<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        // No response within the route's latency target counts as a failure of the upstream.
        if self.started.elapsed() >= self.cx.route.target {
            record_broken(self.cx, &self.placement.upstream);
            self.record_failure(SendOutcome::Unknown, false);
        }
        self.write("given_up", "given up without an answer");
    }
}

/// Returns the figure that an upstream stated last, in percent of its usual time.
fn stated_percent(upstream: &Upstream) -> Option<u32> {
    upstream.reported_load.get().and_then(|(load, _)| load.work_time_percent)
}

fn outcome_label(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::NotSent => "not_sent",
        SendOutcome::NotRun => "not_run",
        SendOutcome::Unknown => "unknown",
        SendOutcome::RanAndFailed => "ran_and_failed",
    }
}
