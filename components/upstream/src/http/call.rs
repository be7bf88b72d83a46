//! What calls to engines and plain services share.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_web::http::StatusCode;
use awc::ClientResponse;
use lycheelatch_http::SendFailure;
use lycheelatch_prelude::{Outcome, RequestId};

use crate::{UpstreamError, http::headers};

/// Time limits of calls to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamTimeouts {
    /// Longest time without progress of an answer.
    pub silence: Duration,
    /// Longest time of a short call, such as a load report.
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

/// Returns the length that the head of an answer says its body has.
///
/// The client takes a body that ends early for whole, so that readers must
/// count themselves.
pub(crate) fn declared_length<S>(answer: &ClientResponse<S>) -> Option<u64> {
    answer.headers().get("content-length")?.to_str().ok()?.parse().ok()
}

/// Returns the failure of a body that ended after `got` of `wanted` bytes.
pub(crate) fn ended_early(got: u64, wanted: u64) -> UpstreamError {
    UpstreamError::Broken {
        reason: format!("the answer ended after {got} of {wanted} bytes").into(),
    }
}

/// Checks that an answer names the request that it was sent for, if it names one.
pub(crate) fn check_request_id<S>(
    wanted: &RequestId,
    answer: &ClientResponse<S>,
) -> Result<(), UpstreamError> {
    let Some(got) = answer.headers().get(headers::REQUEST_ID) else { return Ok(()) };
    if got.as_bytes() == wanted.as_str().as_bytes() {
        return Ok(());
    }
    let got = String::from_utf8_lossy(got.as_bytes()).as_ref().into();
    Err(UpstreamError::WrongRequest { wanted: wanted.as_str().into(), got })
}

/// Returns whether the upstream says itself that the request did not run.
pub(crate) fn says_not_run<S>(answer: &ClientResponse<S>) -> bool {
    let said = answer.headers().get(headers::OUTCOME);
    said.is_some_and(|value| value.as_bytes() == Outcome::NotRun.as_str().as_bytes())
}

/// Returns the refusal that an answer holds.
pub(crate) fn refusal<S>(answer: &ClientResponse<S>) -> UpstreamError {
    let retry_after = answer.headers().get("retry-after");
    let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    UpstreamError::Refused {
        status: answer.status().as_u16(),
        retry_after_ms: seconds.map(|s| s.saturating_mul(1000)),
    }
}

/// Returns whether a status of a model engine means that it did not run the request.
pub(crate) fn is_engine_refusal(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}
