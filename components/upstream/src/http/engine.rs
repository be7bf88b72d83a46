//! HTTP client of a model engine.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_web::http::{Method, StatusCode};
use async_trait::async_trait;
use awc::{ClientRequest, ClientResponse};
use bytes::Bytes;
use futures_util::stream;
use lycheelatch_http::{client, read_body, read_json, send};
use lycheelatch_prelude::{Fence, RequestId, Sequence};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::{
    CacheEvents, Engine, EngineRequest, EngineStream, KvBlob, LoadReport, Order, ResumePoint,
    StreamEvent, TokenOffset, UpstreamError,
    http::{
        call::{
            UpstreamTimeouts, base_url, check_request_id, declared_length, is_engine_refusal,
            refusal_error, reports_not_run, truncated_body,
        },
        headers,
        stream::read_events,
        wire::{ResumeWire, StaleFenceWire},
    },
};

/// Maximum size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Maximum size of an exported KV cache, in bytes.
const MAX_KV_BYTES: usize = 1 << 30;

/// HTTP client of a model engine.
pub struct HttpEngine {
    base: Arc<str>,
    timeouts: UpstreamTimeouts,
}

impl HttpEngine {
    /// Creates a client of the engine at `addr`.
    pub fn new(addr: SocketAddr, timeouts: UpstreamTimeouts) -> HttpEngine {
        HttpEngine { base: base_url(addr), timeouts }
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        client().request(method, format!("{}{path}", self.base))
    }

    async fn short_call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ClientResponse, UpstreamError> {
        let req = self.request(method, path).content_type("application/json");
        let response = send(req, body, self.timeouts.call).await?;
        match response.status() {
            status if status.is_success() => Ok(response),
            StatusCode::NOT_IMPLEMENTED => Err(UpstreamError::Unsupported),
            status if is_engine_refusal(status) => Err(refusal_error(&response)),
            status => Err(UpstreamError::BadAnswer { reason: format!("status {status}").into() }),
        }
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, UpstreamError> {
        let response = self.short_call(Method::GET, path, Bytes::new()).await?;
        Ok(read_json(response, MAX_RESPONSE_BYTES, self.timeouts.call).await?)
    }

    async fn read_buffered(&self, response: ClientResponse) -> Result<EngineStream, UpstreamError> {
        let length = declared_length(&response);
        let body = read_body(response, MAX_RESPONSE_BYTES, self.timeouts.silence).await?;
        let received = body.len() as u64;
        if let Some(expected) = length.filter(|length| received < *length) {
            return Err(truncated_body(received, expected));
        }
        let events = [Ok(StreamEvent::Other(body)), Ok(StreamEvent::Done)];
        Ok(Box::pin(stream::iter(events)))
    }
}

fn kv_path(id: &RequestId) -> String {
    format!("/v1/requests/{id}/kv")
}

fn body_with_resume(body: &Bytes, resume: &ResumePoint) -> Result<Bytes, UpstreamError> {
    let invalid =
        |err: serde_json::Error| UpstreamError::BadAnswer { reason: err.to_string().into() };
    let mut object: Map<String, Value> = serde_json::from_slice(body).map_err(invalid)?;
    let wire = ResumeWire { offset: resume.offset.0, text: resume.text.as_ref().to_owned() };
    object.insert("resume".to_owned(), serde_json::to_value(wire).map_err(invalid)?);
    Ok(serde_json::to_vec(&object).map_err(invalid)?.into())
}

#[async_trait(?Send)]
impl Engine for HttpEngine {
    async fn generate(&self, req: EngineRequest) -> Result<EngineStream, UpstreamError> {
        let body = match &req.resume {
            Some(resume) => body_with_resume(&req.body, resume)?,
            None => req.body,
        };
        let call = self
            .request(Method::POST, &req.path)
            .content_type("application/json")
            .insert_header((headers::REQUEST_ID, req.id.as_str()))
            .insert_header((headers::PRIORITY, req.priority.to_string()))
            .insert_header((headers::TIMEOUT_MS, req.timeout.as_millis().to_string()))
            // The connection is not reused, so that a late response can't be taken for that of
            // another request.
            .force_close();
        // The head of a response that is not streamed is sent only once the response is complete.
        let limit = if req.stream { self.timeouts.silence.min(req.timeout) } else { req.timeout };
        let response = send(call, body, limit).await?;
        check_request_id(&req.id, &response)?;
        let status = response.status();
        if is_engine_refusal(status) || reports_not_run(&response) {
            return Err(refusal_error(&response));
        }
        if !status.is_success() {
            return Err(rejection_error(response, self.timeouts.call).await);
        }
        if !req.stream {
            return self.read_buffered(response).await;
        }
        let first = req.resume.map_or(TokenOffset(0), |resume| resume.offset);
        Ok(read_events(response, first, self.timeouts.silence))
    }

    async fn cancel(&self, id: &RequestId) -> Result<(), UpstreamError> {
        self.short_call(Method::POST, &format!("/v1/requests/{id}/cancel"), Bytes::new()).await?;
        Ok(())
    }

    async fn load_report(&self) -> Result<LoadReport, UpstreamError> {
        self.get_json("/v1/load").await
    }

    async fn cache_events(&self, after: Sequence) -> Result<CacheEvents, UpstreamError> {
        self.get_json(&format!("/v1/cache/events?after={after}")).await
    }

    async fn order(&self, order: &Order) -> Result<(), UpstreamError> {
        let invalid =
            |err: serde_json::Error| UpstreamError::BadAnswer { reason: err.to_string().into() };
        let body = serde_json::to_vec(order).map_err(invalid)?;
        let req = self.request(Method::POST, "/v1/orders").content_type("application/json");
        let response = send(req, body.into(), self.timeouts.call).await?;
        match response.status() {
            status if status.is_success() => Ok(()),
            StatusCode::CONFLICT => {
                let wire: StaleFenceWire =
                    read_json(response, MAX_RESPONSE_BYTES, self.timeouts.call).await?;
                Err(stale_fence(order.fence, wire.seen))
            }
            StatusCode::NOT_IMPLEMENTED => Err(UpstreamError::Unsupported),
            status if is_engine_refusal(status) => Err(refusal_error(&response)),
            status => Err(UpstreamError::BadAnswer { reason: format!("status {status}").into() }),
        }
    }

    async fn export_kv(&self, id: &RequestId) -> Result<KvBlob, UpstreamError> {
        let response = self.short_call(Method::GET, &kv_path(id), Bytes::new()).await?;
        let tokens = response.headers().get(headers::KV_TOKENS);
        let tokens = tokens.and_then(|value| value.to_str().ok()?.parse().ok());
        let missing =
            || UpstreamError::BadAnswer { reason: "the header X-Kv-Tokens is missing".into() };
        let tokens = tokens.ok_or_else(missing)?;
        let data = read_body(response, MAX_KV_BYTES, self.timeouts.silence).await?;
        Ok(KvBlob { request: id.clone(), tokens, data })
    }

    async fn import_kv(&self, blob: &KvBlob) -> Result<(), UpstreamError> {
        let req = self
            .request(Method::PUT, &kv_path(&blob.request))
            .insert_header((headers::KV_TOKENS, blob.tokens.to_string()));
        let response = send(req, blob.data.clone(), self.timeouts.silence).await?;
        match response.status() {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_IMPLEMENTED => Err(UpstreamError::Unsupported),
            _ => Err(refusal_error(&response)),
        }
    }
}

fn stale_fence(given: Fence, seen: Fence) -> UpstreamError {
    UpstreamError::StaleFence { given, seen }
}

/// Maximum size of a rejection body that is forwarded, in bytes.
const MAX_REJECTION_BYTES: usize = 64 * 1024;

async fn rejection_error(response: ClientResponse, limit: Duration) -> UpstreamError {
    let status = response.status();
    match read_body(response, MAX_REJECTION_BYTES, limit).await {
        Ok(body) if status.is_client_error() => {
            UpstreamError::Rejected { status: status.as_u16(), body }
        }
        _ => UpstreamError::BadAnswer { reason: format!("status {status}").into() },
    }
}
