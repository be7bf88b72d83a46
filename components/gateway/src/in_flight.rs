//! Accounts for attempts in the load of their upstreams.

use std::rc::Rc;

use tokio::time::Instant;

use crate::{
    directory::Upstream,
    engine_load::{Estimate, InFlight},
    gateway::{Gateway, SentPrompt},
    notices::announce_request,
    place::{ExpectedSpeed, Placement},
    serve::RequestContext,
    upstream_speeds::{record_answer_time, record_missing_answer},
};

/// Accounts for an attempt in the upstream's load until dropped.
pub(crate) struct InFlightGuard {
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) started: Instant,
    work: Option<InFlight>,
    estimate: Option<Estimate>,
    speed: ExpectedSpeed,
    gateway: Rc<Gateway>,
    is_answered: bool,
}

impl InFlightGuard {
    /// Adds an attempt to the load of its upstream, and tells the other nodes.
    pub(crate) fn start(cx: &RequestContext, placement: &Placement) -> InFlightGuard {
        let upstream = placement.upstream.clone();
        upstream.running.set(upstream.running.get() + 1);
        let mut work = None;
        if let (Some(chain), Some(estimate)) = (&cx.chain, &placement.estimate) {
            let mut load = upstream.load.borrow_mut();
            let sent = load.add_request(chain, estimate);
            cx.gateway.count_prefill(&cx.service.name, estimate.uncached_tokens);
            let memory = cx.service.engine.as_ref().map_or(0, |engine| engine.memory_tokens);
            load.record_prefixes(&chain.links, memory, Instant::now());
            let prompt = SentPrompt { upstream: upstream.id(), links: chain.links.clone() };
            drop(load);
            let zone = upstream.entry.borrow().zone.clone();
            announce_request(&cx.gateway, &cx.service.name, &zone, &prompt, sent);
            cx.gateway.sent_prompts.borrow_mut().push(prompt);
            work = Some(sent);
        }
        InFlightGuard {
            upstream,
            work,
            estimate: placement.estimate,
            speed: placement.speed,
            gateway: cx.gateway.clone(),
            is_answered: false,
            started: Instant::now(),
        }
    }

    /// Records that the first event, or the complete response, has arrived; `is_success` tells
    /// whether the request did its work, so that its time says how long work takes.
    pub(crate) fn record_first_event(&mut self, cx: &RequestContext, is_success: bool) {
        let now = Instant::now();
        let measured = now - self.started;
        self.is_answered = true;
        if let Some(work) = &mut self.work {
            self.upstream.load.borrow_mut().prefill_done(work);
        }
        if !is_success {
            return;
        }
        record_answer_time(&cx.gateway, &self.upstream, self.speed, measured, now);
        match &self.estimate {
            // A fetch takes time that is not spent on prompt tokens.
            Some(estimate) if estimate.fetched_tokens > 0 => {}
            Some(estimate) => {
                let tokens = estimate.prefill_tokens;
                cx.gateway.record_first_token(&cx.service.name, tokens, measured);
            }
            // Time in a queue is not work.
            None if self.speed.crowding >= 1.0 => {}
            None => cx.gateway.record_first_token(&cx.service.name, 0, measured),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.upstream.running.set(self.upstream.running.get().saturating_sub(1));
        if let Some(work) = self.work.take() {
            self.upstream.load.borrow_mut().remove_request(work);
        }
        if !self.is_answered {
            let now = Instant::now();
            let waited = now - self.started;
            record_missing_answer(&self.gateway, &self.upstream, self.speed, waited, now);
        }
    }
}
