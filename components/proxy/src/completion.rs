//! Builds a non-streaming response body from the events of a stream.

use bytes::Bytes;
use serde_json::{Map, Value, json};

/// Fields copied from the first chunk to the response body.
const COMMON_FIELDS: [&str; 4] = ["id", "created", "model", "system_fingerprint"];

/// Combines the events of a stream into one response body in the OpenAI format.
#[derive(Debug, Default)]
pub(crate) struct CompletionBuilder {
    text: String,
    common: Map<String, Value>,
    finish_reason: Option<Value>,
    usage: Option<Value>,
}

impl CompletionBuilder {
    /// Adds a token: its text and the data of its event.
    pub(crate) fn push_token(&mut self, text: &str, data: &[u8]) {
        self.text.push_str(text);
        self.read_fields(data);
    }

    /// Adds the data of an event without a token.
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

    /// Returns the response body.
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
        let mut response = self.common;
        response.insert("object".to_owned(), json!(object));
        response.insert("choices".to_owned(), json!([choice]));
        if let Some(usage) = self.usage {
            response.insert("usage".to_owned(), usage);
        }
        serde_json::to_vec(&response).unwrap_or_default().into()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn finish_merges_text_and_fields() {
        let mut builder = CompletionBuilder::default();
        builder.push_token("a", br#"{"id":"c1","choices":[{"delta":{"content":"a"}}]}"#);
        builder.push_token("b", br#"{"id":"c1","choices":[{"delta":{"content":"b"}}]}"#);
        builder
            .push_other(br#"{"choices":[{"delta":{},"finish_reason":"length"}],"usage":{"t":2}}"#);
        let response: Value = serde_json::from_slice(&builder.finish(true)).unwrap();
        assert_eq!(response["id"], "c1");
        assert_eq!(response["choices"][0]["message"]["content"], "ab");
        assert_eq!(response["choices"][0]["finish_reason"], "length");
        assert_eq!(response["usage"]["t"], 2);
    }
}
