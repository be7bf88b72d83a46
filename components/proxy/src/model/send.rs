//! Sends a model call to an upstream and retries on others.

use std::sync::Arc;

use bytes::Bytes;
use lycheelatch_policy::{RequestEvent, ResponseStage};
use lycheelatch_prelude::UpstreamId;
use lycheelatch_upstream::{EngineRequest, EngineStream, ResumePoint, TokenOffset, UpstreamError};
use serde_json::{Map, Value, json};
use tokio::time::Instant;

use super::{ModelCall, engine_of, is_broken, is_stream};
use crate::{AttemptResult, PlaceRequest, PlacedAttempt, Refusal, RefusalReason, Upstream};

impl ModelCall {
    /// Sends the request to an upstream: to `to` first, if given, then to those placement chooses.
    pub(super) async fn connect(&mut self, to: Option<&UpstreamId>) -> Result<(), Refusal> {
        let mut target = to.and_then(|id| self.proxy.registry.get(&self.rec.service().name, id));
        loop {
            let placed = match target.take() {
                Some(upstream) => self.place_at(upstream),
                None => self.place()?,
            };
            if !self.attempts.start() {
                return Err(self.give_up(RefusalReason::Overloaded));
            }
            self.attempt_started = Instant::now();
            self.time_to_first_event = None;
            let service = self.rec.service().name.as_str();
            let kind = if self.attempts.tried.is_empty() { "first" } else { "again" };
            self.proxy.metrics.attempts.with_label_values(&[service, kind]).inc();
            match self.generate(&placed.upstream).await {
                Ok(events) => {
                    self.guard.set_upstream(placed.upstream.id());
                    self.events = Some(events);
                    self.placed = Some(placed);
                    return Ok(());
                }
                Err(err) => self.handle_failed_attempt(&placed, err)?,
            }
        }
    }

    fn place(&mut self) -> Result<PlacedAttempt, Refusal> {
        let req = |exclude| PlaceRequest {
            rec: &self.rec,
            exclude,
            avoid_zone: self.attempts.last_zone.as_ref(),
            response_started: self.next_offset > 0,
        };
        let placed = self.proxy.place.place(&req(&self.attempts.tried));
        // A response that has started may return to an upstream that was already tried.
        let placed = match placed {
            Err(_) if self.next_offset > 0 => self.proxy.place.place(&req(&[])),
            placed => placed,
        };
        placed.map_err(|refusal| Refusal {
            outcome: self.attempts.outcome(RequestEvent::GivenUp),
            ..refusal
        })
    }

    fn place_at(&self, upstream: Arc<Upstream>) -> PlacedAttempt {
        let (exclude, response_started) = (self.attempts.tried.as_slice(), self.next_offset > 0);
        let req = PlaceRequest { rec: &self.rec, exclude, avoid_zone: None, response_started };
        self.proxy.place.place_at(&req, upstream)
    }

    fn handle_failed_attempt(
        &mut self,
        placed: &PlacedAttempt,
        err: UpstreamError,
    ) -> Result<(), Refusal> {
        let result = AttemptResult {
            succeeded: false,
            cut_at: is_broken(&err).then_some(ResponseStage::Waiting),
            time_to_first_byte: None,
            duration: self.attempt_started.elapsed(),
            generated_tokens: 0,
        };
        if !self.attempts.is_first_silence(&placed.upstream, &err) {
            placed.set_result(result);
        }
        self.attempts.record_failure(&placed.upstream, &err);
        let retry = self.proxy.retry.as_ref();
        let is_allowed = match self.next_offset {
            0 => self.attempts.may_retry(retry, &self.rec, &err),
            _ => self.attempts.may_start_attempt(),
        };
        match (is_allowed, self.next_offset) {
            (true, _) => Ok(()),
            (false, 0) => Err(self.attempts.refusal(err)),
            (false, _) => Err(self.give_up(RefusalReason::UpstreamFailed(err.to_string()))),
        }
    }

    /// Returns the request body sent to the engine.
    ///
    /// A response that is a single text is always streamed from the engine, even if the caller
    /// requests a non-streaming response.
    fn engine_body(&self) -> Bytes {
        if !self.req.is_single_text || is_stream(&self.rec) {
            return self.req.body.clone();
        }
        streamed_body(&self.req.body).unwrap_or_else(|| self.req.body.clone())
    }

    async fn generate(&self, upstream: &Upstream) -> Result<EngineStream, UpstreamError> {
        let engine = engine_of(upstream).ok_or(UpstreamError::Unsupported)?;
        let resume = (self.next_offset > 0).then(|| ResumePoint {
            offset: TokenOffset(self.next_offset),
            text: self.text.as_str().into(),
        });
        let req = EngineRequest {
            id: self.rec.id().clone(),
            path: self.req.path.clone(),
            body: self.engine_body(),
            stream: self.req.is_single_text || is_stream(&self.rec),
            priority: self.rec.head.priority,
            timeout: self.rec.time_left(Instant::now()),
            resume,
        };
        engine.generate(req).await
    }
}

/// Returns the body changed to request a stream with token usage.
fn streamed_body(body: &[u8]) -> Option<Bytes> {
    let mut fields: Map<String, Value> = serde_json::from_slice(body).ok()?;
    fields.insert("stream".to_owned(), Value::Bool(true));
    fields.insert("stream_options".to_owned(), json!({"include_usage": true}));
    Some(serde_json::to_vec(&fields).ok()?.into())
}
