//! One attempt to send a request to an upstream, up to its response or first event.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    ResponseHead, StatusCode,
    header::{CONTENT_TYPE, HeaderMap},
};
use bytes::{Bytes, BytesMut};
use lycheelatch_policy::ResponseStage;
use lycheelatch_prelude::UpstreamId;
use tokio::time::{Instant, timeout};

use crate::{
    ForwardParams, ResponseInfo,
    attempts::SendOutcome,
    connection::{Connection, ExchangeError, OutgoingRequest},
    crash_evidence::record_answer,
    directory::Upstream,
    event_log::millis,
    frames::FrameReader,
    in_flight::InFlightGuard,
    place::Placement,
    rollout_counting::record_sent,
    send_trace::SendTrace,
    serve::RequestContext,
    upstream_limits::record_named_limit,
    upstream_notices::record_notices,
    upstream_speeds::record_reported_load,
};

/// Maximum size of a response that is buffered completely before it is relayed, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Maximum size of such a response while the memory for clients is short, in bytes.
const MAX_BUFFERED_WHEN_SHORT: usize = 16 * 1024;

/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Time within which the body of a refusal must arrive for its connection to be reused.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of responses to earlier requests that are skipped on a connection.
const MAX_SKIPPED: u32 = 3;

/// A failed attempt.
pub(crate) struct Failure {
    pub(crate) outcome: SendOutcome,
    pub(crate) reason: String,
    /// Whether the upstream is known to be no longer at its address.
    pub(crate) is_absent: bool,
    /// How far the response was when the upstream closed the connection, if it did.
    pub(crate) cut_at: Option<ResponseStage>,
    /// The upstream's response, if it ran the request and failed.
    pub(crate) response: Option<BufferedResponse>,
}

impl Failure {
    /// Returns the failure of an attempt that was abandoned in favour of another upstream.
    pub(crate) fn abandoned() -> Failure {
        unknown("given up for another upstream".to_owned())
    }

    /// Sets how far the response was, if the upstream closed the connection.
    fn at(mut self, stage: ResponseStage) -> Failure {
        self.cut_at = self.cut_at.map(|_| stage);
        self
    }
}

/// A response with a buffered body.
#[derive(Clone)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An event stream whose first event has been received.
pub(crate) struct StartedStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) connection: Connection,
    pub(crate) frames: FrameReader,
    pub(crate) guard: InFlightGuard,
}

/// A response to relay.
pub(crate) enum UpstreamResponse {
    Buffered(BufferedResponse),
    Events(StartedStream),
    /// A body that exceeds the buffer, of which `start` has been read.
    Large {
        start: BufferedResponse,
        connection: Connection,
        guard: InFlightGuard,
    },
}

/// Sends the request to an upstream and reads its response, or the first event of it.
pub(crate) async fn send(
    cx: &Rc<RequestContext>,
    placement: &Placement,
    resume_after: Option<u64>,
) -> Result<UpstreamResponse, Failure> {
    cx.sends.set(cx.sends.get() + 1);
    placement.upstream.limit.borrow_mut().record_sent(cx.gateway.clock.now());
    record_sent(cx, &placement.upstream);
    let guard = InFlightGuard::start(cx, placement);
    let mut trace = SendTrace::start(cx, placement);
    let result = exchange(cx, guard, placement.fetch_from, resume_after).await;
    trace.finish(&result);
    result
}

async fn exchange(
    cx: &Rc<RequestContext>,
    mut guard: InFlightGuard,
    fetch_from: Option<SocketAddr>,
    resume_after: Option<u64>,
) -> Result<UpstreamResponse, Failure> {
    let upstream = guard.upstream.clone();
    let address = upstream.entry.borrow().address;
    let taken = upstream.pool.take(address, cx.route.kind.may_repeat()).await;
    let mut connection = taken.map_err(failure_of)?;
    let out = outgoing_request(cx, &upstream.id(), fetch_from, resume_after);
    let head = connection.exchange(out).await.map_err(failure_of)?;
    let (head, info) = matching_head(cx, &mut connection, head).await?;
    if let Some(load) = info.load {
        record_reported_load(&upstream, load, Instant::now());
    }
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        record_named_limit(&cx.gateway, &upstream, &info);
        record_notices(&cx.gateway, &upstream, head.status, &info);
    }
    if info.is_not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        if info.request.is_none() {
            // It may be the refusal of an earlier request.
            return Err(unknown("a refusal that names no request".to_owned()));
        }
        return Err(refused(connection, &upstream, head.status).await);
    }
    if !info.is_signed || info.is_encoded {
        return Err(unknown(format!("status {} without a signature", head.status.as_u16())));
    }
    if promises_not_run(head.status) && !cx.route.kind.may_repeat() {
        // Callers would take it for a statement that the request did not run.
        return Err(unknown(format!("status {} without its mark", head.status.as_u16())));
    }
    let headers = cx.gateway.dialect.response_headers(&head.headers);
    if cx.route.kind.is_stream() && head.status.is_success() {
        if resume_after.is_some() && !may_hold_events(&head.headers) {
            return Err(unknown("what follows the stream is no event stream".to_owned()));
        }
        let started = StartedStream {
            status: head.status,
            headers,
            connection,
            frames: FrameReader::default(),
            guard,
        };
        let started = first_event(cx, started).await;
        return started
            .map(UpstreamResponse::Events)
            .map_err(|failure| failure.at(ResponseStage::Begun));
    }
    let start = read_start(&mut connection, max_buffered_bytes(cx)).await;
    let (body, is_whole) = start.map_err(|failure| failure.at(ResponseStage::Begun))?;
    guard.record_first_event(cx, head.status.is_success());
    if is_whole && !connection.is_ended() {
        record_answer(cx);
    }
    count_usage(cx, guard.started);
    let response = BufferedResponse { status: head.status, headers, body };
    if !is_whole {
        return Ok(UpstreamResponse::Large { start: response, connection, guard });
    }
    upstream.pool.put(connection);
    if head.status.is_server_error() && cx.route.kind.may_repeat() {
        let reason = format!("status {}", head.status.as_u16());
        let response = Some(response);
        return Err(Failure {
            outcome: SendOutcome::RanAndFailed,
            reason,
            is_absent: false,
            cut_at: None,
            response,
        });
    }
    Ok(UpstreamResponse::Buffered(response))
}

/// Returns whether callers take a status for the statement that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns whether a response's body may be an event stream, by its type.
fn may_hold_events(headers: &HeaderMap) -> bool {
    let media_type = headers.get(CONTENT_TYPE).map(|value| value.as_bytes().to_ascii_lowercase());
    media_type.is_none_or(|media_type| media_type.starts_with(EVENT_STREAM))
}

/// Counts a request that ran towards the usage report, in the window in which it began.
fn count_usage(cx: &RequestContext, began: Instant) {
    if let Some(workspace) = &cx.workspace {
        let time = cx.gateway.clock.now().saturating_sub(began.elapsed());
        cx.gateway.usage.borrow_mut().count(&workspace.name, time);
    }
}

fn failure_of(err: ExchangeError) -> Failure {
    let outcome = match err {
        ExchangeError::NotSent(_) | ExchangeError::ConnectionRefused(_) => SendOutcome::NotSent,
        ExchangeError::Broken(_)
        | ExchangeError::PathLost(_)
        | ExchangeError::InvalidResponse(_) => SendOutcome::Unknown,
    };
    let is_absent = matches!(err, ExchangeError::ConnectionRefused(_));
    let cut_at = err.is_cut().then_some(ResponseStage::Waiting);
    Failure { outcome, reason: err.to_string(), is_absent, cut_at, response: None }
}

fn unknown(reason: String) -> Failure {
    Failure {
        outcome: SendOutcome::Unknown,
        reason,
        is_absent: false,
        cut_at: None,
        response: None,
    }
}

/// Returns the failure of an attempt whose event stream ended before its first event.
fn ended_before_first_event() -> Failure {
    let failure = unknown("the stream ended before its first event".to_owned());
    Failure { cut_at: Some(ResponseStage::Begun), ..failure }
}

fn outgoing_request(
    cx: &RequestContext,
    upstream: &UpstreamId,
    fetch_from: Option<SocketAddr>,
    resume_after: Option<u64>,
) -> OutgoingRequest {
    let workspace = cx.workspace.as_ref().map(|workspace| &workspace.name);
    let added = ForwardParams {
        upstream,
        workspace,
        deadline_ms: millis(cx.time_left()),
        resume_after,
        engine_rank: cx.chain.as_ref().map(|_| cx.priority().0.min(9)),
        fetch_from,
    };
    OutgoingRequest {
        method: cx.method.clone(),
        uri: cx.uri.clone(),
        headers: cx.gateway.dialect.upstream_headers(&cx.headers, added),
        body: cx.body.clone(),
    }
}

/// Returns the response head that belongs to this request, skipping responses to earlier ones.
async fn matching_head(
    cx: &RequestContext,
    connection: &mut Connection,
    mut head: ResponseHead,
) -> Result<(ResponseHead, ResponseInfo), Failure> {
    for _ in 0..MAX_SKIPPED {
        let info = cx.gateway.dialect.parse_response(&head);
        let is_own = info.request.as_deref().is_none_or(|id| id == &*cx.info.id);
        if is_own {
            return Ok((head, info));
        }
        connection.read_body(MAX_BUFFERED_BYTES).await.map_err(failure_of)?;
        head = connection.next_head().await.map_err(failure_of)?;
    }
    Err(unknown("answers of other requests only".to_owned()))
}

/// Returns the failure of an attempt whose request the upstream refused to run.
async fn refused(mut connection: Connection, upstream: &Upstream, status: StatusCode) -> Failure {
    let drained = timeout(REFUSAL_BODY_TIMEOUT, connection.read_body(MAX_BUFFERED_BYTES)).await;
    if matches!(drained, Ok(Ok(_))) {
        upstream.pool.put(connection);
    }
    let reason = format!("refused with status {}", status.as_u16());
    // The address now belongs to another instance.
    let is_absent = status == StatusCode::MISDIRECTED_REQUEST;
    Failure { outcome: SendOutcome::NotRun, reason, is_absent, cut_at: None, response: None }
}

async fn first_event(
    cx: &RequestContext,
    mut started: StartedStream,
) -> Result<StartedStream, Failure> {
    loop {
        match started.connection.next_chunk().await.map_err(failure_of)? {
            None if started.frames.has_partial() || started.connection.is_ended() => {
                return Err(ended_before_first_event());
            }
            None => break,
            Some(chunk) => started.frames.push(&chunk),
        }
        if started.frames.has_complete().map_err(|err| unknown(err.to_string()))? {
            break;
        }
    }
    count_usage(cx, Instant::now());
    started.guard.record_first_event(cx, true);
    Ok(started)
}

/// Returns how much of a response is buffered before it is relayed.
fn max_buffered_bytes(cx: &RequestContext) -> usize {
    if cx.gateway.client_memory.is_short() { MAX_BUFFERED_WHEN_SHORT } else { MAX_BUFFERED_BYTES }
}

/// Reads a body up to a limit; also returns whether it is complete.
async fn read_start(
    connection: &mut Connection,
    max_bytes: usize,
) -> Result<(Bytes, bool), Failure> {
    let mut body = BytesMut::new();
    while body.len() < max_bytes {
        match connection.next_chunk().await.map_err(failure_of)? {
            Some(chunk) => body.extend_from_slice(&chunk),
            None => return Ok((body.freeze(), true)),
        }
    }
    Ok((body.freeze(), false))
}
