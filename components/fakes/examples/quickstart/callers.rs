//! Callers of the quickstart.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::StreamExt;
use lycheelatch_fakes::ServedEngine;
use lycheelatch_upstream::{SseReader, wire::ChunkWire};
use serde_json::json;
use tokio::time::Instant;

use crate::setup::{MODEL_SERVICE, ORDERS_SERVICE, TOKEN};

/// A caller of one node.
pub(crate) struct Caller {
    node: SocketAddr,
}

/// How a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// Whole.
    Complete,
    /// Refused with this status.
    Refused(u16),
    /// Broken.
    Broken,
}

/// A stream that was read to its end.
#[derive(Debug)]
pub(crate) struct Streamed {
    pub(crate) end: StreamEnd,
    pub(crate) text: String,
    pub(crate) tokens: usize,
    pub(crate) first_token: Option<Instant>,
}

impl Streamed {
    /// Returns whether this is the whole answer that the engines give.
    pub(crate) fn is_whole_answer_to(&self, prompt: &str, tokens: u64) -> bool {
        self.end == StreamEnd::Complete && self.text == ServedEngine::expected_text(prompt, tokens)
    }
}

/// Answer to a booking.
#[derive(Debug)]
pub(crate) struct Booked {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) body: Bytes,
}

impl Caller {
    pub(crate) fn new(node: SocketAddr) -> Caller {
        Caller { node }
    }

    /// Asks for an answer and reads its stream.
    pub(crate) async fn stream(&self, prompt: &str, max_tokens: u64) -> Streamed {
        let body = json!({
            "model": MODEL_SERVICE,
            "stream": true,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        let mut streamed =
            Streamed { end: StreamEnd::Broken, text: String::new(), tokens: 0, first_token: None };
        let answer = lycheelatch_http::client()
            .post(format!("http://{}/v1/chat/completions", self.node))
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .send_json(&body)
            .await;
        let Ok(mut answer) = answer else { return streamed };
        if !answer.status().is_success() {
            streamed.end = StreamEnd::Refused(answer.status().as_u16());
            return streamed;
        }
        let mut reader = SseReader::new();
        while let Some(Ok(chunk)) = answer.next().await {
            for event in reader.push(&chunk).unwrap_or_default() {
                streamed.take(&event.data);
            }
        }
        streamed
    }

    /// Sends a booking.
    pub(crate) async fn book(&self, order: &str, key: &str) -> Booked {
        let url = format!("http://{}/services/{ORDERS_SERVICE}/orders/{order}", self.node);
        let answer = lycheelatch_http::client()
            .post(url)
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .insert_header(("idempotency-key", key))
            .send()
            .await;
        let Ok(mut answer) = answer else {
            return Booked { status: 0, outcome: "no answer".to_owned(), body: Bytes::new() };
        };
        let outcome = answer.headers().get("lycheelatch-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("none").to_owned();
        let body = answer.body().await.unwrap_or_default();
        Booked { status: answer.status().as_u16(), outcome, body }
    }
}

impl Streamed {
    fn take(&mut self, data: &str) {
        if data == "[DONE]" {
            self.end = StreamEnd::Complete;
            return;
        }
        let chunk: Option<ChunkWire> = serde_json::from_str(data).ok();
        if let Some(text) = chunk.and_then(ChunkWire::into_text) {
            self.first_token.get_or_insert_with(Instant::now);
            self.text.push_str(&text);
            self.tokens += 1;
        }
    }
}
