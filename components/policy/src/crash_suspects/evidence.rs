//! Evidence of crashes as nodes exchange it.

use std::{sync::Arc, time::Duration};

use lycheelatch_prelude::{ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};

use super::{ProcessState, ResponseStage};

/// Time between two cuts of one upstream's responses below which they are the same crash.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// Time between the ends of connections of different upstreams up to which they may have one reason,
/// such as a network device that restarts.
const COINCIDENCE: Duration = Duration::from_millis(100);

/// Number of answers from which the shares of parts mean something.
const MIN_ANSWERS: u32 = 4;

/// Identifier of a part that requests share, such as a part of their prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId(pub u64);

/// A part of a request whose upstream crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPart {
    /// The part.
    pub id: PartId,
    /// Requests with the part that the reporting node saw answered shortly before.
    pub answers: u32,
}

/// A request whose upstream ended, or may have ended, before the response was complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Service of the upstream.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Identifier of the request.
    pub request: Arc<str>,
    /// Time at which the connection was closed, since the Unix epoch.
    pub at: Duration,
    /// Time since the request was sent to the upstream.
    pub age: Duration,
    /// How far the response was.
    pub stage: ResponseStage,
    /// What is known of the upstream's process.
    pub process: ProcessState,
    /// Requests that the reporting node saw answered shortly before.
    pub answers: u32,
    /// Parts of the request that others may hold too.
    pub parts: Vec<SuspectPart>,
}

impl CrashReport {
    /// Returns the share of requests with the part among those that were answered shortly before;
    /// `None` if they were too few.
    pub(super) fn share_of(&self, part: PartId) -> Option<f64> {
        let is_enough = self.answers >= MIN_ANSWERS;
        is_enough.then(|| f64::from(self.answers_to(part)) / f64::from(self.answers))
    }

    pub(super) fn is_same(&self, other: &CrashReport) -> bool {
        self.request == other.request && self.upstream == other.upstream
    }

    /// Returns whether both are about the same end of one process.
    pub(super) fn is_same_crash(&self, other: &CrashReport) -> bool {
        self.at.abs_diff(other.at) < SAME_CRASH && self.upstream == other.upstream
    }

    /// Returns whether both may have one reason that is no request: the connections of different
    /// upstreams were closed together, and this request had been sent by then. A request that was
    /// sent again after the first close can't be in both for such a reason.
    pub(super) fn is_coincident(&self, earlier: &CrashReport) -> bool {
        let Some(time) = self.at.checked_sub(earlier.at) else { return false };
        time < COINCIDENCE && self.age >= time && self.request != earlier.request
    }

    /// Returns whether another upstream of the service ended at the same moment.
    pub(super) fn is_beside(&self, other: &CrashReport) -> bool {
        (self.is_coincident(other) || other.is_coincident(self))
            && self.upstream != other.upstream
            && self.service == other.service
    }

    /// Returns what orders reports the same on all nodes.
    pub(super) fn sort_key(&self) -> (Duration, &str, &str) {
        (self.at, self.upstream.as_str(), &self.request)
    }

    /// Returns each part with the service.
    pub(super) fn keys(&self) -> impl Iterator<Item = (ServiceName, PartId)> {
        self.parts.iter().map(|part| (self.service.clone(), part.id))
    }

    pub(super) fn holds(&self, part: PartId) -> bool {
        self.parts.iter().any(|known| known.id == part)
    }

    pub(super) fn part_ids(&self) -> Vec<PartId> {
        self.parts.iter().map(|part| part.id).collect()
    }

    pub(super) fn answers_to(&self, part: PartId) -> u32 {
        self.parts.iter().find(|known| known.id == part).map_or(0, |known| known.answers)
    }
}

/// A part of crash reports that was in a request that was answered later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredPart {
    /// Service of the upstream that answered.
    pub service: ServiceName,
    /// The part.
    pub part: PartId,
    /// Time of the latest complete answer, since the Unix epoch.
    pub at: Duration,
}

/// Evidence of crashes that one node tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Crashes.
    pub reports: Vec<CrashReport>,
    /// Parts of them that were answered.
    pub answered: Vec<AnsweredPart>,
}

impl CrashEvidence {
    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.answered.is_empty()
    }
}
