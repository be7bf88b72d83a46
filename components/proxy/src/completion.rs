//! Builds a whole answer from the events of a stream.

use bytes::Bytes;
use serde_json::{Map, Value, json};

/// Fields of a chunk that a whole answer repeats.
const COMMON_FIELDS: [&str; 4] = ["id", "created", "model", "system_fingerprint"];

/// Collects the events of a stream into one answer in the OpenAI format.
#[derive(Debug, Default)]
pub(crate) struct CompletionBuilder {
    text: String,
    common: Map<String, Value>,
    finish_reason: Option<Value>,
    usage: Option<Value>,
}

impl CompletionBuilder {
    /// Adds the text and the event of a token.
    pub(crate) fn push_token(&mut self, text: &str, data: &[u8]) {
        self.text.push_str(text);
        self.read_fields(data);
    }

    /// Adds an event that holds no token.
    pub(crate) fn push_other(&mut self, data: &[u8]) {
        self.read_fields(data);
    }

    fn read_fields(&mut self, data: &[u8]) {
        let Ok(mut chunk) = serde_json::from_slice::<Map<String, Value>>(data) else { return };
        if self.common.is_empty() {
            for field in COMMON_FIELDS {
                if let Some(value) = chunk.remove(field) {
                    self.common.insert(field.to_owned(), value);
                }
            }
        }
        if let Some(usage) = chunk.remove("usage").filter(|usage| !usage.is_null()) {
            self.usage = Some(usage);
        }
        let reason = chunk.get("choices").and_then(|choices| choices.get(0)?.get("finish_reason"));
        if let Some(reason) = reason.filter(|reason| !reason.is_null()) {
            self.finish_reason = Some(reason.clone());
        }
    }

    /// Returns the body of the whole answer.
    pub(crate) fn finish(self, is_chat: bool) -> Bytes {
        let reason = self.finish_reason.unwrap_or_else(|| json!("stop"));
        let (object, choice) = match is_chat {
            true => {
                let message = json!({"role": "assistant", "content": self.text});
                (
                    "chat.completion",
                    json!({"index": 0, "message": message, "finish_reason": reason}),
                )
            }
            false => {
                ("text_completion", json!({"index": 0, "text": self.text, "finish_reason": reason}))
            }
        };
        let mut answer = self.common;
        answer.insert("object".to_owned(), json!(object));
        answer.insert("choices".to_owned(), json!([choice]));
        if let Some(usage) = self.usage {
            answer.insert("usage".to_owned(), usage);
        }
        serde_json::to_vec(&answer).unwrap_or_default().into()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn finish_joins_text_and_fields() {
        let mut whole = CompletionBuilder::default();
        whole.push_token("a", br#"{"id":"c1","choices":[{"delta":{"content":"a"}}]}"#);
        whole.push_token("b", br#"{"id":"c1","choices":[{"delta":{"content":"b"}}]}"#);
        whole.push_other(br#"{"choices":[{"delta":{},"finish_reason":"length"}],"usage":{"t":2}}"#);
        let answer: Value = serde_json::from_slice(&whole.finish(true)).unwrap();
        assert_eq!(answer["id"], "c1");
        assert_eq!(answer["choices"][0]["message"]["content"], "ab");
        assert_eq!(answer["choices"][0]["finish_reason"], "length");
        assert_eq!(answer["usage"]["t"], 2);
    }
}
