//! Plain services.

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
    /// Headers that are passed on.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Length of the body, in bytes, where it is known.
    pub length: Option<u64>,
    /// Body.
    pub body: BodyStream,
    /// Time left until the caller's deadline.
    pub timeout: Duration,
}

/// Answer of a plain service.
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Body.
    pub body: BodyStream,
}

/// A plain service.
#[async_trait(?Send)]
pub trait PlainService: Send + Sync {
    /// Sends a request and returns the head of its answer with the body to come.
    async fn call(&self, req: PlainRequest) -> Result<PlainResponse, UpstreamError>;
}
