//! Buffer of model responses, from which callers can resume.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use lycheelatch_prelude::{
    Idempotency, Labels, Outcome, Priority, RequestId, ServiceName, WorkspaceName,
};

/// A token of a buffered response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedToken {
    /// Text of the token.
    pub text: Arc<str>,
    /// Data of the event that holds the token.
    pub data: Bytes,
}

/// An event of a buffered response that holds no token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedEvent {
    /// Number of tokens before the event.
    pub preceding_tokens: u64,
    /// Data of the event.
    pub data: Bytes,
}

/// The buffered part of a response of a model service, with its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedResponse {
    /// Workspace that may resume the response.
    pub workspace: WorkspaceName,
    /// Service.
    pub service: ServiceName,
    /// Path of the OpenAI endpoint.
    pub path: Arc<str>,
    /// Body of the request.
    pub body: Bytes,
    /// Labels of the request.
    pub labels: Labels,
    /// Priority of the request.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Whether the response is a single text, which can be resumed in the middle.
    pub is_single_text: bool,
    /// Tokens received so far, in order.
    pub tokens: Vec<BufferedToken>,
    /// Events that hold no token, in order.
    pub other_events: Vec<BufferedEvent>,
    /// Outcome of the request; none while it may continue.
    pub outcome: Option<Outcome>,
}

impl BufferedResponse {
    fn bytes(&self) -> usize {
        let tokens: usize = self.tokens.iter().map(token_bytes).sum();
        let other_events: usize =
            self.other_events.iter().map(|event| event_bytes(&event.data)).sum();
        self.body.len() + tokens + other_events + ENTRY_BYTES
    }

    /// Returns whether generation can be resumed after the buffered part.
    pub fn is_resumable(&self) -> bool {
        self.is_single_text && self.idempotency == Idempotency::Idempotent
    }
}

/// Memory overhead of one buffered response, in bytes.
const ENTRY_BYTES: usize = 512;

/// Memory overhead of one buffered token, in bytes.
const TOKEN_BYTES: usize = 96;

/// Memory overhead of one buffered event, in bytes.
const EVENT_BYTES: usize = 64;

fn token_bytes(token: &BufferedToken) -> usize {
    token.text.len() + token.data.len() + TOKEN_BYTES
}

fn event_bytes(data: &Bytes) -> usize {
    data.len() + EVENT_BYTES
}

/// Buffer of responses in bounded memory; the oldest are evicted first.
pub struct ResponseBuffer {
    max_bytes: usize,
    entries: Mutex<Entries>,
}

#[derive(Default)]
struct Entries {
    by_id: HashMap<RequestId, BufferedResponse>,
    order: VecDeque<RequestId>,
    bytes: usize,
}

impl Entries {
    fn evict_oldest(&mut self, max_bytes: usize) {
        while self.bytes > max_bytes {
            let Some(id) = self.order.pop_front() else { return };
            if let Some(response) = self.by_id.remove(&id) {
                self.bytes -= response.bytes();
            }
        }
    }
}

impl ResponseBuffer {
    /// Creates a buffer of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> ResponseBuffer {
        ResponseBuffer { max_bytes, entries: Mutex::default() }
    }

    /// Inserts a response and replaces an earlier one of the same request.
    pub fn insert(&self, id: &RequestId, response: BufferedResponse) {
        let mut entries = self.entries.lock().unwrap();
        entries.bytes += response.bytes();
        match entries.by_id.insert(id.clone(), response) {
            Some(earlier) => entries.bytes -= earlier.bytes(),
            None => entries.order.push_back(id.clone()),
        }
        entries.evict_oldest(self.max_bytes);
    }

    /// Appends the token at `offset`; ignores it unless it is the next token.
    pub fn push_token(&self, id: &RequestId, offset: u64, token: BufferedToken) {
        let mut entries = self.entries.lock().unwrap();
        let Some(response) = entries.by_id.get_mut(id) else { return };
        if response.tokens.len() as u64 != offset {
            return;
        }
        let added = token_bytes(&token);
        response.tokens.push(token);
        entries.bytes += added;
        entries.evict_oldest(self.max_bytes);
    }

    /// Appends an event that holds no token.
    pub fn push_event(&self, id: &RequestId, data: Bytes) {
        let mut entries = self.entries.lock().unwrap();
        let Some(response) = entries.by_id.get_mut(id) else { return };
        let added = event_bytes(&data);
        let preceding_tokens = response.tokens.len() as u64;
        response.other_events.push(BufferedEvent { preceding_tokens, data });
        entries.bytes += added;
        entries.evict_oldest(self.max_bytes);
    }

    /// Sets the outcome of a request.
    pub fn set_outcome(&self, id: &RequestId, outcome: Outcome) {
        if let Some(response) = self.entries.lock().unwrap().by_id.get_mut(id) {
            response.outcome = Some(outcome);
        }
    }

    /// Returns the buffered response of a request.
    pub fn get(&self, id: &RequestId) -> Option<BufferedResponse> {
        self.entries.lock().unwrap().by_id.get(id).cloned()
    }

    /// Returns the requests without an outcome, newest first.
    pub fn unfinished(&self) -> Vec<RequestId> {
        let entries = self.entries.lock().unwrap();
        let is_unfinished = |id: &&RequestId| {
            entries.by_id.get(id).is_some_and(|response| response.outcome.is_none())
        };
        entries.order.iter().rev().filter(is_unfinished).cloned().collect()
    }

    /// Inserts a response from another node unless the local copy has at least as many tokens.
    pub fn merge(&self, id: &RequestId, response: BufferedResponse) {
        let local_len = self.entries.lock().unwrap().by_id.get(id).map(|entry| entry.tokens.len());
        if local_len.is_none_or(|len| len < response.tokens.len()) {
            self.insert(id, response);
        }
    }

    /// Returns the memory in use, in bytes.
    pub fn bytes(&self) -> usize {
        self.entries.lock().unwrap().bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn response(body: usize) -> BufferedResponse {
        BufferedResponse {
            workspace: "w".parse().unwrap(),
            service: "s".parse().unwrap(),
            path: "/v1/completions".into(),
            body: vec![b'x'; body].into(),
            labels: Labels::default(),
            priority: Priority::Normal,
            idempotency: Idempotency::Idempotent,
            is_single_text: true,
            tokens: Vec::new(),
            other_events: Vec::new(),
            outcome: None,
        }
    }

    fn token(text: &str) -> BufferedToken {
        BufferedToken { text: text.into(), data: Bytes::new() }
    }

    #[test]
    fn push_token_only_in_order() {
        let buffer = ResponseBuffer::new(1 << 20);
        let id = RequestId::new_unique();
        buffer.insert(&id, response(10));
        buffer.push_token(&id, 0, token("a"));
        buffer.push_token(&id, 0, token("a"));
        buffer.push_token(&id, 2, token("c"));
        assert_eq!(buffer.get(&id).unwrap().tokens, [token("a")]);
    }

    #[test]
    fn push_other_bounds_memory() {
        for size in [0, 1_000] {
            let buffer = ResponseBuffer::new(10_000);
            let id = RequestId::new_unique();
            buffer.insert(&id, response(10));
            for _ in 0..1_000 {
                buffer.push_event(&id, vec![b'x'; size].into());
                assert!(buffer.bytes() <= 10_000);
            }
            assert!(buffer.get(&id).is_none());
        }
    }

    #[test]
    fn insert_bounds_memory() {
        let buffer = ResponseBuffer::new(100_000);
        let ids: Vec<_> = (0..100).map(|_| RequestId::new_unique()).collect();
        for id in &ids {
            buffer.insert(id, response(10_000));
        }
        assert!(buffer.bytes() <= 100_000);
        assert!(buffer.get(&ids[0]).is_none());
        assert!(buffer.get(&ids[99]).is_some());
    }
}
