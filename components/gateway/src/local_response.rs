//! Responses that the node generates itself instead of relaying one from an upstream.

use std::time::Duration;

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{HeaderValue, RETRY_AFTER},
};

use crate::{decision::Reason, gateway::Gateway};

/// Upper bound of `Retry-After`, as a share of the time left until the caller's deadline.
const MAX_RETRY_SHARE: f64 = 0.33;

/// A response that the node generates itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LocalResponse {
    pub(crate) reason: Reason,
    /// Value of `Retry-After`.
    pub(crate) retry_after: Option<Duration>,
}

impl LocalResponse {
    pub(crate) fn new(reason: Reason) -> LocalResponse {
        LocalResponse { reason, retry_after: None }
    }

    pub(crate) fn with_retry_after(reason: Reason, after: Duration) -> LocalResponse {
        LocalResponse { reason, retry_after: Some(after) }
    }

    /// Limits `Retry-After` to a share of the time `left` until the caller's deadline, unless it is
    /// known that the request can't be served before.
    pub(crate) fn cap_retry_after(self, left: Duration) -> LocalResponse {
        if self.reason == Reason::CrashesUpstreams {
            return self;
        }
        let limit = left.mul_f64(MAX_RETRY_SHARE);
        LocalResponse { retry_after: self.retry_after.map(|after| after.min(limit)), ..self }
    }

    pub(crate) fn into_response(self, gateway: &Gateway, request: &str) -> Response<BoxBody> {
        let mut response = Response::new(status_of(self.reason));
        let head = response.head_mut();
        if let Some(after) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
        {
            head.headers.insert(RETRY_AFTER, value);
        }
        if !request.is_empty() {
            gateway.dialect.set_request_id(&mut head.headers, request);
        }
        response
    }
}

/// Returns the status code for a reason; 429 and 503 guarantee that the request did not run.
fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::UnknownKey => StatusCode::UNAUTHORIZED,
        Reason::UnknownRoute => StatusCode::NOT_FOUND,
        Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::BodyIncomplete => StatusCode::BAD_REQUEST,
        Reason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        Reason::Stopping
        | Reason::NotInitialized
        | Reason::NoUpstream
        | Reason::UnknownOrigin
        | Reason::OriginNotAllowed
        | Reason::CrashesUpstreams
        | Reason::Busy
        | Reason::NoMemory
        | Reason::NotRun
        | Reason::DeadlineExpired => StatusCode::SERVICE_UNAVAILABLE,
        Reason::UpstreamFailed => StatusCode::BAD_GATEWAY,
        Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Reason::Answered | Reason::ResponseInterrupted | Reason::CallerDisconnected => {
            StatusCode::BAD_GATEWAY
        }
    }
}
