//! Splits a byte stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A server-sent event, unparsed except for its id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Raw bytes, including the blank line that ends the event.
    pub bytes: Bytes,
}

impl Frame {
    /// Returns whether the event has a field, and not only comments.
    pub fn has_field(&self) -> bool {
        let mut lines = self.bytes.split(|&b| b == b'\n').map(<[u8]>::trim_ascii_end);
        lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
    }
}

/// an event is larger than this node takes
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct FrameTooLarge;

impl std::error::Error for FrameTooLarge {}

/// Buffers received bytes and returns complete events.
#[derive(Debug, Default)]
pub struct FrameReader {
    buf: BytesMut,
    scanned: usize,
}

impl FrameReader {
    /// Appends received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// Fails if an incomplete event exceeds 1 MiB.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameTooLarge> {
        let Some(end) = self.scan()? else { return Ok(None) };
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        Ok(Some(Frame { id: id_of(&bytes), bytes }))
    }

    /// Returns whether a complete event is buffered.
    ///
    /// Fails if an incomplete event exceeds 1 MiB.
    pub fn has_complete(&mut self) -> Result<bool, FrameTooLarge> {
        Ok(self.scan()?.is_some())
    }

    /// Returns the end of the next complete event; searches only bytes not searched before.
    fn scan(&mut self) -> Result<Option<usize>, FrameTooLarge> {
        let end = find_end(&self.buf, self.scanned);
        if end.is_none() {
            self.scanned = self.buf.len().saturating_sub(3);
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(FrameTooLarge);
            }
        }
        Ok(end)
    }

    /// Returns whether any bytes are buffered; after `next_frame` has returned `None`, these are
    /// an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Returns the position after the first blank line, searching from `from`.
fn find_end(buf: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = buf[at..].iter().position(|&b| b == b'\n') {
        let next = at + found + 1;
        match &buf[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

fn id_of(event: &[u8]) -> Option<u64> {
    event.split(|&b| b == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
