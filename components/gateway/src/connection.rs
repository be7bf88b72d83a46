//! A client connection to an upstream.
//!
//! The actix HTTP client does not expose its connections. This implementation uses the
//! same codec and reports what is needed to tell whether a failed request may have run:
//! whether any byte was sent, which request a response belongs to, and whether the
//! connection can be reused afterwards.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, Uri,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING},
};
use bytes::{Buf, Bytes, BytesMut, buf::Chain};
use displaydoc::Display;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout},
};
use tokio_util::codec::{Decoder, Encoder};

use crate::{connections_in_use::InUseGuard, socket::discard_unacknowledged_after};

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of bytes between two parts of a body, such as chunk sizes and trailers.
const MAX_FRAMING_BYTES: usize = 16 * 1024;

/// Maximum size of a request body that is sent in one piece with its head, in bytes.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Time after which unacknowledged data ends the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

thread_local! {
    /// Shared by all connections because each `ServiceConfig` spawns a task.
    static CODEC_CONFIG: ServiceConfig = ServiceConfig::default();
}

/// Why a request or its response failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum ExchangeError {
    /// no byte was sent: {0}
    NotSent(Arc<str>),
    /// nothing listens at the address: {0}
    ConnectionRefused(Arc<str>),
    /// the connection broke after a byte was sent: {0}
    Broken(Arc<str>),
    /// the upstream can't be reached any more: {0}
    PathLost(Arc<str>),
    /// the answer can't be read: {0}
    InvalidResponse(Arc<str>),
}

impl std::error::Error for ExchangeError {}

impl ExchangeError {
    /// Returns whether the upstream closed the connection before the end of the response.
    pub(crate) fn is_cut(&self) -> bool {
        matches!(self, ExchangeError::Broken(_))
    }
}

impl From<io::Error> for ExchangeError {
    fn from(err: io::Error) -> ExchangeError {
        let is_closed = matches!(
            err.kind(),
            io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
        );
        let reason = err.to_string().into();
        if is_closed { ExchangeError::Broken(reason) } else { ExchangeError::PathLost(reason) }
    }
}

/// A request as sent to an upstream.
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// What the connection reads next.
enum State {
    Idle(ClientCodec),
    Body(ClientPayloadCodec),
    /// A body without a length, which ends when the connection is closed.
    CloseDelimited,
    Done,
}

/// A client connection to an upstream.
pub(crate) struct Connection {
    io: TcpStream,
    buf: BytesMut,
    state: State,
    is_clean: bool,
    keep_alive: Option<Duration>,
    pub(crate) opened_at: Instant,
    pub(crate) idle_since: Instant,
    pub(crate) is_reused: bool,
    /// Counts the connection as in use, while it carries a request.
    pub(crate) in_use: Option<InUseGuard>,
}

impl Connection {
    /// Opens a connection within `limit`.
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, ExchangeError> {
        let not_sent = |reason: String| ExchangeError::NotSent(reason.into());
        let opened = timeout(limit, TcpStream::connect(address)).await;
        let io = opened
            .map_err(|_| not_sent(format!("no connection after {} ms", limit.as_millis())))?
            .map_err(|err| match err.kind() {
                io::ErrorKind::ConnectionRefused => {
                    ExchangeError::ConnectionRefused(err.to_string().into())
                }
                _ => not_sent(err.to_string()),
            })?;
        io.set_nodelay(true).map_err(|err| not_sent(err.to_string()))?;
        // A request that was given up must not arrive once its path is restored.
        discard_unacknowledged_after(&io, UNACKNOWLEDGED_TIMEOUT)
            .map_err(|err| not_sent(err.to_string()))?;
        Ok(Connection {
            io,
            buf: BytesMut::new(),
            state: State::Idle(CODEC_CONFIG.with(|cfg| ClientCodec::new(cfg.clone()))),
            is_clean: true,
            keep_alive: None,
            opened_at: Instant::now(),
            idle_since: Instant::now(),
            is_reused: false,
            in_use: None,
        })
    }

    /// Returns whether an idle connection is still open and holds no unexpected data.
    pub(crate) fn is_alive(&self) -> bool {
        let mut probe = [0; 1];
        let read = self.io.try_read(&mut probe);
        self.buf.is_empty() && matches!(read, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns the idle timeout that the upstream announced in its `Keep-Alive` header.
    pub(crate) fn keep_alive(&self) -> Option<Duration> {
        self.keep_alive
    }

    /// Returns whether another request may be sent on the connection.
    pub(crate) fn is_reusable(&self) -> bool {
        self.is_clean && matches!(self.state, State::Idle(_)) && self.buf.is_empty()
    }

    /// Returns whether the upstream has closed the connection to end a body without a length.
    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Sends a request and reads the head of the next response.
    ///
    /// A response that arrives before the request has been sent completely is returned, and
    /// the connection is not reused after it.
    pub(crate) async fn exchange(
        &mut self,
        req: OutgoingRequest,
    ) -> Result<ResponseHead, ExchangeError> {
        let State::Idle(mut codec) = std::mem::replace(&mut self.state, State::Done) else {
            return Err(ExchangeError::NotSent("the connection is busy".into()));
        };
        let mut unsent = encode(&mut codec, req)
            .map_err(|err| ExchangeError::NotSent(err.to_string().into()))?;
        let (mut rd, mut wr) = self.io.split();
        let head = loop {
            tokio::select! {
                written = wr.write_buf(&mut unsent), if unsent.has_remaining() => {
                    written?;
                }
                read = rd.read_buf(&mut self.buf) => {
                    if read? == 0 {
                        return Err(ExchangeError::Broken("closed before the answer".into()));
                    }
                    if let Some(head) = decode_final_head(&mut codec, &mut self.buf)? {
                        break head;
                    }
                }
            }
        };
        self.is_clean = !unsent.has_remaining();
        self.begin_body(codec, &head);
        Ok(head)
    }

    /// Reads the next response head, after a response to an earlier request was skipped.
    pub(crate) async fn next_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        let State::Idle(mut codec) = std::mem::replace(&mut self.state, State::Done) else {
            return Err(ExchangeError::Broken("no further answer can follow".into()));
        };
        loop {
            if let Some(head) = decode_final_head(&mut codec, &mut self.buf)? {
                self.begin_body(codec, &head);
                return Ok(head);
            }
            if self.io.read_buf(&mut self.buf).await? == 0 {
                return Err(ExchangeError::Broken("closed before the answer".into()));
            }
        }
    }

    fn begin_body(&mut self, codec: ClientCodec, head: &ResponseHead) {
        self.keep_alive = announced_keep_alive(&head.headers).or(self.keep_alive);
        self.is_clean &= codec.keep_alive();
        if is_close_delimited(head) {
            self.is_clean = false;
            self.state = State::CloseDelimited;
            return;
        }
        self.state = match codec.message_type() {
            MessageType::None => State::Idle(codec),
            _ => State::Body(codec.into_payload_codec()),
        };
    }

    /// Reads the next part of the body, or `None` at its end.
    ///
    /// Fails if the framing before it has more bytes than any sound one.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let mut framing_bytes = 0;
        loop {
            match &mut self.state {
                State::Body(codec) => {
                    let decoded = codec.decode(&mut self.buf);
                    match decoded
                        .map_err(|err| ExchangeError::InvalidResponse(err.to_string().into()))?
                    {
                        Some(Some(chunk)) => return Ok(Some(chunk)),
                        Some(None) => {
                            self.finish_body();
                            return Ok(None);
                        }
                        None => {}
                    }
                    // Whatever was read before this point held no data.
                    if framing_bytes > MAX_FRAMING_BYTES {
                        let reason = format!("no data in {framing_bytes} bytes of the body");
                        return Err(ExchangeError::InvalidResponse(reason.into()));
                    }
                    let n = self.io.read_buf(&mut self.buf).await?;
                    if n == 0 {
                        return Err(ExchangeError::Broken("closed within the answer".into()));
                    }
                    framing_bytes += n;
                }
                State::CloseDelimited => return self.chunk_until_eof().await,
                State::Idle(_) | State::Done => return Ok(None),
            }
        }
    }

    /// Reads the next part of a body that ends when the connection is closed.
    ///
    /// Only an orderly close ends the body; a reset is an error.
    async fn chunk_until_eof(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        if self.buf.is_empty() && self.io.read_buf(&mut self.buf).await? == 0 {
            self.state = State::Done;
            return Ok(None);
        }
        Ok(Some(self.buf.split().freeze()))
    }

    fn finish_body(&mut self) {
        if let State::Body(codec) = std::mem::replace(&mut self.state, State::Done) {
            self.state = State::Idle(codec.into_message_codec());
        }
    }

    /// Reads the complete body; fails if it is larger than `max_bytes`.
    pub(crate) async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if body.len() + chunk.len() > max_bytes {
                let reason = format!("the body is larger than {max_bytes} bytes");
                return Err(ExchangeError::InvalidResponse(reason.into()));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// Encodes a request; a large body is sent from where it is, without a copy.
fn encode(codec: &mut ClientCodec, req: OutgoingRequest) -> io::Result<Chain<Bytes, Bytes>> {
    let mut head = RequestHead::default();
    head.method = req.method;
    head.uri = req.uri;
    head.headers = req.headers;
    let has_body =
        !req.body.is_empty() || head.method == Method::POST || head.method == Method::PUT;
    let size = if has_body { BodySize::Sized(req.body.len() as u64) } else { BodySize::None };
    let copied = if req.body.len() <= MAX_COPIED_BYTES { req.body.len() } else { 0 };
    let mut out = BytesMut::with_capacity(1024 + copied);
    codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut out)?;
    out.extend_from_slice(&req.body[..copied]);
    Ok(out.freeze().chain(req.body.slice(copied..)))
}

/// Returns the next head of a response that isn't an interim one, as far as it has arrived.
fn decode_final_head(
    codec: &mut ClientCodec,
    buf: &mut BytesMut,
) -> Result<Option<ResponseHead>, ExchangeError> {
    loop {
        match decode_head(codec, buf)? {
            Some(head) if is_interim(head.status) => {}
            other => return Ok(other),
        }
    }
}

/// Returns whether another response to the same request follows.
fn is_interim(status: StatusCode) -> bool {
    status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS
}

fn decode_head(
    codec: &mut ClientCodec,
    buf: &mut BytesMut,
) -> Result<Option<ResponseHead>, ExchangeError> {
    let bad = |reason: String| ExchangeError::InvalidResponse(reason.into());
    let head = codec.decode(buf).map_err(|err| bad(err.to_string()))?;
    if head.is_none() && buf.len() > MAX_HEAD_BYTES {
        return Err(bad(format!("the head is larger than {MAX_HEAD_BYTES} bytes")));
    }
    Ok(head)
}

/// Returns whether a response body has no length and ends when the connection is closed.
fn is_close_delimited(head: &ResponseHead) -> bool {
    let has_length = head.headers.contains_key(CONTENT_LENGTH);
    let is_chunked = head.headers.contains_key(TRANSFER_ENCODING);
    let has_body = !head.status.is_informational()
        && head.status != StatusCode::NO_CONTENT
        && head.status != StatusCode::NOT_MODIFIED;
    has_body && !has_length && !is_chunked
}

/// Parses the `timeout` parameter of a `Keep-Alive` header, in whole seconds.
fn announced_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut params = text.split(',').map(str::trim);
    let seconds = params.find_map(|param| param.strip_prefix("timeout=")?.parse().ok())?;
    Some(Duration::from_secs(seconds))
}
