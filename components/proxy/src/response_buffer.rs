//! ResponseBuffer that are kept for callers that take them up again.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use lycheelatch_prelude::{
    Idempotency, Labels, Outcome, Priority, RequestId, ServiceName, WorkspaceName,
};

/// One token of a kept answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedToken {
    /// Text of the token.
    pub text: Arc<str>,
    /// Data of its event.
    pub data: Bytes,
}

/// An event of a kept answer that holds no token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedEvent {
    /// Tokens that came before it.
    pub preceding_tokens: u64,
    /// Its data.
    pub data: Bytes,
}

/// What is kept of one answer of a model service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedResponse {
    /// Workspace that may take it up again.
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
    /// Whether the answer is one text that can be taken up midway.
    pub is_one_text: bool,
    /// Tokens so far, in order.
    pub tokens: Vec<BufferedToken>,
    /// Events that hold no token, in order.
    pub other_events: Vec<BufferedEvent>,
    /// What became of it; none while it may go on.
    pub outcome: Option<Outcome>,
}

impl BufferedResponse {
    fn bytes(&self) -> usize {
        let tokens: usize = self.tokens.iter().map(token_bytes).sum();
        let other_events: usize =
            self.other_events.iter().map(|event| event_bytes(&event.data)).sum();
        self.body.len() + tokens + other_events + ENTRY_BYTES
    }

    /// Returns whether the answer can go on after its kept part.
    pub fn is_resumable(&self) -> bool {
        self.is_one_text && self.idempotency == Idempotency::Idempotent
    }
}

/// Memory of one kept answer beside its contents, in bytes.
const ENTRY_BYTES: usize = 512;

/// Memory of one kept token beside its contents, in bytes.
const TOKEN_BYTES: usize = 96;

/// Memory of one kept event beside its data, in bytes.
const EVENT_BYTES: usize = 64;

fn token_bytes(token: &BufferedToken) -> usize {
    token.text.len() + token.data.len() + TOKEN_BYTES
}

fn event_bytes(data: &Bytes) -> usize {
    data.len() + EVENT_BYTES
}

/// Answers kept in bounded memory; the oldest are forgotten first.
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
            if let Some(answer) = self.by_id.remove(&id) {
                self.bytes -= answer.bytes();
            }
        }
    }
}

impl ResponseBuffer {
    /// Creates a store of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> ResponseBuffer {
        ResponseBuffer { max_bytes, entries: Mutex::default() }
    }

    /// Keeps an answer, in place of an earlier one of the same request.
    pub fn insert(&self, id: &RequestId, answer: BufferedResponse) {
        let mut entries = self.entries.lock().unwrap();
        entries.bytes += answer.bytes();
        match entries.by_id.insert(id.clone(), answer) {
            Some(earlier) => entries.bytes -= earlier.bytes(),
            None => entries.order.push_back(id.clone()),
        }
        entries.evict_oldest(self.max_bytes);
    }

    /// Adds the token at `offset`, unless it is kept already.
    pub fn push_token(&self, id: &RequestId, offset: u64, token: BufferedToken) {
        let mut entries = self.entries.lock().unwrap();
        let Some(answer) = entries.by_id.get_mut(id) else { return };
        if answer.tokens.len() as u64 != offset {
            return;
        }
        let added = token_bytes(&token);
        answer.tokens.push(token);
        entries.bytes += added;
        entries.evict_oldest(self.max_bytes);
    }

    /// Adds the data of an event that holds no token.
    pub fn push_event(&self, id: &RequestId, data: Bytes) {
        let mut entries = self.entries.lock().unwrap();
        let Some(answer) = entries.by_id.get_mut(id) else { return };
        let added = event_bytes(&data);
        let preceding_tokens = answer.tokens.len() as u64;
        answer.other_events.push(BufferedEvent { preceding_tokens, data });
        entries.bytes += added;
        entries.evict_oldest(self.max_bytes);
    }

    /// Notes what became of an answer.
    pub fn set_outcome(&self, id: &RequestId, outcome: Outcome) {
        if let Some(answer) = self.entries.lock().unwrap().by_id.get_mut(id) {
            answer.outcome = Some(outcome);
        }
    }

    /// Returns a kept answer.
    pub fn get(&self, id: &RequestId) -> Option<BufferedResponse> {
        self.entries.lock().unwrap().by_id.get(id).cloned()
    }

    /// Returns the requests whose answers are not settled, newest first.
    pub fn unfinished(&self) -> Vec<RequestId> {
        let entries = self.entries.lock().unwrap();
        let is_unsettled =
            |id: &&RequestId| entries.by_id.get(id).is_some_and(|answer| answer.outcome.is_none());
        entries.order.iter().rev().filter(is_unsettled).cloned().collect()
    }

    /// Keeps an answer that came from another node, unless more of it is here.
    pub fn merge(&self, id: &RequestId, answer: BufferedResponse) {
        let here = self.entries.lock().unwrap().by_id.get(id).map(|entry| entry.tokens.len());
        if here.is_none_or(|here| here < answer.tokens.len()) {
            self.insert(id, answer);
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

    fn answer(body: usize) -> BufferedResponse {
        BufferedResponse {
            workspace: "w".parse().unwrap(),
            service: "s".parse().unwrap(),
            path: "/v1/completions".into(),
            body: vec![b'x'; body].into(),
            labels: Labels::default(),
            priority: Priority::Normal,
            idempotency: Idempotency::Idempotent,
            is_one_text: true,
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
        let answers = ResponseBuffer::new(1 << 20);
        let id = RequestId::new_unique();
        answers.insert(&id, answer(10));
        answers.push_token(&id, 0, token("a"));
        answers.push_token(&id, 0, token("a"));
        answers.push_token(&id, 2, token("c"));
        assert_eq!(answers.get(&id).unwrap().tokens, [token("a")]);
    }

    #[test]
    fn push_other_bounds_memory() {
        for size in [0, 1_000] {
            let answers = ResponseBuffer::new(10_000);
            let id = RequestId::new_unique();
            answers.insert(&id, answer(10));
            for _ in 0..1_000 {
                answers.push_event(&id, vec![b'x'; size].into());
                assert!(answers.bytes() <= 10_000);
            }
            assert!(answers.get(&id).is_none());
        }
    }

    #[test]
    fn insert_bounds_memory() {
        let answers = ResponseBuffer::new(100_000);
        let ids: Vec<_> = (0..100).map(|_| RequestId::new_unique()).collect();
        for id in &ids {
            answers.insert(id, answer(10_000));
        }
        assert!(answers.bytes() <= 100_000);
        assert!(answers.get(&ids[0]).is_none());
        assert!(answers.get(&ids[99]).is_some());
    }
}
