//! Callers that read streams and resume them.

use std::{pin::Pin, time::Duration};

use actix_web::{
    body::{BoxBody, MessageBody},
    http::StatusCode,
    test::TestRequest,
};
use bytes::Bytes;
use futures_util::future::poll_fn;
use lycheelatch_upstream::SseReader;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::bench::{MODEL, TOKEN, TestNode, token_text};

/// How a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The stream is complete.
    Whole,
    /// The connection broke.
    Broken,
    /// The stream contained an error event.
    Failed,
    /// The request was refused with this status.
    Refused(StatusCode),
    /// The caller disconnected.
    Disconnected,
}

/// A caller of one streamed request.
pub(crate) struct Caller {
    id: String,
    max_tokens: u64,
    /// IDs of the token events in order of arrival.
    pub(crate) ids: Vec<u64>,
    /// Concatenated text of the tokens.
    pub(crate) text: String,
    /// Time at which the last request was sent.
    pub(crate) sent_at: Instant,
    /// Time to the first new token of each request.
    pub(crate) first_token_delays: Vec<Duration>,
    /// Number of tokens in total after which the caller disconnects.
    pub(crate) disconnect_after: Option<usize>,
    /// Additional fields of the request body.
    pub(crate) fields: Value,
    /// Number of events received without an ID.
    pub(crate) other_events: usize,
    /// Delay after each token, which simulates a slow reader.
    pub(crate) read_delay: Duration,
}

impl Caller {
    /// Creates a caller that requests `max_tokens` tokens.
    pub(crate) fn new(id: &str, max_tokens: u64) -> Caller {
        Caller {
            id: id.to_owned(),
            max_tokens,
            ids: Vec::new(),
            text: String::new(),
            sent_at: Instant::now(),
            first_token_delays: Vec::new(),
            disconnect_after: None,
            fields: json!({}),
            other_events: 0,
            read_delay: Duration::ZERO,
        }
    }

    /// Returns whether each token was received once and in order.
    pub(crate) fn is_exact(&self) -> bool {
        let expected: String = (0..self.max_tokens).map(token_text).collect();
        self.ids.iter().copied().eq(1..=self.max_tokens) && self.text == expected
    }

    /// Sends the request to a node and reads the stream to its end.
    pub(crate) async fn send(&mut self, node: &TestNode) -> StreamEnd {
        self.send_with_headers(node, &[]).await
    }

    /// Sends the request with additional headers.
    pub(crate) async fn send_with_headers(
        &mut self,
        node: &TestNode,
        headers: &[(&str, &str)],
    ) -> StreamEnd {
        let mut body = json!({"model": MODEL, "stream": true, "prompt": "lot 17",
                          "max_tokens": self.max_tokens});
        body.as_object_mut().unwrap().extend(self.fields.as_object().unwrap().clone());
        let mut req = TestRequest::post()
            .uri("/v1/completions")
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .insert_header(("x-request-id", self.id.as_str()))
            .insert_header(("lycheelatch-timeout-ms", "600000"))
            .set_payload(body.to_string());
        for header in headers {
            req = req.insert_header(*header);
        }
        self.read(node, req).await
    }

    /// Resumes the stream at a node and reads it to its end.
    pub(crate) async fn resume(&mut self, node: &TestNode) -> StreamEnd {
        let req = TestRequest::get()
            .uri(&format!("/v1/requests/{}", self.id))
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .insert_header(("lycheelatch-timeout-ms", "600000"))
            .insert_header(("last-event-id", self.ids.last().unwrap_or(&0).to_string()));
        self.read(node, req).await
    }

    async fn read(&mut self, node: &TestNode, req: TestRequest) -> StreamEnd {
        self.sent_at = Instant::now();
        let response = node.serve(req.to_request()).await;
        if !response.status().is_success() {
            return StreamEnd::Refused(response.status());
        }
        let mut body = response.into_body();
        let mut reader = SseReader::new();
        let mut is_first = true;
        loop {
            let chunk = match next_chunk(&mut body).await {
                Some(Ok(chunk)) => chunk,
                Some(Err(())) | None => return StreamEnd::Broken,
            };
            for event in reader.push(&chunk).unwrap() {
                if event.data == "[DONE]" {
                    return StreamEnd::Whole;
                }
                if event.data.contains("\"error\"") {
                    return StreamEnd::Failed;
                }
                if std::mem::take(&mut is_first) {
                    self.first_token_delays.push(self.sent_at.elapsed());
                }
                self.take_token(&event.data, event.id.as_deref());
                sleep(self.read_delay).await;
                if self.disconnect_after.is_some_and(|after| self.ids.len() >= after) {
                    return StreamEnd::Disconnected;
                }
            }
        }
    }

    fn take_token(&mut self, data: &str, id: Option<&str>) {
        let Some(id) = id else {
            self.other_events += 1;
            return;
        };
        self.ids.push(id.parse().unwrap());
        let event: Value = serde_json::from_str(data).unwrap();
        self.text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap());
    }
}

async fn next_chunk(body: &mut BoxBody) -> Option<Result<Bytes, ()>> {
    let chunk = poll_fn(|cx| Pin::new(&mut *body).poll_next(cx)).await?;
    Some(chunk.map_err(|_broken| ()))
}
