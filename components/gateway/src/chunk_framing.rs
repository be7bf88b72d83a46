//! Position within a body in chunks, to find its end.

/// What the next byte of a body belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The size of a chunk, of which this much has been read.
    Size(u64),
    /// An extension after a chunk's size.
    Extension(u64),
    /// A chunk with this number of bytes left, the line end after it included.
    Data(u64),
    /// The start of a line after the last chunk: a trailer, or the empty line that ends the body.
    LineStart,
    /// A trailer.
    Trailer,
    /// The body has ended.
    End,
}

/// Position within a body in chunks.
///
/// A malformed body may end anywhere: the HTTP parser that follows rejects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ChunkFraming(State);

impl ChunkFraming {
    /// Returns the start of a body.
    pub(crate) fn new() -> ChunkFraming {
        ChunkFraming(State::Size(0))
    }

    /// Reads on; returns where the body ends if it ends within `bytes`.
    pub(crate) fn end_in(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut at = 0;
        while at < bytes.len() {
            let left = bytes.len() - at;
            at += self.skip(left);
            if let Some(byte) = bytes.get(at) {
                self.step(*byte);
                at += 1;
            }
            if self.0 == State::End {
                return Some(at);
            }
        }
        None
    }

    /// Skips the data of a chunk, but for its last byte; returns how much, at most `most`.
    fn skip(&mut self, most: usize) -> usize {
        let State::Data(left) = &mut self.0 else { return 0 };
        let n = usize::try_from(*left - 1).unwrap_or(usize::MAX).min(most);
        *left -= n as u64;
        n
    }

    fn step(&mut self, byte: u8) {
        self.0 = match (self.0, byte) {
            (State::Size(size) | State::Extension(size), b'\n') => after_size(size),
            (State::Size(size), b'\r') => State::Size(size),
            (State::Size(size), byte) => match char::from(byte).to_digit(16) {
                Some(digit) => State::Size(size.saturating_mul(16).saturating_add(digit.into())),
                None => State::Extension(size),
            },
            (State::Extension(size), _) => State::Extension(size),
            (State::Data(left), _) if left > 1 => State::Data(left - 1),
            (State::Data(_), _) => State::Size(0),
            (State::LineStart, b'\r') => State::LineStart,
            (State::LineStart, b'\n') => State::End,
            (State::Trailer, b'\n') => State::LineStart,
            (State::LineStart | State::Trailer, _) => State::Trailer,
            (State::End, _) => State::End,
        };
    }
}

fn after_size(size: u64) -> State {
    match size {
        0 => State::LineStart,
        size => State::Data(size.saturating_add(2)),
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn end_is_found_in_any_pieces(
            sizes in prop::collection::vec(1_usize..300, 0..10),
            piece in 1_usize..50,
            extension in prop::sample::select(vec!["", ";a=b", " ;f"]),
            trailers in prop::sample::select(vec!["", "X-Sum: 1\r\n", "A: 1\r\nB:\r\n", "A: 1\n"]),
        ) {
            let chunk = |size: &usize| format!("{size:x}{extension}\r\n{}\r\n", "\n".repeat(*size));
            let body = sizes.iter().map(chunk).collect::<String>();
            let body = format!("{body}0\r\n{trailers}\r\n");
            let sent = format!("{body}GET /");
            let mut framing = ChunkFraming::new();
            let mut ends = Vec::new();
            for (n, bytes) in sent.as_bytes().chunks(piece).enumerate() {
                ends.extend(framing.end_in(bytes).map(|end| n * piece + end));
                if !ends.is_empty() {
                    break;
                }
            }
            prop_assert_eq!(ends, vec![body.len()]);
        }

        #[test]
        fn end_in_any_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let mut framing = ChunkFraming::new();
            let end = framing.end_in(&bytes);
            prop_assert!(end.is_none_or(|end| end <= bytes.len()));
        }
    }
}
