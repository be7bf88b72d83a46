//! HTTP endpoint of a platform service.

use std::{sync::Arc, time::Duration};

use actix_web::http::{Method, StatusCode};
use awc::ClientResponse;
use bytes::Bytes;
use lycheelatch_http::{SendFailure, client, read_body, send};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Base URL of a service and the timeout of its calls.
#[derive(Debug, Clone)]
pub struct Endpoint {
    base_url: Arc<str>,
    timeout: Duration,
}

/// Response with its complete body.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) index: Option<u64>,
    pub(crate) body: Bytes,
}

impl Response {
    /// Parses the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, SendFailure> {
        let invalid = |err: serde_json::Error| SendFailure::BadAnswer(err.to_string().into());
        serde_json::from_slice(&self.body).map_err(invalid)
    }

    /// Parses the body as JSON if the status is a success.
    pub(crate) fn success_json<T: DeserializeOwned>(&self) -> Result<T, SendFailure> {
        if !self.status.is_success() {
            return Err(self.unexpected_status());
        }
        self.json()
    }

    /// Returns the failure for an unexpected status.
    ///
    /// If a service is overloaded or down, a gateway in front of it may respond
    /// instead, and its status doesn't show whether a write took effect.
    pub(crate) fn unexpected_status(&self) -> SendFailure {
        let status = self.status;
        match status {
            StatusCode::TOO_MANY_REQUESTS => {
                SendFailure::NotSent(format!("request refused with status {status}").into())
            }
            _ => SendFailure::BadAnswer(format!("unexpected status {status}").into()),
        }
    }
}

impl Endpoint {
    /// Creates an endpoint from its base URL and the timeout of a call.
    pub fn new(base_url: &str, timeout: Duration) -> Endpoint {
        Endpoint { base_url: base_url.trim_end_matches('/').into(), timeout }
    }

    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, SendFailure> {
        self.call_long_poll(method, path, body, Duration::ZERO).await
    }

    /// Makes a long-polling call, whose timeout is extended by `wait`.
    pub(crate) async fn call_long_poll(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Response, SendFailure> {
        let url = format!("{}{path}", self.base_url);
        let timeout = self.timeout + wait;
        let response = send(client().request(method, url), body, timeout).await?;
        read_response(response, timeout).await
    }

    pub(crate) async fn send_json<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<Response, SendFailure> {
        let body =
            serde_json::to_vec(body).map_err(|err| SendFailure::NotSent(err.to_string().into()))?;
        let url = format!("{}{path}", self.base_url);
        let req = client().request(method, url).content_type("application/json");
        let response = send(req, body.into(), self.timeout).await?;
        read_response(response, self.timeout).await
    }
}

async fn read_response(
    mut response: ClientResponse,
    timeout: Duration,
) -> Result<Response, SendFailure> {
    let status = response.status();
    let index = response.headers().get("X-Consul-Index");
    let index = index.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = read_body(&mut response, MAX_RESPONSE_BYTES, timeout).await?;
    Ok(Response { status, index, body })
}

/// Percent-encodes a text for use as a path segment or a query value.
pub(crate) fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-._~".contains(&b) {
            escaped.push(char::from(b));
        } else {
            escaped.push_str(&format!("%{b:02X}"));
        }
    }
    escaped
}
