//! Prefix hashes and size estimates of prompts.

use lycheelatch_policy::{BlockHash, prefix_blocks};
use serde::Deserialize;
use serde_json::Value;

use crate::{Record, RequestKind};

/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Expected number of response tokens if the request sets no limit.
const DEFAULT_EXPECTED_TOKENS: u64 = 256;

/// Fields of a model request that determine its prompt and the length of the response.
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

/// Properties of a prompt that placement and admission use.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Hashes of the prefixes of the prompt; empty for a plain service.
    pub(crate) blocks: Vec<BlockHash>,
    /// Estimated number of prompt tokens; 0 for a plain service.
    pub(crate) tokens: u64,
    /// Expected number of response tokens; 0 for a plain service.
    pub(crate) expected_tokens: u64,
}

impl Prompt {
    /// Parses the prompt of a request; empty if the body is not valid.
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

    /// Returns the cost of the request in tokens, at least 1.
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
    fn read_max_tokens_is_expected() {
        let prompt = Prompt::read(br#"{"prompt":"abcdefgh","max_tokens":40}"#);
        assert_eq!((prompt.tokens, prompt.expected_tokens, prompt.cost()), (2, 40, 42));
    }

    #[test]
    fn read_invalid_body_is_empty() {
        assert_eq!(Prompt::read(b"not json").tokens, 0);
    }
}
