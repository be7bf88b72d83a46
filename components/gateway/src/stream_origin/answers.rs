//! What several nodes know of the origin of a stream, and what follows from it.

use serde::{Deserialize, Serialize};

use crate::software_version::ServiceVersion;

/// What one node knows of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct OriginAnswer {
    /// What began the stream, if the node was told.
    pub(crate) recorded: Option<ServiceVersion>,
    /// What the node knows of where streams of the route can have begun.
    pub(crate) possible: PossibleOrigins,
    /// Whether `possible` rests on all that the store held when the node was asked.
    pub(crate) is_current: bool,
}

/// Services and versions at which the streams of a route can have begun, within the time that a
/// stream can last, as one node knows them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) enum PossibleOrigins {
    /// The node hasn't seen the whole of that time.
    #[default]
    Unknown,
    /// There was this one only.
    Only(ServiceVersion),
    Several,
}

impl PossibleOrigins {
    pub(crate) fn is_several(&self) -> bool {
        *self == PossibleOrigins::Several
    }
}

/// Answers of several nodes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct OriginAnswers(Vec<OriginAnswer>);

impl OriginAnswers {
    pub(crate) fn push(&mut self, answer: OriginAnswer) {
        self.0.push(answer);
    }

    /// Returns whether a node knows that a record is needed.
    pub(crate) fn has_several(&self) -> bool {
        self.0.iter().any(|answer| answer.possible.is_several())
    }

    /// Returns what began the stream, if a node was told.
    pub(crate) fn recorded(&self) -> Option<ServiceVersion> {
        self.0.iter().find_map(|answer| answer.recorded.clone())
    }

    /// Returns the only possible origin, if a node whose view is up to date knows it and no node
    /// knows of another one.
    ///
    /// However many nodes say the same from older views, they may lack the same change.
    pub(crate) fn only_origin(&self) -> Option<ServiceVersion> {
        let is_current = |answer: &OriginAnswer| {
            answer.is_current && matches!(answer.possible, PossibleOrigins::Only(_))
        };
        if !self.0.iter().any(is_current) {
            return None;
        }
        let mut only = None;
        for answer in &self.0 {
            match (&answer.possible, &only) {
                (PossibleOrigins::Unknown, _) => {}
                (PossibleOrigins::Several, _) => return None,
                (PossibleOrigins::Only(origin), None) => only = Some(origin.clone()),
                (PossibleOrigins::Only(origin), Some(other)) if origin == other => {}
                (PossibleOrigins::Only(_), Some(_)) => return None,
            }
        }
        only
    }
}
