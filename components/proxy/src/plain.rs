//! One call of a plain service.

use std::{io, sync::Arc};

use actix_web::{
    HttpResponse,
    http::{
        StatusCode,
        header::{HeaderName, HeaderValue},
    },
    web,
};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, TryStreamExt, stream};
use lycheelatch_claims::{BODY_NOT_KEPT_HEADER, StoredResponse};
use lycheelatch_policy::RequestEvent;
use lycheelatch_prelude::Outcome;
use lycheelatch_upstream::{BodyStream, PlainRequest, PlainResponse, PlainService, UpstreamError};
use tokio::time::{Instant, timeout};

use crate::{
    Kind, Observation, PlaceAsk, Placed, Proxy, Record, Refusal, RefusalReason, Target,
    attempt::{Attempts, MAX_ATTEMPTS},
    head::{OUTCOME_HEADER, REQUEST_ID_HEADER, is_passed_on},
    settle::{Open, settle, settle_later},
};

/// Longest answer that is read whole before its head goes out, in bytes.
const MAX_WHOLE_BYTES: usize = 256 * 1024;

/// Headers that are passed on.
pub(crate) type PassedHeaders = Vec<(Arc<str>, Bytes)>;

/// Body of a caller's request.
pub(crate) enum RequestBody {
    /// Read whole, so that it can be sent again.
    Whole(Bytes),
    /// Sent on as it comes, once.
    Stream {
        /// Length, in bytes, where the caller says it.
        length: Option<u64>,
        /// Chunks.
        payload: web::Payload,
    },
}

/// One call of a plain service.
pub(crate) struct PlainCall {
    proxy: Arc<Proxy>,
    rec: Record,
    headers: PassedHeaders,
    body: Option<RequestBody>,
    attempts: Attempts,
    settled: bool,
    _open: Open,
}

/// An answer whose head has come.
struct Answered {
    placed: Placed,
    status: StatusCode,
    headers: PassedHeaders,
    start: Bytes,
    /// What follows `start`; none when that is all.
    rest: Option<BodyStream>,
}

impl PlainCall {
    pub(crate) fn new(
        proxy: Arc<Proxy>,
        rec: Record,
        headers: PassedHeaders,
        body: RequestBody,
    ) -> PlainCall {
        let open = Open::new(proxy.clone());
        let attempts = Attempts::new(rec.idempotency, false, MAX_ATTEMPTS);
        PlainCall { proxy, rec, headers, body: Some(body), attempts, settled: false, _open: open }
    }

    /// Calls the service and returns the answer to the caller.
    pub(crate) async fn run(mut self) -> HttpResponse {
        match self.attempt_until_answered().await {
            Ok(answered) => self.answer(answered).await,
            Err(refusal) => {
                self.settled = true;
                settle(&self.proxy, &mut self.rec, refusal.outcome, None).await;
                refusal.into_response(self.rec.id())
            }
        }
    }

    async fn attempt_until_answered(&mut self) -> Result<Answered, Refusal> {
        loop {
            let (body, may_repeat) = self.take_body();
            let placed = self.place()?;
            if !self.attempts.start() {
                let outcome = self.attempts.outcome(RequestEvent::GivenUp);
                return Err(Refusal {
                    reason: RefusalReason::Overloaded,
                    outcome,
                    retry_after: None,
                });
            }
            let started = Instant::now();
            let result = self.attempt(&placed, body).await;
            self.observe(&placed, started, &result);
            let err = match result {
                Ok((head, start, rest)) => {
                    self.attempts.began();
                    let (status, headers) = head;
                    return Ok(Answered { placed, status, headers, start, rest });
                }
                Err(err) => err,
            };
            self.attempts.failed(&placed.upstream, &err);
            let retry = self.proxy.retry.as_ref();
            if !may_repeat || !self.attempts.may_retry(retry, &self.rec, &err) {
                return Err(self.attempts.refusal(err));
            }
        }
    }

    /// Returns the body for one attempt, and whether there is one for another.
    fn take_body(&mut self) -> (RequestBody, bool) {
        match self.body.take() {
            Some(RequestBody::Whole(body)) => {
                self.body = Some(RequestBody::Whole(body.clone()));
                (RequestBody::Whole(body), true)
            }
            Some(stream) => (stream, false),
            None => (RequestBody::Whole(Bytes::new()), false),
        }
    }

    fn place(&mut self) -> Result<Placed, Refusal> {
        let ask = PlaceAsk {
            rec: &self.rec,
            exclude: &self.attempts.tried,
            avoid_zone: self.attempts.last_zone.as_ref(),
            has_begun: false,
        };
        let placed = self.proxy.place.place(&ask);
        placed.map_err(|refusal| Refusal {
            outcome: self.attempts.outcome(RequestEvent::GivenUp),
            ..refusal
        })
    }

    fn observe<T>(&self, placed: &Placed, started: Instant, result: &Result<T, UpstreamError>) {
        let service = self.rec.service().name.as_str();
        let kind = if self.attempts.tried.is_empty() { "first" } else { "again" };
        self.proxy.metrics.attempts.with_label_values(&[service, kind]).inc();
        let is_silent =
            result.as_ref().is_err_and(|err| self.attempts.is_silent_first(&placed.upstream, err));
        if is_silent {
            return;
        }
        let total = started.elapsed();
        let ok = result.is_ok();
        let seen = Observation { ok, first: ok.then_some(total), total, tokens: 0 };
        placed.observe(seen);
    }

    async fn attempt(
        &self,
        placed: &Placed,
        body: RequestBody,
    ) -> Result<((StatusCode, PassedHeaders), Bytes, Option<BodyStream>), UpstreamError> {
        let service = plain_of(placed)?;
        let left = self.rec.time_left(Instant::now());
        let req = self.request(body, left)?;
        let attempt = async {
            let answer = service.call(req).await?;
            let status = StatusCode::from_u16(answer.status).map_err(|_| {
                UpstreamError::BadAnswer { reason: format!("status {}", answer.status).into() }
            })?;
            let headers = passed_headers(&answer);
            let (start, rest) = read_start(answer.body).await?;
            Ok(((status, headers), start, rest))
        };
        let ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        timeout(left, attempt).await.map_err(|_| UpstreamError::Silent { ms })?
    }

    fn request(
        &self,
        body: RequestBody,
        left: std::time::Duration,
    ) -> Result<PlainRequest, UpstreamError> {
        let Kind::Plain { method, path } = &self.rec.kind else {
            return Err(UpstreamError::Unsupported);
        };
        let (length, body) = to_upstream(body);
        Ok(PlainRequest {
            id: self.rec.id().clone(),
            method: method.clone(),
            path: path.clone(),
            headers: self.headers.clone(),
            length,
            body,
            timeout: left,
        })
    }

    async fn answer(mut self, answered: Answered) -> HttpResponse {
        self.note_first_byte();
        if answered.rest.is_some() {
            return self.answer_streaming(answered);
        }
        let outcome = self.attempts.finish(answered.status.as_u16());
        self.settled = true;
        let stored = StoredResponse {
            status: answered.status.as_u16(),
            headers: answered.headers.clone(),
            body: answered.start.clone(),
        };
        settle(&self.proxy, &mut self.rec, outcome, Some(stored)).await;
        let mut response = self.head(&answered, outcome);
        response.body(answered.start)
    }

    fn note_first_byte(&self) {
        let service = self.rec.service().name.as_str();
        let seconds = self.rec.head.arrived.elapsed().as_secs_f64();
        self.proxy.metrics.first_byte.with_label_values(&[service]).observe(seconds);
    }

    /// Relays an answer that is too long to read whole first.
    ///
    /// Its head says `unknown`, since the end is not seen yet; HTTP's framing
    /// tells the caller whether the answer is whole.
    fn answer_streaming(mut self, mut answered: Answered) -> HttpResponse {
        self.attempts.relayed();
        let mut response = self.head(&answered, Outcome::Unknown);
        let rest = answered.rest.take();
        let start = answered.start.clone();
        let status = answered.status.as_u16();
        let relaying = Relaying { call: self, rest, status, placed: answered.placed };
        let first = stream::iter([Ok::<_, io::Error>(start)]);
        response.streaming(first.chain(relaying.into_stream()))
    }

    fn head(&self, answered: &Answered, outcome: Outcome) -> actix_web::HttpResponseBuilder {
        let mut response = HttpResponse::build(answered.status);
        append_headers(&mut response, &answered.headers);
        response
            .insert_header((REQUEST_ID_HEADER, self.rec.id().as_str()))
            .insert_header((OUTCOME_HEADER, outcome.as_str()));
        response
    }
}

impl Drop for PlainCall {
    fn drop(&mut self) {
        if !self.settled {
            let outcome = self.attempts.outcome(RequestEvent::Cancelled);
            settle_later(&self.proxy, &mut self.rec, outcome);
        }
    }
}

/// The rest of an answer on its way to the caller.
struct Relaying {
    call: PlainCall,
    rest: Option<BodyStream>,
    status: u16,
    placed: Placed,
}

impl Relaying {
    fn into_stream(self) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
        stream::unfold(self, |mut relaying| async move {
            let chunk = relaying.next_chunk().await?;
            Some((chunk, relaying))
        })
    }

    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        match self.rest.as_mut()?.next().await {
            Some(Ok(chunk)) => Some(Ok(chunk)),
            Some(Err(err)) => {
                let attempts = &mut self.call.attempts;
                attempts.failed(&self.placed.upstream, &err);
                let outcome = attempts.outcome(RequestEvent::GivenUp);
                self.finish(outcome, None).await;
                Some(Err(io::Error::other(err)))
            }
            None => {
                let outcome = self.call.attempts.finish(self.status);
                // The body was not kept, so a later request with the same key gets the head alone.
                let note = (BODY_NOT_KEPT_HEADER.into(), Bytes::from_static(b"true"));
                let stored =
                    StoredResponse { status: self.status, headers: vec![note], body: Bytes::new() };
                self.finish(outcome, Some(stored)).await;
                None
            }
        }
    }

    async fn finish(&mut self, outcome: Outcome, stored: Option<StoredResponse>) {
        self.rest = None;
        self.call.settled = true;
        settle(&self.call.proxy, &mut self.call.rec, outcome, stored).await;
    }
}

fn plain_of(placed: &Placed) -> Result<Arc<dyn PlainService>, UpstreamError> {
    match &placed.upstream.target {
        Target::Plain(service) => Ok(service.clone()),
        Target::Engine(_) => Err(UpstreamError::Unsupported),
    }
}

fn to_upstream(body: RequestBody) -> (Option<u64>, BodyStream) {
    match body {
        RequestBody::Whole(body) => (Some(body.len() as u64), Box::pin(stream::iter([Ok(body)]))),
        RequestBody::Stream { length, payload } => {
            let broken = |err: actix_web::error::PayloadError| UpstreamError::Broken {
                reason: format!("the caller's body: {err}").into(),
            };
            (length, Box::pin(payload.map_err(broken)))
        }
    }
}

fn passed_headers(answer: &PlainResponse) -> PassedHeaders {
    let is_passed = |name: &str| HeaderName::try_from(name).is_ok_and(|name| is_passed_on(&name));
    answer.headers.iter().filter(|(name, _)| is_passed(name)).cloned().collect()
}

/// Reads the start of a body; the rest is none when the body ends within it.
async fn read_start(mut body: BodyStream) -> Result<(Bytes, Option<BodyStream>), UpstreamError> {
    let mut buf = BytesMut::new();
    while buf.len() < MAX_WHOLE_BYTES {
        match body.next().await {
            Some(chunk) => buf.extend_from_slice(&chunk?),
            None => return Ok((buf.freeze(), None)),
        }
    }
    Ok((buf.freeze(), Some(body)))
}

/// Adds headers to an answer.
pub(crate) fn append_headers(
    response: &mut actix_web::HttpResponseBuilder,
    headers: &[(Arc<str>, Bytes)],
) {
    for (name, value) in headers {
        let name = HeaderName::try_from(name.as_ref());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.append_header((name, value));
        }
    }
}

/// Returns the refusal of a call whose task ended without an answer.
pub(crate) fn task_lost() -> Refusal {
    Refusal::unknown(RefusalReason::UpstreamFailed("the call ended early".to_owned()))
}
