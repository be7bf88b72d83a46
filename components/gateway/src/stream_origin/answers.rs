//! What several nodes know of the origin of a stream, and what follows from it.

use serde::{Deserialize, Serialize};

use crate::software_version::{ServiceVersion, SoftwareVersion};

/// What one node knows of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct OriginAnswer {
    /// What began the stream, if the node was told.
    pub(crate) recorded: Option<ServiceVersion>,
    /// What the node knows of the versions of the service that it was asked about.
    pub(crate) versions: KnownVersions,
    /// Whether `versions` holds all that the store held when the node was asked.
    pub(crate) is_current: bool,
}

/// Versions of a service within the time that a stream can last, as one node knows them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) enum KnownVersions {
    /// The node hasn't seen the whole of that time.
    #[default]
    Unknown,
    /// There was this one only.
    Only(SoftwareVersion),
    Several,
}

/// Answers of several nodes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct OriginAnswers(Vec<OriginAnswer>);

impl OriginAnswers {
    pub(crate) fn push(&mut self, answer: OriginAnswer) {
        self.0.push(answer);
    }

    /// Returns what began the stream, if a node was told.
    pub(crate) fn recorded(&self) -> Option<ServiceVersion> {
        self.0.iter().find_map(|answer| answer.recorded.clone())
    }

    /// Returns the only version of the service, if a node whose view is up to date knows it and no
    /// node knows of another one.
    ///
    /// However many nodes say the same from older views, they may lack the same change.
    pub(crate) fn only_version(&self) -> Option<SoftwareVersion> {
        let is_current = |answer: &OriginAnswer| {
            answer.is_current && matches!(answer.versions, KnownVersions::Only(_))
        };
        if !self.0.iter().any(is_current) {
            return None;
        }
        let mut only = None;
        for answer in &self.0 {
            match (&answer.versions, &only) {
                (KnownVersions::Unknown, _) => {}
                (KnownVersions::Several, _) => return None,
                (KnownVersions::Only(version), None) => only = Some(version.clone()),
                (KnownVersions::Only(version), Some(other)) if version == other => {}
                (KnownVersions::Only(_), Some(_)) => return None,
            }
        }
        only
    }
}
