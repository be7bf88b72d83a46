//! Client of the quickstart.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::StreamExt;
use lycheelatch_fakes::ServedEngine;
use lycheelatch_upstream::{SseReader, wire::ChunkWire};
use serde_json::json;
use tokio::time::Instant;

use crate::setup::{MODEL_SERVICE, ORDERS_SERVICE, TOKEN};

/// Client of one node.
pub(crate) struct Caller {
    node: SocketAddr,
}

/// How a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// Ended with `[DONE]`.
    Complete,
    /// Failed with this status.
    Refused(u16),
    /// Interrupted, or not started for lack of a response.
    Broken,
}

/// Result of a stream that was read to its end.
#[derive(Debug)]
pub(crate) struct StreamResult {
    pub(crate) end: StreamEnd,
    pub(crate) text: String,
    pub(crate) tokens: usize,
    pub(crate) first_token: Option<Instant>,
}

impl StreamResult {
    /// Returns whether the stream is complete and has the text that the engines generate.
    pub(crate) fn is_complete_response_to(&self, prompt: &str, tokens: u64) -> bool {
        self.end == StreamEnd::Complete && self.text == ServedEngine::expected_text(prompt, tokens)
    }
}

/// Response to a booking.
#[derive(Debug)]
pub(crate) struct BookingResponse {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) body: Bytes,
}

impl Caller {
    pub(crate) fn new(node: SocketAddr) -> Caller {
        Caller { node }
    }

    /// Requests a result response and reads it.
    pub(crate) async fn stream(&self, prompt: &str, max_tokens: u64) -> StreamResult {
        let body = json!({
            "model": MODEL_SERVICE,
            "stream": true,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        let mut result = StreamResult {
            end: StreamEnd::Broken,
            text: String::new(),
            tokens: 0,
            first_token: None,
        };
        let response = lycheelatch_http::client()
            .post(format!("http://{}/v1/chat/completions", self.node))
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .send_json(&body)
            .await;
        let Ok(mut response) = response else { return result };
        if !response.status().is_success() {
            result.end = StreamEnd::Refused(response.status().as_u16());
            return result;
        }
        let mut reader = SseReader::new();
        while let Some(Ok(chunk)) = response.next().await {
            for event in reader.push(&chunk).unwrap_or_default() {
                result.push_event(&event.data);
            }
        }
        result
    }

    /// Sends a booking.
    pub(crate) async fn book(&self, order: &str, key: &str) -> BookingResponse {
        let url = format!("http://{}/services/{ORDERS_SERVICE}/orders/{order}", self.node);
        let response = lycheelatch_http::client()
            .post(url)
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .insert_header(("idempotency-key", key))
            .send()
            .await;
        let Ok(mut response) = response else {
            return BookingResponse {
                status: 0,
                outcome: "no response".to_owned(),
                body: Bytes::new(),
            };
        };
        let outcome = response.headers().get("lycheelatch-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("none").to_owned();
        let body = response.body().await.unwrap_or_default();
        BookingResponse { status: response.status().as_u16(), outcome, body }
    }
}

impl StreamResult {
    fn push_event(&mut self, data: &str) {
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
