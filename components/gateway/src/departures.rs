//! Upstreams that recently stopped accepting requests, to be announced to the other nodes.

use std::{collections::VecDeque, time::Duration};

use lycheelatch_prelude::UpstreamId;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{StoreRevision, messages::RevisionWire};

/// Time for which a departure is announced. Other nodes learn of it from the store within this
/// time, unless their calls fail.
const ANNOUNCED_FOR: Duration = Duration::from_secs(3);

/// Maximum number of departures in one announcement.
const MAX_ANNOUNCED: usize = 200;

/// An upstream whose entry says at a revision that it is draining, or that was removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Departure {
    pub(crate) upstream: UpstreamId,
    pub(crate) revision: RevisionWire,
}

/// Recent departures, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    recent: VecDeque<(Instant, Departure)>,
}

impl Departures {
    pub(crate) fn record(&mut self, upstream: UpstreamId, revision: StoreRevision, now: Instant) {
        let departure = Departure { upstream, revision: revision.into() };
        self.recent.push_back((now, departure));
    }

    /// Returns the departures to be announced, newest first, and drops older ones.
    pub(crate) fn announcement(&mut self, now: Instant) -> Vec<Departure> {
        while self.recent.front().is_some_and(|(at, _)| now - *at > ANNOUNCED_FOR) {
            self.recent.pop_front();
        }
        let newest = self.recent.iter().rev().take(MAX_ANNOUNCED);
        newest.map(|(_, departure)| departure.clone()).collect()
    }
}
