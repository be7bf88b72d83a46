//! Contents of request and response headers, independent of the headers' names.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_http::{ResponseHead, header::HeaderMap};
use lycheelatch_prelude::{InvalidValue, UpstreamId, WorkspaceName};

/// One part of a prompt; requests whose prompts begin with the same parts share a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's text.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// Prompt and token counts of a request to a model.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Prompt tokens.
    pub input_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// The caller's estimate of the tokens to generate.
    pub expected_output_tokens: Option<u32>,
    /// Parts in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the parts that other requests may hold too: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// Contents of a caller's request headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// Identifier of this attempt of the caller; responses repeat it.
    pub id: Arc<str>,
    /// Time for which the caller waits from now, if it is given.
    pub deadline: Option<Duration>,
    /// Last event that the caller received of an interrupted stream.
    pub resume_after: Option<u64>,
    /// Request that brought the first event of the stream that the caller takes up.
    pub resumes: Option<Arc<str>>,
    /// Prompt, for requests to a model.
    pub prompt: Option<Prompt>,
}

/// Values that this node adds to the caller's headers for an upstream.
#[derive(Debug, Clone, Copy)]
pub struct ForwardParams<'a> {
    /// Upstream that the request is meant for; any other must reject it.
    pub upstream: &'a UpstreamId,
    /// Workspace of the caller's key, if the route requires one.
    pub workspace: Option<&'a WorkspaceName>,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Last event that the caller received.
    pub resume_after: Option<u64>,
    /// Scheduling rank at the engine, 0 first; `None` leaves it to the engine.
    pub engine_rank: Option<u8>,
    /// Engine from which the KV cache of shared prompt parts is fetched before prefill.
    pub fetch_from: Option<SocketAddr>,
}

/// Load that an upstream reports in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// How long work takes there at the moment, in percent of its usual time.
    pub work_time_percent: Option<u32>,
}

/// Contents of an upstream's response headers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseInfo {
    /// Identifier of the request that the response belongs to.
    pub request: Option<Arc<str>>,
    /// Whether it carries the upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream guarantees that the request was not executed.
    pub is_not_run: bool,
    /// Whether the body has a content encoding, which no caller requested.
    pub is_encoded: bool,
    /// Load at the time of the response.
    pub load: Option<ReportedLoad>,
    /// Limit that the upstream names.
    pub limit: NamedLimit,
    /// Whether the upstream leaves and wants no new requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests, if it refused.
    pub retry_after: RetryAfter,
}

/// Time that a response names in `Retry-After` (RFC 9110, section 10.2.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryAfter {
    /// It names none.
    #[default]
    None,
    /// After this time.
    After(Duration),
    /// At this time since the Unix epoch.
    At(Duration),
    /// What it names is no such time.
    Invalid,
}

/// Requests a second that an upstream takes from all nodes together, as named in a response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum NamedLimit {
    /// It names none.
    #[default]
    None,
    /// It names one, at least 0 and finite.
    PerSecond(f64),
    /// What it names is not such a number.
    Invalid,
}

/// The headers of the callers' and the upstreams' protocol.
pub trait Dialect {
    /// Parses the headers of a caller's request; fails on a missing or malformed value.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestInfo, InvalidValue>;

    /// Parses the head of an upstream's response.
    fn parse_response(&self, head: &ResponseHead) -> ResponseInfo;

    /// Returns the request headers for an upstream.
    fn upstream_headers(&self, caller: &HeaderMap, params: ForwardParams<'_>) -> HeaderMap;

    /// Returns the headers of an upstream's response that are passed to the caller.
    fn response_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Adds the request's identifier to a response that this node generates.
    fn set_request_id(&self, headers: &mut HeaderMap, request: &str);
}
