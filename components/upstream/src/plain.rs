//! Interface to plain services.

use std::{pin::Pin, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::Stream;
use lycheelatch_prelude::RequestId;

use crate::UpstreamError;

/// Chunks of a body, in order.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, UpstreamError>>>>;

/// One request to a plain service.
pub struct PlainRequest {
    /// Identity of the request, sent as `X-Request-Id`.
    pub id: RequestId,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query, starting with `/`.
    pub path: Arc<str>,
    /// Forwarded headers.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Length of the body, in bytes, if known.
    pub length: Option<u64>,
    /// Chunks of the body.
    pub body: BodyStream,
    /// Time left until the caller's deadline.
    pub timeout: Duration,
}

/// Response of a plain service.
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Forwarded headers.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Chunks of the body.
    pub body: BodyStream,
}

/// Client of a plain service.
#[async_trait(?Send)]
pub trait PlainService: Send + Sync {
    /// Sends a request and returns the response as soon as its head has arrived.
    async fn call(&self, req: PlainRequest) -> Result<PlainResponse, UpstreamError>;
}
