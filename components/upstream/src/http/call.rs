//! Helpers shared by the clients of engines and plain services.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_web::http::{
    StatusCode, Version,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use awc::ClientResponse;
use lycheelatch_http::SendFailure;
use lycheelatch_prelude::{Outcome, RequestId};

use crate::{UpstreamError, http::headers};

/// Time limits of calls to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamTimeouts {
    /// Maximum time without progress of a response.
    pub silence: Duration,
    /// Time limit of a short call, such as a load report.
    pub call: Duration,
}

impl Default for UpstreamTimeouts {
    fn default() -> UpstreamTimeouts {
        UpstreamTimeouts { silence: Duration::from_secs(5), call: Duration::from_secs(2) }
    }
}

impl From<SendFailure> for UpstreamError {
    fn from(err: SendFailure) -> UpstreamError {
        match err {
            SendFailure::NotSent(reason) => UpstreamError::Connect { reason },
            SendFailure::Broken(reason) => UpstreamError::Broken { reason },
            SendFailure::Silent(ms) => UpstreamError::Silent { ms },
            SendFailure::BadAnswer(reason) => UpstreamError::BadAnswer { reason },
        }
    }
}

pub(crate) fn base_url(addr: SocketAddr) -> Arc<str> {
    format!("http://{addr}").into()
}

/// Returns the length of the body declared in the head of a response.
///
/// The HTTP client accepts a truncated body as complete, so readers have to
/// compare the length themselves.
pub(crate) fn declared_length<S>(response: &ClientResponse<S>) -> Option<u64> {
    response.headers().get("content-length")?.to_str().ok()?.parse().ok()
}

/// Returns the error for a body that ended after `received` of `expected` bytes.
pub(crate) fn truncated_body(received: u64, expected: u64) -> UpstreamError {
    UpstreamError::Broken {
        reason: format!("the answer ended after {received} of {expected} bytes").into(),
    }
}

/// Checks that the request id in a response, if present, is that of the request.
pub(crate) fn check_request_id<S>(
    expected: &RequestId,
    response: &ClientResponse<S>,
) -> Result<(), UpstreamError> {
    let Some(got) = response.headers().get(headers::REQUEST_ID) else { return Ok(()) };
    if got.as_bytes() == expected.as_str().as_bytes() {
        return Ok(());
    }
    let got = String::from_utf8_lossy(got.as_bytes()).as_ref().into();
    Err(UpstreamError::WrongRequest { wanted: expected.as_str().into(), got })
}

/// Returns whether the body of a response ends only with its connection.
///
/// The HTTP client takes such a body for an empty one.
pub(crate) fn is_unframed<S>(response: &ClientResponse<S>) -> bool {
    let has_body = !matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_framed = response.headers().contains_key(CONTENT_LENGTH)
        || response.headers().contains_key(TRANSFER_ENCODING);
    has_body && !is_framed && response.version() == Version::HTTP_11
}

/// Returns whether the upstream reports that the request did not run.
pub(crate) fn reports_not_run<S>(response: &ClientResponse<S>) -> bool {
    let outcome = response.headers().get(headers::OUTCOME);
    outcome.is_some_and(|value| value.as_bytes() == Outcome::NotRun.as_str().as_bytes())
}

/// Converts a refusal response to an error, including its `Retry-After` delay.
pub(crate) fn refusal_error<S>(response: &ClientResponse<S>) -> UpstreamError {
    let retry_after = response.headers().get("retry-after");
    let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    UpstreamError::Refused {
        status: response.status().as_u16(),
        retry_after_ms: seconds.map(|s| s.saturating_mul(1000)),
    }
}

/// Returns whether a status means that a model engine did not run the request.
pub(crate) fn is_engine_refusal(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}
