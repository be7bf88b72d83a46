//! HTTP client of a plain service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_web::{
    body::{BodyStream as ChunkedBody, BoxBody, MessageBody, SizedStream},
    http::{Method, StatusCode},
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
        call::{
            UpstreamTimeouts, base_url, check_request_id, declared_length, is_unframed,
            refusal_error, reports_not_run, truncated_body,
        },
        headers,
    },
};

/// HTTP client of a plain service.
pub struct HttpPlainService {
    base: Arc<str>,
    timeouts: UpstreamTimeouts,
}

impl HttpPlainService {
    /// Creates a client of the service instance at `addr`.
    pub fn new(addr: SocketAddr, timeouts: UpstreamTimeouts) -> HttpPlainService {
        HttpPlainService { base: base_url(addr), timeouts }
    }

    fn request(&self, req: &PlainRequest) -> Result<awc::ClientRequest, UpstreamError> {
        let invalid = |_| UpstreamError::Connect { reason: "the method can't be sent".into() };
        let method = Method::from_bytes(req.method.as_bytes()).map_err(invalid)?;
        let mut call = client()
            .request(method, format!("{}{}", self.base, req.path))
            .insert_header((headers::REQUEST_ID, req.id.as_str()))
            .insert_header((headers::TIMEOUT_MS, req.timeout.as_millis().to_string()))
            // The connection is not reused, so that a late response can't be taken for that of
            // another request.
            .force_close();
        for (name, value) in &req.headers {
            call = call.append_header((name.as_ref(), value.as_ref()));
        }
        Ok(call)
    }
}

fn request_body(length: Option<u64>, body: BodyStream) -> BoxBody {
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
        let (id, limit, is_head) = (req.id, req.timeout, req.method.as_ref() == "HEAD");
        let response = send_sized(call, request_body(req.length, req.body), limit).await?;
        check_request_id(&id, &response)?;
        if reports_not_run(&response) {
            return Err(refusal_error(&response));
        }
        if !is_head && is_unframed(&response) {
            let reason = "the body has neither a length nor chunks".into();
            return Err(UpstreamError::BadAnswer { reason });
        }
        Ok(convert_response(response, is_head, self.timeouts))
    }
}

fn convert_response(
    response: ClientResponse,
    is_head: bool,
    timeouts: UpstreamTimeouts,
) -> PlainResponse {
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    let status = response.status();
    let has_body = !is_head && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let length = if has_body { declared_length(&response) } else { None };
    let body = ResponseBody { response, received: 0, length, silence: timeouts.silence };
    PlainResponse { status: status.as_u16(), headers, body: body.into_stream() }
}

/// Response body that is read incrementally.
struct ResponseBody {
    response: ClientResponse,
    received: u64,
    length: Option<u64>,
    silence: Duration,
}

impl ResponseBody {
    fn into_stream(self) -> BodyStream {
        Box::pin(stream::unfold(Some(self), |body| async move {
            let mut body = body?;
            let chunk = body.next().await?;
            let rest = chunk.is_ok().then_some(body);
            Some((chunk, rest))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, UpstreamError>> {
        let ms = u64::try_from(self.silence.as_millis()).unwrap_or(u64::MAX);
        match timeout(self.silence, self.response.next()).await {
            Ok(Some(Ok(chunk))) => {
                self.received += chunk.len() as u64;
                Some(Ok(chunk))
            }
            Ok(Some(Err(err))) => Some(Err(SendFailure::from(err).into())),
            Ok(None) => {
                let expected = self.length.filter(|length| self.received < *length)?;
                Some(Err(truncated_body(self.received, expected)))
            }
            Err(_) => Some(Err(UpstreamError::Silent { ms })),
        }
    }
}
