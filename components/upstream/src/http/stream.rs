//! Reading of the events of an engine's response.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use lycheelatch_http::SendFailure;
use tokio::time::timeout;

use crate::{
    EngineStream, SseError, SseEvent, SseReader, StreamEvent, TokenOffset, UpstreamError,
    http::wire::ChunkWire,
};

#[cfg(test)]
mod tests;

/// Data of the event that ends a response.
const DONE: &str = "[DONE]";

type Body = std::pin::Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

struct EventReader {
    body: Body,
    sse: SseReader,
    ready: VecDeque<StreamEvent>,
    next_offset: TokenOffset,
    silence: Duration,
    ended: bool,
}

/// Parses a body into events.
///
/// Tokens are numbered from `first`, unless the id of their event gives the offset.
pub(crate) fn read_events<S>(body: S, first: TokenOffset, silence: Duration) -> EngineStream
where
    S: Stream<Item = Result<Bytes, PayloadError>> + 'static,
{
    let events = EventReader {
        body: Box::pin(body),
        sse: SseReader::new(),
        ready: VecDeque::new(),
        next_offset: first,
        silence,
        ended: false,
    };
    Box::pin(stream::unfold(events, |mut events| async move {
        let item = events.next().await?;
        Some((item, events))
    }))
}

impl EventReader {
    async fn next(&mut self) -> Option<Result<StreamEvent, UpstreamError>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                self.ended |= event == StreamEvent::Done;
                return Some(Ok(event));
            }
            if self.ended {
                return None;
            }
            if let Err(err) = self.read_chunk().await {
                self.ended = true;
                return Some(Err(err));
            }
        }
    }

    async fn read_chunk(&mut self) -> Result<(), UpstreamError> {
        let ms = u64::try_from(self.silence.as_millis()).unwrap_or(u64::MAX);
        let chunk = timeout(self.silence, self.body.next()).await;
        let chunk = chunk.map_err(|_| UpstreamError::Silent { ms })?;
        let incomplete =
            || UpstreamError::Broken { reason: "the answer ended before [DONE]".into() };
        let chunk = chunk.ok_or_else(incomplete)?.map_err(SendFailure::from)?;
        for event in self.sse.push(&chunk)? {
            let event = self.parse_event(event)?;
            self.ready.push_back(event);
        }
        Ok(())
    }

    fn parse_event(&mut self, event: SseEvent) -> Result<StreamEvent, UpstreamError> {
        if event.data == DONE {
            return Ok(StreamEvent::Done);
        }
        let invalid =
            |err: serde_json::Error| UpstreamError::BadAnswer { reason: err.to_string().into() };
        let chunk: ChunkWire = serde_json::from_str(&event.data).map_err(invalid)?;
        let Some(text) = chunk.into_text() else {
            return Ok(StreamEvent::Other(event.data.into()));
        };
        let explicit = event.id.and_then(|id| id.parse().ok()).map(TokenOffset);
        let offset = explicit.unwrap_or(self.next_offset);
        self.next_offset = TokenOffset(offset.0 + 1);
        let text: Arc<str> = text.into();
        Ok(StreamEvent::Token { offset, text, data: event.data.into() })
    }
}

impl From<SseError> for UpstreamError {
    fn from(err: SseError) -> UpstreamError {
        UpstreamError::BadAnswer { reason: err.to_string().into() }
    }
}
