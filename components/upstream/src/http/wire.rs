//! Wire types of the HTTP endpoints of an engine.

use lycheelatch_prelude::Fence;
use serde::{Deserialize, Serialize};

/// Field `resume` of a request body: the position from which to resume a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeWire {
    /// Number of tokens already delivered.
    pub offset: u64,
    /// Text of the delivered tokens.
    pub text: String,
}

/// One chunk of a response in the OpenAI format; unused fields are ignored.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct ChunkWire {
    /// Choices, of which only the first is used.
    pub choices: Vec<ChoiceWire>,
}

/// One choice of a chunk.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct ChoiceWire {
    /// Text of a completion.
    pub text: Option<String>,
    /// Incremental part of a chat message.
    pub delta: Option<DeltaWire>,
}

/// Incremental part of a chat message.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct DeltaWire {
    /// Text of the part.
    pub content: Option<String>,
}

impl ChunkWire {
    /// Returns the text of the first choice, unless it is empty.
    pub fn into_text(self) -> Option<String> {
        let choice = self.choices.into_iter().next()?;
        let text = choice.text.or_else(|| choice.delta?.content)?;
        (!text.is_empty()).then_some(text)
    }
}

/// Body of the response that refuses an order with an outdated fencing number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StaleFenceWire {
    /// Highest fencing number that the engine has seen.
    pub seen: Fence,
}
