//! Calls of plain services.

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
    AttemptResult, PlaceRequest, PlacedAttempt, Proxy, Record, Refusal, RefusalReason, RequestKind,
    UpstreamClient,
    attempt::{Attempts, MAX_ATTEMPTS},
    head::{OUTCOME_HEADER, REQUEST_ID_HEADER, is_forwarded},
    settle::{OpenRequestGuard, settle, settle_later},
};

/// Size up to which a response is buffered before its head is sent to the caller, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Headers that are forwarded between caller and upstream.
pub(crate) type ForwardedHeaders = Vec<(Arc<str>, Bytes)>;

/// Body of a caller's request.
pub(crate) enum RequestBody {
    /// A buffered body, which can be sent again on a retry.
    Whole(Bytes),
    /// A body that is streamed to the upstream, which can be sent only once.
    Stream {
        /// Length in bytes, if the caller declares it.
        length: Option<u64>,
        /// Chunks of the body.
        payload: web::Payload,
    },
}

/// A call of a plain service.
pub(crate) struct PlainCall {
    proxy: Arc<Proxy>,
    rec: Record,
    headers: ForwardedHeaders,
    body: Option<RequestBody>,
    attempts: Attempts,
    settled: bool,
    _open: OpenRequestGuard,
}

/// A response of an upstream whose head was received.
struct UpstreamResponse {
    placed: PlacedAttempt,
    status: StatusCode,
    headers: ForwardedHeaders,
    start: Bytes,
    /// The rest of the body; none if it ends with `start`.
    rest: Option<BodyStream>,
}

impl PlainCall {
    pub(crate) fn new(
        proxy: Arc<Proxy>,
        rec: Record,
        headers: ForwardedHeaders,
        body: RequestBody,
    ) -> PlainCall {
        let open = OpenRequestGuard::new(proxy.clone());
        let attempts = Attempts::new(rec.idempotency, false, MAX_ATTEMPTS);
        PlainCall { proxy, rec, headers, body: Some(body), attempts, settled: false, _open: open }
    }

    /// Calls the service and returns the response to the caller.
    pub(crate) async fn run(mut self) -> HttpResponse {
        match self.attempt_until_response().await {
            Ok(upstream_response) => self.respond(upstream_response).await,
            Err(refusal) => {
                self.settled = true;
                settle(&self.proxy, &mut self.rec, refusal.outcome, None).await;
                refusal.into_response(self.rec.id())
            }
        }
    }

    async fn attempt_until_response(&mut self) -> Result<UpstreamResponse, Refusal> {
        loop {
            let (body, is_repeatable) = self.take_body();
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
            self.report_result(&placed, started, &result);
            let err = match result {
                Ok((head, start, rest)) => {
                    self.attempts.record_response_start();
                    let (status, headers) = head;
                    return Ok(UpstreamResponse { placed, status, headers, start, rest });
                }
                Err(err) => err,
            };
            self.attempts.record_failure(&placed.upstream, &err);
            let retry = self.proxy.retry.as_ref();
            if !is_repeatable || !self.attempts.may_retry(retry, &self.rec, &err) {
                return Err(self.attempts.refusal(err));
            }
        }
    }

    /// Returns the body for one attempt, and whether the body can be sent again.
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

    fn place(&mut self) -> Result<PlacedAttempt, Refusal> {
        let req = PlaceRequest {
            rec: &self.rec,
            exclude: &self.attempts.tried,
            avoid_zone: self.attempts.last_zone.as_ref(),
            response_started: false,
        };
        let placed = self.proxy.place.place(&req);
        placed.map_err(|refusal| Refusal {
            outcome: self.attempts.outcome(RequestEvent::GivenUp),
            ..refusal
        })
    }

    fn report_result<T>(
        &self,
        placed: &PlacedAttempt,
        started: Instant,
        result: &Result<T, UpstreamError>,
    ) {
        let service = self.rec.service().name.as_str();
        let kind = if self.attempts.tried.is_empty() { "first" } else { "again" };
        self.proxy.metrics.attempts.with_label_values(&[service, kind]).inc();
        let is_silent =
            result.as_ref().is_err_and(|err| self.attempts.is_first_silence(&placed.upstream, err));
        if is_silent {
            return;
        }
        let duration = started.elapsed();
        let succeeded = result.is_ok();
        let result = AttemptResult {
            cut_at: None,
            succeeded,
            time_to_first_byte: succeeded.then_some(duration),
            duration,
            generated_tokens: 0,
        };
        placed.set_result(result);
    }

    async fn attempt(
        &self,
        placed: &PlacedAttempt,
        body: RequestBody,
    ) -> Result<((StatusCode, ForwardedHeaders), Bytes, Option<BodyStream>), UpstreamError> {
        let service = plain_client(placed)?;
        let time_left = self.rec.time_left(Instant::now());
        let req = self.request(body, time_left)?;
        let attempt = async {
            let response = service.call(req).await?;
            let status = StatusCode::from_u16(response.status).map_err(|_| {
                UpstreamError::BadAnswer { reason: format!("status {}", response.status).into() }
            })?;
            let headers = forwarded_headers(&response);
            let (start, rest) = read_start(response.body).await?;
            Ok(((status, headers), start, rest))
        };
        let ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        timeout(time_left, attempt).await.map_err(|_| UpstreamError::Silent { ms })?
    }

    fn request(
        &self,
        body: RequestBody,
        time_left: std::time::Duration,
    ) -> Result<PlainRequest, UpstreamError> {
        let RequestKind::Plain { method, path } = &self.rec.kind else {
            return Err(UpstreamError::Unsupported);
        };
        let (length, body) = upstream_body(body);
        Ok(PlainRequest {
            id: self.rec.id().clone(),
            method: method.clone(),
            path: path.clone(),
            headers: self.headers.clone(),
            length,
            body,
            timeout: time_left,
        })
    }

    async fn respond(mut self, upstream_response: UpstreamResponse) -> HttpResponse {
        self.record_first_byte();
        if upstream_response.rest.is_some() {
            return self.respond_streaming(upstream_response);
        }
        let outcome = self.attempts.finish(upstream_response.status.as_u16());
        self.settled = true;
        let stored = StoredResponse {
            status: upstream_response.status.as_u16(),
            headers: upstream_response.headers.clone(),
            body: upstream_response.start.clone(),
        };
        settle(&self.proxy, &mut self.rec, outcome, Some(stored)).await;
        let mut response = self.response_head(&upstream_response, outcome);
        response.body(upstream_response.start)
    }

    fn record_first_byte(&self) {
        let service = self.rec.service().name.as_str();
        let seconds = self.rec.head.arrived.elapsed().as_secs_f64();
        self.proxy.metrics.first_byte.with_label_values(&[service]).observe(seconds);
    }

    /// Streams a response that is too long to buffer.
    ///
    /// The outcome header is `unknown`, because the outcome is not known when the head is sent;
    /// the HTTP framing shows the caller whether the response is complete.
    fn respond_streaming(mut self, mut upstream_response: UpstreamResponse) -> HttpResponse {
        self.attempts.record_relay();
        let mut response = self.response_head(&upstream_response, Outcome::Unknown);
        let rest = upstream_response.rest.take();
        let start = upstream_response.start.clone();
        let status = upstream_response.status.as_u16();
        let streamed =
            StreamedResponse { call: self, rest, status, placed: upstream_response.placed };
        let first = stream::iter([Ok::<_, io::Error>(start)]);
        response.streaming(first.chain(streamed.into_stream()))
    }

    fn response_head(
        &self,
        upstream_response: &UpstreamResponse,
        outcome: Outcome,
    ) -> actix_web::HttpResponseBuilder {
        let mut response = HttpResponse::build(upstream_response.status);
        append_headers(&mut response, &upstream_response.headers);
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

/// A response body that is being streamed to the caller.
struct StreamedResponse {
    call: PlainCall,
    rest: Option<BodyStream>,
    status: u16,
    placed: PlacedAttempt,
}

impl StreamedResponse {
    fn into_stream(self) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
        stream::unfold(self, |mut streamed| async move {
            let chunk = streamed.next_chunk().await?;
            Some((chunk, streamed))
        })
    }

    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        match self.rest.as_mut()?.next().await {
            Some(Ok(chunk)) => Some(Ok(chunk)),
            Some(Err(err)) => {
                let attempts = &mut self.call.attempts;
                attempts.record_failure(&self.placed.upstream, &err);
                let outcome = attempts.outcome(RequestEvent::GivenUp);
                self.finish(outcome, None).await;
                Some(Err(io::Error::other(err)))
            }
            None => {
                let outcome = self.call.attempts.finish(self.status);
                // The body was not stored: a later request with the same key gets only the head.
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

fn plain_client(placed: &PlacedAttempt) -> Result<Arc<dyn PlainService>, UpstreamError> {
    match &placed.upstream.client {
        UpstreamClient::Plain(service) => Ok(service.clone()),
        UpstreamClient::Engine(_) => Err(UpstreamError::Unsupported),
    }
}

fn upstream_body(body: RequestBody) -> (Option<u64>, BodyStream) {
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

fn forwarded_headers(response: &PlainResponse) -> ForwardedHeaders {
    let is_name_forwarded =
        |name: &str| HeaderName::try_from(name).is_ok_and(|name| is_forwarded(&name));
    response.headers.iter().filter(|(name, _)| is_name_forwarded(name)).cloned().collect()
}

/// Reads the start of a body; the rest is none if the body ends within the start.
async fn read_start(mut body: BodyStream) -> Result<(Bytes, Option<BodyStream>), UpstreamError> {
    let mut buf = BytesMut::new();
    while buf.len() < MAX_BUFFERED_BYTES {
        match body.next().await {
            Some(chunk) => buf.extend_from_slice(&chunk?),
            None => return Ok((buf.freeze(), None)),
        }
    }
    Ok((buf.freeze(), Some(body)))
}

/// Adds headers to a response.
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

/// Returns the refusal of a call whose task ended without a response.
pub(crate) fn task_failure() -> Refusal {
    Refusal::unknown(RefusalReason::UpstreamFailed("the call ended early".to_owned()))
}
