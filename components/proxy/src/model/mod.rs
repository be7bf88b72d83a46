//! Call of a model service, which may continue on several upstreams.

mod relocate;
mod send;

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use lycheelatch_policy::{RequestEvent, ResponseStage};
use lycheelatch_prelude::{Idempotency, Outcome};
use lycheelatch_upstream::{Engine, EngineStream, StreamEvent, UpstreamError};
use tokio::time::{Instant, sleep_until};

use crate::{
    AttemptResult, BufferedResponse, BufferedToken, PlacedAttempt, Proxy, Record, Refusal,
    RefusalReason, RunningStream, StreamCommand, Upstream, UpstreamClient,
    attempt::{Attempts, MAX_ATTEMPTS},
    running::RunningGuard,
    settle::{OpenRequestGuard, settle_later},
};

/// HTTP status recorded for a complete response of an engine.
const COMPLETE_STATUS: u16 = 200;

/// Maximum number of times that one response is resumed.
const MAX_RESUMES: u32 = 8;

/// Maximum number of attempts per response, over all upstreams.
const MAX_MODEL_ATTEMPTS: u32 = MAX_ATTEMPTS + MAX_RESUMES;

/// Approximate number of prompt bytes per token.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;

/// Event of a response that is relayed to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ResponseEvent {
    /// Token of the text.
    Token {
        /// Number of preceding tokens.
        offset: u64,
        /// Text of the token.
        text: Arc<str>,
        /// Data of the SSE event.
        data: Bytes,
    },
    /// Data of an event without a token.
    Other(Bytes),
    /// The response is complete.
    Done,
    /// The response continues on another node.
    HandedOver,
}

/// Request to a model service.
pub(crate) struct ModelRequest {
    pub(crate) path: Arc<str>,
    pub(crate) body: Bytes,
    /// Whether the response is a single text, which can be resumed after any token.
    pub(crate) is_single_text: bool,
    pub(crate) max_tokens: Option<u64>,
}

/// Call of a model service.
///
/// Dropping it before it is settled cancels it: the caller has disconnected.
pub(crate) struct ModelCall {
    proxy: Arc<Proxy>,
    pub(crate) rec: Record,
    req: ModelRequest,
    attempts: Attempts,
    resumes: u32,
    placed: Option<PlacedAttempt>,
    events: Option<EngineStream>,
    attempt_started: Instant,
    time_to_first_event: Option<std::time::Duration>,
    text: String,
    next_offset: u64,
    guard: RunningGuard,
    settled: bool,
    _open: OpenRequestGuard,
}

impl ModelCall {
    /// Starts a call, or resumes one after the first `next_offset` tokens, which make up `text`.
    ///
    /// If the call can't be started, returns it with the refusal so that the caller settles it.
    pub(crate) async fn start(
        proxy: Arc<Proxy>,
        rec: Record,
        req: ModelRequest,
        text: String,
        next_offset: u64,
    ) -> Result<ModelCall, (Box<ModelCall>, Refusal)> {
        let open = OpenRequestGuard::new(proxy.clone());
        let guard = proxy.running.start(running_stream(&rec, &req, next_offset));
        let attempts = match next_offset {
            0 => Attempts::new(rec.idempotency, req.is_single_text, MAX_MODEL_ATTEMPTS),
            _ => Attempts::resumed(rec.idempotency, MAX_MODEL_ATTEMPTS),
        };
        let mut call = ModelCall {
            proxy,
            rec,
            req,
            attempts,
            resumes: 0,
            placed: None,
            events: None,
            attempt_started: Instant::now(),
            time_to_first_event: None,
            text,
            next_offset,
            guard,
            settled: false,
            _open: open,
        };
        if call.next_offset == 0 {
            call.buffer_response();
        }
        match call.connect(None).await {
            Ok(()) => Ok(call),
            Err(refusal) => Err((Box::new(call), refusal)),
        }
    }

    fn buffer_response(&self) {
        let (rec, req) = (&self.rec, &self.req);
        let response = BufferedResponse {
            workspace: rec.workspace().name.clone(),
            service: rec.service().name.clone(),
            path: req.path.clone(),
            body: req.body.clone(),
            labels: rec.labels.clone(),
            priority: rec.head.priority,
            idempotency: rec.idempotency,
            is_single_text: req.is_single_text,
            tokens: Vec::new(),
            other_events: Vec::new(),
            outcome: None,
        };
        self.proxy.response_buffer.insert(rec.id(), response);
    }

    /// Returns the next event of the response.
    pub(crate) async fn next(&mut self) -> Result<ResponseEvent, Refusal> {
        loop {
            let step = self.step().await;
            match step {
                Step::Command(command) => {
                    if let Some(event) = self.apply_command(command).await? {
                        return Ok(event);
                    }
                }
                Step::Deadline => {
                    return Err(self.fail(RefusalReason::DeadlinePassed, RequestEvent::TimedOut));
                }
                Step::Event(Ok(event)) => {
                    if let Some(event) = self.accept_event(event)? {
                        return Ok(event);
                    }
                }
                Step::Event(Err(err)) => self.recover(err).await?,
            }
        }
    }

    /// Returns whether the response is a single text, which can be resumed after any token.
    pub(crate) fn is_single_text(&self) -> bool {
        self.req.is_single_text
    }

    async fn step(&mut self) -> Step {
        let deadline = self.rec.deadline.unwrap_or_else(Instant::now);
        let Some(events) = self.events.as_mut() else {
            return Step::Event(Err(broken_error("the answer has no connection")));
        };
        tokio::select! {
            biased;
            Some(command) = self.guard.rx.recv() => Step::Command(command),
            event = events.next() => {
                Step::Event(event.unwrap_or_else(|| Err(broken_error("the answer ended early"))))
            }
            () = sleep_until(deadline) => Step::Deadline,
        }
    }

    /// Converts an event of the engine; returns `None` for a repeated token.
    ///
    /// A gap in the tokens closes the connection, so that the response is resumed at the gap.
    fn accept_event(&mut self, event: StreamEvent) -> Result<Option<ResponseEvent>, Refusal> {
        match event {
            StreamEvent::Token { offset, .. } if offset.0 < self.next_offset => Ok(None),
            StreamEvent::Token { offset, .. } if offset.0 > self.next_offset => {
                self.events = None;
                Ok(None)
            }
            StreamEvent::Token { offset, text, data } => {
                self.record_first_event();
                self.attempts.record_relay();
                self.text.push_str(&text);
                self.next_offset += 1;
                self.guard.set_generated(self.next_offset);
                let token = BufferedToken { text: text.clone(), data: data.clone() };
                self.proxy.response_buffer.push_token(self.rec.id(), offset.0, token);
                let service = self.rec.service().name.as_str();
                self.proxy.metrics.tokens.with_label_values(&[service]).inc();
                Ok(Some(ResponseEvent::Token { offset: offset.0, text, data }))
            }
            StreamEvent::Other(data) => {
                self.record_first_event();
                // A single text can be restarted while no token has been relayed, so other events
                // don't count as relayed output.
                if !self.req.is_single_text {
                    self.attempts.record_relay();
                }
                self.proxy.response_buffer.push_event(self.rec.id(), data.clone());
                Ok(Some(ResponseEvent::Other(data)))
            }
            StreamEvent::Done => {
                self.record_result(true, None);
                self.record_first_event();
                self.attempts.finish(COMPLETE_STATUS);
                self.events = None;
                self.placed = None;
                Ok(Some(ResponseEvent::Done))
            }
        }
    }

    fn record_first_event(&mut self) {
        if self.time_to_first_event.is_some() {
            return;
        }
        self.time_to_first_event = Some(self.attempt_started.elapsed());
        self.attempts.record_response_start();
        if self.resumes == 0 {
            let service = self.rec.service().name.as_str();
            let since_arrival = self.rec.head.arrived.elapsed().as_secs_f64();
            self.proxy.metrics.first_byte.with_label_values(&[service]).observe(since_arrival);
        }
    }

    fn engine(&self) -> Option<Arc<dyn Engine>> {
        engine_of(&self.placed.as_ref()?.upstream)
    }

    fn is_resumable(&self) -> bool {
        self.req.is_single_text && self.rec.idempotency == Idempotency::Idempotent
    }

    /// Abandons the upstream without recording a failure of it.
    fn abandon_upstream(&mut self, cause: &str) {
        if let Some(placed) = &self.placed {
            self.attempts.abandon(&placed.upstream);
        }
        self.cancel_upstream();
        self.record_resume(cause);
    }

    fn record_resume(&mut self, cause: &str) {
        self.resumes += 1;
        self.events = None;
        self.placed = None;
        let service = self.rec.service().name.as_str();
        self.proxy.metrics.resumes.with_label_values(&[service, cause]).inc();
    }

    /// Resumes the response after a failure of the upstream or its connection.
    async fn recover(&mut self, err: UpstreamError) -> Result<(), Refusal> {
        if !self.is_first_silence(&err) {
            let stage = match self.time_to_first_event {
                None => ResponseStage::Begun,
                Some(_) => ResponseStage::Streaming,
            };
            self.record_result(false, is_broken(&err).then_some(stage));
        }
        if let Some(placed) = &self.placed {
            self.attempts.record_failure(&placed.upstream, &err);
        }
        if !self.attempts.may_start_attempt() || self.resumes >= MAX_RESUMES {
            return Err(self.give_up(RefusalReason::UpstreamFailed(err.to_string())));
        }
        log::info!("proxy: resuming request {} after an upstream failure: {err}", self.rec.id());
        self.record_resume("broken");
        self.connect(None).await
    }

    fn is_first_silence(&self, err: &UpstreamError) -> bool {
        let placed = self.placed.as_ref();
        placed.is_some_and(|placed| self.attempts.is_first_silence(&placed.upstream, err))
    }

    fn give_up(&mut self, reason: RefusalReason) -> Refusal {
        self.fail(reason, RequestEvent::GivenUp)
    }

    fn fail(&mut self, reason: RefusalReason, event: RequestEvent) -> Refusal {
        let outcome = self.attempts.outcome(event);
        self.cancel_upstream();
        Refusal { reason, outcome, retry_after: None }
    }

    fn record_result(&self, succeeded: bool, cut_at: Option<ResponseStage>) {
        let Some(placed) = &self.placed else { return };
        let result = AttemptResult {
            succeeded,
            cut_at,
            time_to_first_byte: self.time_to_first_event,
            duration: self.attempt_started.elapsed(),
            generated_tokens: self.next_offset,
        };
        placed.set_result(result);
    }

    /// Cancels the request at the upstream in a background task.
    fn cancel_upstream(&mut self) {
        let Some(engine) = self.engine() else { return };
        self.events = None;
        self.placed = None;
        let id = self.rec.id().clone();
        actix_web::rt::spawn(async move {
            if let Err(err) = engine.cancel(&id).await {
                log::debug!("proxy: failed to cancel request {id}: {err}");
            }
        });
    }

    /// Marks the call as settled, so that dropping it does not settle it as cancelled.
    pub(crate) fn set_settled(&mut self, outcome: Outcome) {
        self.settled = true;
        self.proxy.response_buffer.set_outcome(self.rec.id(), outcome);
    }

    /// Marks the call as handed over: dropping it does not settle it, as it continues on another
    /// node.
    pub(crate) fn set_handed_over(&mut self) {
        self.settled = true;
    }
}

impl Drop for ModelCall {
    fn drop(&mut self) {
        self.cancel_upstream();
        if !self.settled {
            let outcome = self.attempts.outcome(RequestEvent::Cancelled);
            settle_later(&self.proxy, &mut self.rec, outcome);
        }
    }
}

enum Step {
    Command(StreamCommand),
    Event(Result<StreamEvent, UpstreamError>),
    Deadline,
}

/// Returns whether the connection ended before the response did.
fn is_broken(err: &UpstreamError) -> bool {
    matches!(err, UpstreamError::Broken { .. })
}

fn broken_error(reason: &str) -> UpstreamError {
    UpstreamError::Broken { reason: reason.into() }
}

fn engine_of(upstream: &Upstream) -> Option<Arc<dyn Engine>> {
    match &upstream.client {
        UpstreamClient::Engine(engine) => Some(engine.clone()),
        UpstreamClient::Plain(_) => None,
    }
}

fn is_stream(rec: &Record) -> bool {
    matches!(rec.kind, crate::RequestKind::Model { stream: true, .. })
}

fn running_stream(rec: &Record, req: &ModelRequest, next_offset: u64) -> RunningStream {
    RunningStream {
        request: rec.id().clone(),
        workspace: rec.workspace().name.clone(),
        service: rec.service().name.clone(),
        upstream: None,
        prompt_tokens: req.body.len() as u64 / PROMPT_BYTES_PER_TOKEN,
        generated: next_offset,
        max_tokens: req.max_tokens,
    }
}
