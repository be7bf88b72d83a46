//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event with its bytes as they came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Id of the event, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// an event is larger than this node takes
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct FrameTooLarge;

impl std::error::Error for FrameTooLarge {}

/// Collects bytes and hands out whole events.
#[derive(Debug, Default)]
pub struct FrameReader {
    buf: BytesMut,
    scanned: usize,
}

impl FrameReader {
    /// Adds bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Returns the next whole event.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameTooLarge> {
        let Some(end) = find_end(&self.buf, self.scanned) else {
            self.scanned = self.buf.len().saturating_sub(3);
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(FrameTooLarge);
            }
            return Ok(None);
        };
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        Ok(Some(Frame { id: id_of(&bytes), bytes }))
    }

    /// Returns whether a whole event is held.
    pub fn has_complete(&self) -> bool {
        find_end(&self.buf, 0).is_some()
    }

    /// Returns whether bytes of an unfinished event are held.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Returns the position after the first blank line.
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
