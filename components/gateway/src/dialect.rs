//! What a request and an answer say in their headers, free of any header's name.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_http::{ResponseHead, header::HeaderMap};
use lycheelatch_prelude::{InvalidValue, UpstreamId, WorkspaceName};

/// One part of a prompt; requests with the same parts in the same order share them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's text.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// What a request for a model says of its work.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Tokens to read.
    pub input_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// The caller's estimate of the tokens to generate.
    pub expected_output_tokens: Option<u32>,
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

/// What a caller's request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// Identity of this try of the caller; answers repeat it.
    pub id: Arc<str>,
    /// Time that the caller will wait from now, if it says so.
    pub deadline: Option<Duration>,
    /// Last event that the caller holds of an answer that broke.
    pub resume_after: Option<u64>,
    /// The work, for a model.
    pub prompt: Option<Prompt>,
}

/// What this node tells an upstream beside the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct ForwardParams<'a> {
    /// Upstream that may run the request; any other must refuse it.
    pub upstream: &'a UpstreamId,
    /// Workspace of the caller's key, if the route asks for one.
    pub workspace: Option<&'a WorkspaceName>,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// Last event that the caller holds.
    pub resume_after: Option<u64>,
    /// Rank at the engine, 0 first; none: the engine's own.
    pub engine_rank: Option<u8>,
    /// Engine from which cached parts of the prompt are fetched first.
    pub fetch_from: Option<SocketAddr>,
}

/// Load that an upstream reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseInfo {
    /// Identity of the request that it answers.
    pub request: Option<Arc<str>>,
    /// Whether it carries the upstream's signature.
    pub is_signed: bool,
    /// Whether it promises that the request did not run.
    pub is_not_run: bool,
    /// Whether its body is encoded, which no caller asked for.
    pub is_encoded: bool,
    /// Load at the time of the answer.
    pub load: Option<ReportedLoad>,
}

/// The headers of the callers' and the upstreams' protocol.
pub trait Dialect {
    /// Reads what a caller's request says.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestInfo, InvalidValue>;

    /// Reads what an upstream's answer says.
    fn parse_response(&self, head: &ResponseHead) -> ResponseInfo;

    /// Returns the headers that an upstream gets.
    fn upstream_headers(&self, caller: &HeaderMap, added: ForwardParams<'_>) -> HeaderMap;

    /// Returns the headers of an upstream's answer that a caller gets.
    fn response_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Adds the identity of the request to an answer of this node.
    fn set_request_id(&self, headers: &mut HeaderMap, request: &str);
}
