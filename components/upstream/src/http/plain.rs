//! A plain service over HTTP.

use std::{net::SocketAddr, sync::Arc};

use actix_web::{
    body::{BodyStream as ChunkedBody, BoxBody, MessageBody, SizedStream},
    http::Method,
};
use async_trait::async_trait;
use awc::ClientResponse;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use lycheelatch_http::{SendFailure, client, send_sized};
use tokio::time::timeout;

use crate::{
    BodyStream, PlainRequest, PlainResponse, PlainService, UpstreamError,
    http::{
        call::{UpstreamTimeouts, base_url, check_request_id, refusal, says_not_run},
        headers,
    },
};

/// A plain service over HTTP.
pub struct HttpPlainService {
    base: Arc<str>,
    timeouts: UpstreamTimeouts,
}

impl HttpPlainService {
    /// Creates a client of the service's process at `addr`.
    pub fn new(addr: SocketAddr, timeouts: UpstreamTimeouts) -> HttpPlainService {
        HttpPlainService { base: base_url(addr), timeouts }
    }

    fn request(&self, req: &PlainRequest) -> Result<awc::ClientRequest, UpstreamError> {
        let bad = |_| UpstreamError::Connect { reason: "the method can't be sent".into() };
        let method = Method::from_bytes(req.method.as_bytes()).map_err(bad)?;
        let mut call = client()
            .request(method, format!("{}{}", self.base, req.path))
            .insert_header((headers::REQUEST_ID, req.id.as_str()))
            .insert_header((headers::TIMEOUT_MS, req.timeout.as_millis().to_string()));
        for (name, value) in &req.headers {
            call = call.append_header((name.as_ref(), value.as_ref()));
        }
        Ok(call)
    }
}

fn body_of(length: Option<u64>, body: BodyStream) -> BoxBody {
    match length {
        Some(0) => ().boxed(),
        Some(length) => SizedStream::new(length, body).boxed(),
        None => ChunkedBody::new(body).boxed(),
    }
}

#[async_trait(?Send)]
impl PlainService for HttpPlainService {
    async fn call(&self, req: PlainRequest) -> Result<PlainResponse, UpstreamError> {
        let call = self.request(&req)?;
        let (id, limit) = (req.id, req.timeout);
        let answer = send_sized(call, body_of(req.length, req.body), limit).await?;
        check_request_id(&id, &answer)?;
        if says_not_run(&answer) {
            return Err(refusal(&answer));
        }
        Ok(response(answer, self.timeouts))
    }
}

fn response(answer: ClientResponse, timeouts: UpstreamTimeouts) -> PlainResponse {
    let headers = answer
        .headers()
        .iter()
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    PlainResponse { status: answer.status().as_u16(), headers, body: read_chunks(answer, timeouts) }
}

fn read_chunks(answer: ClientResponse, timeouts: UpstreamTimeouts) -> BodyStream {
    let silence = timeouts.silence;
    let ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
    Box::pin(stream::unfold(Some(answer), move |answer| async move {
        let mut answer = answer?;
        match timeout(silence, answer.next()).await {
            Ok(None) => None,
            Ok(Some(Ok(chunk))) => Some((Ok(chunk), Some(answer))),
            Ok(Some(Err(err))) => Some((Err(SendFailure::from(err).into()), None)),
            Err(_) => Some((Err(UpstreamError::Silent { ms }), None)),
        }
    }))
}
