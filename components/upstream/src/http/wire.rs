//! Wire types of an engine's HTTP endpoints.

use lycheelatch_prelude::Fence;
use serde::{Deserialize, Serialize};

/// Where an answer is taken up again: the field `resume` of a request's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeWire {
    /// Tokens that were delivered.
    pub offset: u64,
    /// Their text.
    pub text: String,
}

/// One chunk of an answer in the OpenAI format, as far as it is read.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct ChunkWire {
    /// Choices; only the first is read.
    pub choices: Vec<ChoiceWire>,
}

/// One choice of a chunk.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct ChoiceWire {
    /// Text of a completion.
    pub text: Option<String>,
    /// Part of a chat message.
    pub delta: Option<DeltaWire>,
}

/// Part of a chat message.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct DeltaWire {
    /// Text.
    pub content: Option<String>,
}

impl ChunkWire {
    /// Returns the text of the chunk, if it has some.
    pub fn into_text(self) -> Option<String> {
        let choice = self.choices.into_iter().next()?;
        let text = choice.text.or_else(|| choice.delta?.content)?;
        (!text.is_empty()).then_some(text)
    }
}

/// Refusal of an order with an old fencing number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StaleFenceWire {
    /// Highest number that the engine has seen.
    pub seen: Fence,
}
