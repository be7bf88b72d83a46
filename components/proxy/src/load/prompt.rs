//! The prompt of a model request: its prefixes and its size.

use lycheelatch_policy::{BlockHash, prefix_blocks};
use serde::Deserialize;
use serde_json::Value;

use crate::{Record, RequestKind};

/// Bytes of a prompt that make about one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Tokens of an answer whose request gives no limit.
const DEFAULT_EXPECTED_TOKENS: u64 = 256;

/// Fields of a model request that tell of its prompt.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct PromptWire {
    messages: Vec<MessageWire>,
    prompt: Value,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct MessageWire {
    role: String,
    content: Value,
}

/// The prompt of a request as placement takes it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Hashes of the prompt's prefixes; none at a plain service.
    pub(crate) blocks: Vec<BlockHash>,
    /// Tokens of the prompt; 0 at a plain service.
    pub(crate) tokens: u64,
    /// Tokens of the answer that are expected; 0 at a plain service.
    pub(crate) expected_tokens: u64,
}

impl Prompt {
    /// Reads the prompt of a request.
    pub(crate) fn from_record(rec: &Record) -> Prompt {
        match (&rec.kind, &rec.body) {
            (RequestKind::Model { .. }, Some(body)) => Prompt::read(body),
            _ => Prompt::default(),
        }
    }

    fn read(body: &[u8]) -> Prompt {
        let wire: PromptWire = serde_json::from_slice(body).unwrap_or_default();
        let mut texts: Vec<String> = Vec::new();
        for message in wire.messages {
            texts.push(message.role);
            texts.push(text_of(message.content));
        }
        texts.push(text_of(wire.prompt));
        let bytes: usize = texts.iter().map(String::len).sum();
        let token_limit = wire.max_completion_tokens.or(wire.max_tokens);
        Prompt {
            blocks: prefix_blocks(texts.iter().map(String::as_str)),
            tokens: (bytes as u64).div_ceil(BYTES_PER_TOKEN),
            expected_tokens: token_limit.unwrap_or(DEFAULT_EXPECTED_TOKENS),
        }
    }

    /// Returns the work that the request brings, in the units of its service.
    pub(crate) fn cost(&self) -> u64 {
        (self.tokens + self.expected_tokens).max(1)
    }
}

fn text_of(value: Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text,
        other => other.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn read_next_turn_keeps_prefix() {
        let history = "lot 17, Chanchamayo ".repeat(300);
        let first = format!(r#"{{"messages":[{{"role":"user","content":"{history}"}}]}}"#);
        let second = format!(
            r#"{{"stream":true,"messages":[{{"role":"user","content":"{history}"}},
               {{"role":"assistant","content":"noted"}},{{"role":"user","content":"more"}}]}}"#
        );
        let (first, second) = (Prompt::read(first.as_bytes()), Prompt::read(second.as_bytes()));
        assert!(first.blocks.len() >= 5);
        assert_eq!(first.blocks[..], second.blocks[..first.blocks.len()]);
        assert!(second.tokens > first.tokens);
    }

    #[test]
    fn read_max_tokens_counts() {
        let prompt = Prompt::read(br#"{"prompt":"abcdefgh","max_tokens":40}"#);
        assert_eq!((prompt.tokens, prompt.expected_tokens, prompt.cost()), (2, 40, 42));
    }

    #[test]
    fn read_other_body_is_empty() {
        assert_eq!(Prompt::read(b"not json").tokens, 0);
    }
}
