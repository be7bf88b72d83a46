//! One call of a model service, over as many upstreams as it takes.

mod relocate;
mod send;

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use lycheelatch_policy::RequestEvent;
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

/// HTTP status of an answer that an engine gives whole.
const WHOLE_STATUS: u16 = 200;

/// Most times that one answer goes on at another upstream.
const MAX_RESUMES: u32 = 8;

/// Most attempts at one answer, over all upstreams that it goes on at.
const MAX_MODEL_ATTEMPTS: u32 = MAX_ATTEMPTS + MAX_RESUMES;

/// Bytes of a prompt that make about one token.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;

/// One piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AnswerEvent {
    /// A token.
    Token {
        /// Tokens before this one.
        offset: u64,
        /// Text.
        text: Arc<str>,
        /// Data of its event.
        data: Bytes,
    },
    /// Data of an event that holds no token.
    Other(Bytes),
    /// The answer is whole.
    Done,
    /// The answer goes on at another node.
    HandedOver,
}

/// What a model call asks for.
pub(crate) struct ModelRequest {
    pub(crate) path: Arc<str>,
    pub(crate) body: Bytes,
    /// Whether the answer is one text that can be taken up midway.
    pub(crate) is_one_text: bool,
    pub(crate) max_tokens: Option<u64>,
}

/// One call of a model service.
///
/// Dropping it before it is settled means that the caller left.
pub(crate) struct ModelCall {
    proxy: Arc<Proxy>,
    pub(crate) rec: Record,
    ask: ModelRequest,
    attempts: Attempts,
    resumes: u32,
    placed: Option<PlacedAttempt>,
    events: Option<EngineStream>,
    attempt_started: Instant,
    first: Option<std::time::Duration>,
    text: String,
    next: u64,
    guard: RunningGuard,
    settled: bool,
    _open: OpenRequestGuard,
}

impl ModelCall {
    /// Starts a call, or takes an answer up again after the tokens of `text`.
    ///
    /// A call that can't be started comes back with the refusal, to be settled.
    pub(crate) async fn start(
        proxy: Arc<Proxy>,
        rec: Record,
        ask: ModelRequest,
        text: String,
        next: u64,
    ) -> Result<ModelCall, (Box<ModelCall>, Refusal)> {
        let open = OpenRequestGuard::new(proxy.clone());
        let guard = proxy.running.start(about(&rec, &ask, next));
        let attempts = match next {
            0 => Attempts::new(rec.idempotency, ask.is_one_text, MAX_MODEL_ATTEMPTS),
            _ => Attempts::resumed(rec.idempotency, MAX_MODEL_ATTEMPTS),
        };
        let mut call = ModelCall {
            proxy,
            rec,
            ask,
            attempts,
            resumes: 0,
            placed: None,
            events: None,
            attempt_started: Instant::now(),
            first: None,
            text,
            next,
            guard,
            settled: false,
            _open: open,
        };
        if call.next == 0 {
            call.keep();
        }
        match call.connect(None).await {
            Ok(()) => Ok(call),
            Err(refusal) => Err((Box::new(call), refusal)),
        }
    }

    fn keep(&self) {
        let (rec, ask) = (&self.rec, &self.ask);
        let answer = BufferedResponse {
            workspace: rec.workspace().name.clone(),
            service: rec.service().name.clone(),
            path: ask.path.clone(),
            body: ask.body.clone(),
            labels: rec.labels.clone(),
            priority: rec.head.priority,
            idempotency: rec.idempotency,
            is_one_text: ask.is_one_text,
            tokens: Vec::new(),
            other_events: Vec::new(),
            outcome: None,
        };
        self.proxy.response_buffer.insert(rec.id(), answer);
    }

    /// Returns the next piece of the answer.
    pub(crate) async fn next(&mut self) -> Result<AnswerEvent, Refusal> {
        loop {
            let step = self.step().await;
            match step {
                Step::Command(command) => {
                    if let Some(piece) = self.obey(command).await? {
                        return Ok(piece);
                    }
                }
                Step::Deadline => {
                    return Err(self.fail(RefusalReason::DeadlinePassed, RequestEvent::TimedOut));
                }
                Step::Event(Ok(event)) => {
                    if let Some(piece) = self.take_event(event)? {
                        return Ok(piece);
                    }
                }
                Step::Event(Err(err)) => self.recover(err).await?,
            }
        }
    }

    /// Returns whether the answer is one text that can be taken up midway.
    pub(crate) fn is_one_text(&self) -> bool {
        self.ask.is_one_text
    }

    async fn step(&mut self) -> Step {
        let deadline = self.rec.deadline.unwrap_or_else(Instant::now);
        let Some(events) = self.events.as_mut() else {
            return Step::Event(Err(broken("the answer has no connection")));
        };
        tokio::select! {
            biased;
            Some(command) = self.guard.rx.recv() => Step::Command(command),
            event = events.next() => {
                Step::Event(event.unwrap_or_else(|| Err(broken("the answer ended early"))))
            }
            () = sleep_until(deadline) => Step::Deadline,
        }
    }

    /// Turns an event into a piece; one that is a repetition has none.
    fn take_event(&mut self, event: StreamEvent) -> Result<Option<AnswerEvent>, Refusal> {
        match event {
            StreamEvent::Token { offset, .. } if offset.0 < self.next => Ok(None),
            StreamEvent::Token { offset, .. } if offset.0 > self.next => {
                self.events = None;
                Ok(None)
            }
            StreamEvent::Token { offset, text, data } => {
                self.note_first();
                self.attempts.record_relay();
                self.text.push_str(&text);
                self.next += 1;
                self.guard.progress(self.next);
                let kept = BufferedToken { text: text.clone(), data: data.clone() };
                self.proxy.response_buffer.push_token(self.rec.id(), offset.0, kept);
                let service = self.rec.service().name.as_str();
                self.proxy.metrics.tokens.with_label_values(&[service]).inc();
                Ok(Some(AnswerEvent::Token { offset: offset.0, text, data }))
            }
            StreamEvent::Other(data) => {
                self.note_first();
                // One text can start again from its first token without harm.
                if !self.ask.is_one_text {
                    self.attempts.record_relay();
                }
                self.proxy.response_buffer.push_event(self.rec.id(), data.clone());
                Ok(Some(AnswerEvent::Other(data)))
            }
            StreamEvent::Done => {
                self.observe(true);
                self.note_first();
                self.attempts.finish(WHOLE_STATUS);
                self.events = None;
                self.placed = None;
                Ok(Some(AnswerEvent::Done))
            }
        }
    }

    fn note_first(&mut self) {
        if self.first.is_some() {
            return;
        }
        self.first = Some(self.attempt_started.elapsed());
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

    fn may_go_on_elsewhere(&self) -> bool {
        self.ask.is_one_text && self.rec.idempotency == Idempotency::Idempotent
    }

    /// Leaves the upstream, without blaming it.
    fn leave(&mut self, cause: &str) {
        if let Some(placed) = &self.placed {
            self.attempts.abandon(&placed.upstream);
        }
        self.cancel_upstream();
        self.note_resume(cause);
    }

    fn note_resume(&mut self, cause: &str) {
        self.resumes += 1;
        self.events = None;
        self.placed = None;
        let service = self.rec.service().name.as_str();
        self.proxy.metrics.resumes.with_label_values(&[service, cause]).inc();
    }

    /// Goes on at another upstream after a failure.
    async fn recover(&mut self, err: UpstreamError) -> Result<(), Refusal> {
        if !self.is_first_silence(&err) {
            self.observe(false);
        }
        if let Some(placed) = &self.placed {
            self.attempts.record_failure(&placed.upstream, &err);
        }
        if !self.attempts.may_start_attempt() || self.resumes >= MAX_RESUMES {
            return Err(self.give_up(RefusalReason::UpstreamFailed(err.to_string())));
        }
        log::info!("proxy: request {} goes on elsewhere: {err}", self.rec.id());
        self.note_resume("broken");
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

    fn observe(&self, ok: bool) {
        let Some(placed) = &self.placed else { return };
        let result = AttemptResult {
            succeeded: ok,
            time_to_first_byte: self.first,
            duration: self.attempt_started.elapsed(),
            generated_tokens: self.next,
        };
        placed.set_result(result);
    }

    /// Tells the upstream that nobody waits any more.
    fn cancel_upstream(&mut self) {
        let Some(engine) = self.engine() else { return };
        self.events = None;
        self.placed = None;
        let id = self.rec.id().clone();
        actix_web::rt::spawn(async move {
            if let Err(err) = engine.cancel(&id).await {
                log::debug!("proxy: request {id} is not cancelled by name: {err}");
            }
        });
    }

    /// Notes that the call is settled, so that dropping it means nothing.
    pub(crate) fn set_settled(&mut self, outcome: Outcome) {
        self.settled = true;
        self.proxy.response_buffer.set_outcome(self.rec.id(), outcome);
    }

    /// Notes that the call is handed over: it stays open for whoever takes it up.
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

fn broken(reason: &str) -> UpstreamError {
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

fn about(rec: &Record, ask: &ModelRequest, next: u64) -> RunningStream {
    RunningStream {
        request: rec.id().clone(),
        workspace: rec.workspace().name.clone(),
        service: rec.service().name.clone(),
        upstream: None,
        prompt_tokens: ask.body.len() as u64 / PROMPT_BYTES_PER_TOKEN,
        generated: next,
        max_tokens: ask.max_tokens,
    }
}
