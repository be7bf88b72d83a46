//! Versions of the upstreams' software, and which of them were in use lately.
//!
//! What two versions generate does not fit together, so a stream goes on only at the version that
//! began it.

use std::sync::Arc;

use lycheelatch_prelude::ServiceName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{UpstreamEntry, directory::Upstream, use_history::UseHistory};

#[cfg(test)]
mod tests;

/// Version of an upstream's software within its service; `None` if its entry names none.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct SoftwareVersion(Option<Arc<str>>);

impl SoftwareVersion {
    /// Returns the version's name.
    pub(crate) fn name(&self) -> Option<&Arc<str>> {
        self.0.as_ref()
    }
}

impl From<&UpstreamEntry> for SoftwareVersion {
    fn from(entry: &UpstreamEntry) -> SoftwareVersion {
        SoftwareVersion(entry.version.clone())
    }
}

impl From<&Upstream> for SoftwareVersion {
    fn from(upstream: &Upstream) -> SoftwareVersion {
        SoftwareVersion::from(&*upstream.entry.borrow())
    }
}

/// A version of one service; the same name at two services means nothing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ServiceVersion {
    pub(crate) service: ServiceName,
    pub(crate) version: SoftwareVersion,
}

/// Versions of each service, counted by their registered upstreams.
pub(crate) type VersionHistory = UseHistory<ServiceName, SoftwareVersion>;

impl VersionHistory {
    /// Counts an upstream that was registered.
    pub(crate) fn add(&mut self, entry: &UpstreamEntry, now: Instant) {
        self.begin(&entry.service, entry.into(), now);
    }

    /// Counts an upstream that is no longer registered.
    pub(crate) fn remove(&mut self, entry: &UpstreamEntry, now: Instant) {
        self.end(&entry.service, entry.into(), now);
    }
}
