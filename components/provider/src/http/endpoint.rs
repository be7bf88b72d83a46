//! One HTTP service of the platform.

use std::{sync::Arc, time::Duration};

use actix_web::http::{Method, StatusCode};
use awc::ClientResponse;
use bytes::Bytes;
use lycheelatch_http::{SendFailure, client, read_body, send};
use serde::{Serialize, de::DeserializeOwned};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Where a service is and how long a call may take.
#[derive(Debug, Clone)]
pub struct Endpoint {
    base: Arc<str>,
    timeout: Duration,
}

/// A whole answer.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) index: Option<u64>,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Reads the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, SendFailure> {
        let bad = |err: serde_json::Error| SendFailure::BadAnswer(err.to_string().into());
        serde_json::from_slice(&self.body).map_err(bad)
    }

    /// Reads the body as JSON after checking that the status means success.
    pub(crate) fn ok_json<T: DeserializeOwned>(&self) -> Result<T, SendFailure> {
        if !self.status.is_success() {
            return Err(self.bad_status());
        }
        self.json()
    }

    /// Returns the failure of an answer whose status is not expected.
    ///
    /// A service that is overloaded or gone answers with a gateway's status,
    /// which does not tell whether a write took effect.
    pub(crate) fn bad_status(&self) -> SendFailure {
        let status = self.status;
        match status {
            StatusCode::TOO_MANY_REQUESTS => {
                SendFailure::NotSent(format!("refused with status {status}").into())
            }
            _ => SendFailure::BadAnswer(format!("status {status}").into()),
        }
    }
}

impl Endpoint {
    /// Creates an endpoint from the base of its URLs and the time limit of a call.
    pub fn new(base: &str, timeout: Duration) -> Endpoint {
        Endpoint { base: base.trim_end_matches('/').into(), timeout }
    }

    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, SendFailure> {
        self.call_waiting(method, path, body, Duration::ZERO).await
    }

    /// Calls with a time limit that is longer by `wait`, for calls that wait for an event.
    pub(crate) async fn call_waiting(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Answer, SendFailure> {
        let url = format!("{}{path}", self.base);
        let limit = self.timeout + wait;
        let answer = send(client().request(method, url), body, limit).await?;
        read_answer(answer, limit).await
    }

    pub(crate) async fn send_json<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<Answer, SendFailure> {
        let body =
            serde_json::to_vec(body).map_err(|err| SendFailure::NotSent(err.to_string().into()))?;
        let url = format!("{}{path}", self.base);
        let req = client().request(method, url).content_type("application/json");
        let answer = send(req, body.into(), self.timeout).await?;
        read_answer(answer, self.timeout).await
    }
}

async fn read_answer(mut answer: ClientResponse, limit: Duration) -> Result<Answer, SendFailure> {
    let status = answer.status();
    let index = answer.headers().get("X-Consul-Index");
    let index = index.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = read_body(&mut answer, MAX_ANSWER_BYTES, limit).await?;
    Ok(Answer { status, index, body })
}

/// Escapes a text as one part of a path or a query.
pub(crate) fn escape(text: &str) -> String {
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
