//! A client's TCP stream that is read no faster than its requests are answered.
//!
//! The HTTP dispatcher parses everything that it reads and queues the requests. This stream passes
//! on one request head at a time, and the next one only when the response to the request before it
//! has been written.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use actix_rt::net::TcpStream;
use bytes::{Buf, BytesMut};
use lycheelatch_policy::CloseReason;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

use crate::{
    chunk_framing::ChunkFraming,
    client_connection::{ClientConnection, Framing},
};

/// Maximum number of bytes that are read ahead of the request that is being answered.
const MAX_AHEAD_BYTES: usize = 4 * 1024;

/// Maximum number of bytes of a body that are passed on in one turn.
const BODY_TURN_BYTES: usize = 16 * 1024;

/// Maximum number of bytes of a body in chunks that are passed on in one turn: each of many small
/// chunks takes memory of its own until it is read.
const CHUNKS_TURN_BYTES: usize = 4 * 1024;

const END_OF_HEAD: &[u8; 4] = b"\r\n\r\n";

/// A client's TCP stream.
pub(crate) struct PacedStream {
    io: Take<TcpStream>,
    connection: Rc<ClientConnection>,
    /// What was read and not passed on.
    ahead: BytesMut,
    /// Number of bytes of [`END_OF_HEAD`] that were passed on last.
    matched: usize,
    is_eof: bool,
    /// Whether the dispatcher has to handle what was passed on first.
    is_turn_over: bool,
    passed_in_turn: usize,
}

impl PacedStream {
    pub(crate) fn new(io: TcpStream, connection: Rc<ClientConnection>) -> PacedStream {
        PacedStream {
            io: io.take(0),
            connection,
            ahead: BytesMut::new(),
            matched: 0,
            is_eof: false,
            is_turn_over: false,
            passed_in_turn: 0,
        }
    }

    pub(crate) fn connection(&self) -> &Rc<ClientConnection> {
        &self.connection
    }

    /// Ends the turn: the dispatcher handles what it has, and is woken to read what has arrived.
    fn end_turn(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.is_turn_over = false;
        self.passed_in_turn = 0;
        if self.ahead.is_empty()
            && let Poll::Ready(Err(err)) = self.fill_ahead(cx)
        {
            return Poll::Ready(Err(err));
        }
        if self.is_eof || !self.ahead.is_empty() {
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }

    /// Reads ahead while reading is paused, so that the client's end is noticed.
    fn poll_paused(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Poll::Ready(Err(err)) = self.fill_ahead(cx) {
            return Poll::Ready(Err(err));
        }
        if self.is_eof {
            return Poll::Ready(Ok(()));
        }
        if !self.ahead.is_empty() {
            self.connection.wait_for_reading(cx);
        }
        Poll::Pending
    }

    /// Reads until nothing has arrived, the client has ended, or enough is read.
    fn fill_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.is_eof && self.ahead.len() < MAX_AHEAD_BYTES {
            let mut space = [0; MAX_AHEAD_BYTES];
            let mut buf = ReadBuf::new(&mut space[self.ahead.len()..]);
            self.io.set_limit(MAX_AHEAD_BYTES as u64);
            ready!(Pin::new(&mut self.io).poll_read(cx, &mut buf))?;
            self.is_eof = buf.filled().is_empty();
            self.ahead.extend_from_slice(buf.filled());
        }
        Poll::Ready(Ok(()))
    }

    /// Passes on at most `limit` bytes: those that were read ahead, or else from the socket.
    fn poll_bytes(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        if self.ahead.is_empty() && !self.is_eof {
            let filled = buf.filled().len();
            self.io.set_limit(limit as u64);
            ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
            self.is_eof = buf.filled().len() == filled;
            return Poll::Ready(Ok(()));
        }
        let n = limit.min(buf.remaining()).min(self.ahead.len());
        buf.put_slice(&self.ahead[..n]);
        self.ahead.advance(n);
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }

    /// Passes on bytes up to the end of a head; the rest of what was read is kept.
    fn poll_head(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let limit = buf.remaining();
        ready!(self.poll_bytes(cx, buf, limit))?;
        let end = end_of_head(&buf.filled()[before..], &mut self.matched);
        let n = end.unwrap_or(buf.filled().len() - before);
        self.connection.record_read(n, Framing::Head);
        self.is_turn_over = n > 0;
        self.keep_rest(buf, before, end);
        Poll::Ready(Ok(()))
    }

    /// Takes back what was read after `end`, counted from `before`.
    fn keep_rest(&mut self, buf: &mut ReadBuf<'_>, before: usize, end: Option<usize>) {
        let Some(end) = end.map(|end| before + end).filter(|end| *end < buf.filled().len()) else {
            return;
        };
        let mut rest = BytesMut::from(&buf.filled()[end..]);
        rest.extend_from_slice(&self.ahead);
        self.ahead = rest;
        buf.set_filled(end);
    }

    /// Passes on bytes of a body in chunks, up to its end.
    fn poll_chunks(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        mut framing: ChunkFraming,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(self.poll_bytes(cx, buf, CHUNKS_TURN_BYTES))?;
        let end = framing.end_in(&buf.filled()[before..]);
        let next = if end.is_some() { Framing::Head } else { Framing::Chunked(framing) };
        let n = end.unwrap_or(buf.filled().len() - before);
        self.connection.record_read(n, next);
        self.is_turn_over = n > 0;
        self.keep_rest(buf, before, end);
        Poll::Ready(Ok(()))
    }

    /// Passes on bytes of a body of which `left` are left.
    fn poll_sized(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        left: u64,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let limit = usize::try_from(left).unwrap_or(usize::MAX).min(BODY_TURN_BYTES);
        ready!(self.poll_bytes(cx, buf, limit))?;
        let n = buf.filled().len() - before;
        let left = left - n as u64;
        let next = if left == 0 { Framing::Head } else { Framing::Sized(left) };
        self.connection.record_read(n, next);
        self.passed_in_turn += n;
        self.is_turn_over = self.passed_in_turn >= BODY_TURN_BYTES;
        Poll::Ready(Ok(()))
    }

    /// Closes the connection if more was read without a request than its limits allow.
    fn check_unclaimed(&self) {
        let connection = &self.connection;
        let max = match connection.framing.get() {
            Framing::Head => connection.limits.head,
            Framing::Sized(_) | Framing::Chunked(_) => connection.limits.unread_body,
        };
        if connection.unclaimed.get() > max {
            connection.close(CloseReason::TooLarge);
        }
    }
}

/// Returns where the first end of a head in `bytes` is. `matched` bytes of it came before them.
fn end_of_head(bytes: &[u8], matched: &mut usize) -> Option<usize> {
    for (at, byte) in bytes.iter().enumerate() {
        *matched = match *byte {
            b if b == END_OF_HEAD[*matched] => *matched + 1,
            b'\r' => 1,
            _ => 0,
        };
        if *matched == END_OF_HEAD.len() {
            *matched = 0;
            return Some(at + 1);
        }
    }
    None
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.is_turn_over {
            return this.end_turn(cx);
        }
        if this.connection.is_reading_paused() {
            return this.poll_paused(cx);
        }
        match this.connection.framing.get() {
            Framing::Head => ready!(this.poll_head(cx, buf))?,
            Framing::Sized(left) => ready!(this.poll_sized(cx, buf, left))?,
            Framing::Chunked(framing) => ready!(this.poll_chunks(cx, buf, framing))?,
        }
        this.check_unclaimed();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(self.io.get_mut()).poll_write(cx, bytes);
        match &written {
            Poll::Pending => self.connection.set_blocked(),
            Poll::Ready(_) => self.connection.record_write(),
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.io.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.io.get_mut()).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
