//! Parser of server-sent events.

use bytes::{Buf, BytesMut};
use displaydoc::Display;

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of the last `id` field.
    pub id: Option<String>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

/// Why a stream of events can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SseError {
    /// an event is larger than 1 MiB
    TooLarge,
    /// an event is not UTF-8
    NotUtf8,
}

impl std::error::Error for SseError {}

/// Incremental parser of a stream of events.
#[derive(Debug, Default)]
pub struct SseReader {
    buf: BytesMut,
    /// Length of the prefix of `buf` that is known to contain no line feed.
    scanned: usize,
    event: SseEvent,
    has_data: bool,
    event_bytes: usize,
}

impl SseReader {
    /// Creates a reader at the start of a stream.
    pub fn new() -> SseReader {
        SseReader::default()
    }

    /// Adds a chunk and returns the events that it completes.
    ///
    /// Fails if an event exceeds `MAX_EVENT_BYTES` or a line is not UTF-8.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<SseEvent>, SseError> {
        self.buf.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(line) = self.next_line()? {
            if let Some(event) = self.parse_line(&line) {
                events.push(event);
            }
        }
        if self.buf.len() + self.event_bytes > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        Ok(events)
    }

    fn next_line(&mut self) -> Result<Option<String>, SseError> {
        let Some(end) = self.buf[self.scanned..].iter().position(|b| *b == b'\n') else {
            self.scanned = self.buf.len();
            return Ok(None);
        };
        let line = self.buf.split_to(self.scanned + end);
        self.buf.advance(1);
        self.scanned = 0;
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        let line = std::str::from_utf8(line).map_err(|_| SseError::NotUtf8)?;
        Ok(Some(line.to_owned()))
    }

    fn parse_line(&mut self, line: &str) -> Option<SseEvent> {
        if line.is_empty() {
            self.event_bytes = 0;
            let event = std::mem::take(&mut self.event);
            return std::mem::take(&mut self.has_data).then_some(event);
        }
        self.event_bytes += line.len();
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            "id" => self.event.id = Some(value.to_owned()),
            _ => {}
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn push_event_in_pieces() {
        let mut reader = SseReader::new();
        assert_eq!(reader.push(b"id: 7\nda").unwrap(), []);
        let events = reader.push(b"ta: a\r\ndata: b\r\n\r\n: note\n\n").unwrap();
        assert_eq!(events, [SseEvent { id: Some("7".to_owned()), data: "a\nb".to_owned() }]);
    }

    #[test]
    fn push_endless_event_is_refused() {
        let mut reader = SseReader::new();
        let line = [b"data: ".as_slice(), &[b'x'; 64 * 1024], b"\n"].concat();
        let refused = (0..20).map(|_| reader.push(&line)).find(Result::is_err);
        assert_eq!(refused, Some(Err(SseError::TooLarge)));
    }

    #[test]
    fn push_not_utf8_is_refused() {
        assert_eq!(SseReader::new().push(b"data: \xff\n"), Err(SseError::NotUtf8));
    }
}
