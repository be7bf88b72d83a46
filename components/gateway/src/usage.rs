//! Counts of requests that began to run, by workspace and time window.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use lycheelatch_prelude::WorkspaceName;
use serde::{Deserialize, Serialize};

/// Number of a time window, which begins this many window lengths after the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct UsageWindow(pub u64);

/// Requests of each workspace in one window.
pub type WindowCounts = BTreeMap<WorkspaceName, u64>;

/// Adds requests of a workspace to the counts of a window.
pub(crate) fn add_count(counts: &mut WindowCounts, workspace: &WorkspaceName, more: u64) {
    let sum = counts.entry(workspace.clone()).or_default();
    *sum = sum.saturating_add(more);
}

/// Number of windows that are kept.
const KEPT_WINDOWS: u64 = 6;

/// Counts of requests that began to run, by window and workspace.
#[derive(Debug)]
pub struct Usage {
    length: Duration,
    windows: BTreeMap<UsageWindow, WindowCounts>,
}

impl Usage {
    /// Creates empty counts for windows of a length.
    pub fn new(length: Duration) -> Usage {
        Usage { length, windows: BTreeMap::new() }
    }

    /// Returns the window that contains a time since the Unix epoch.
    pub fn window_at(&self, time: Duration) -> UsageWindow {
        let length = self.length.as_millis().max(1);
        UsageWindow(u64::try_from(time.as_millis() / length).unwrap_or(u64::MAX))
    }

    /// Returns the end of a window, as time since the Unix epoch.
    pub fn end_of(&self, window: UsageWindow) -> Duration {
        let length = u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(length.saturating_mul(window.0 + 1))
    }

    /// Counts a request that began to run at `time` since the Unix epoch.
    pub fn count(&mut self, workspace: &WorkspaceName, time: Duration) {
        let window = self.window_at(time);
        let counts = match self.windows.entry(window) {
            Entry::Occupied(current) => current.into_mut(),
            Entry::Vacant(new) => new.insert(WindowCounts::new()),
        };
        *counts.entry(workspace.clone()).or_default() += 1;
        self.windows.retain(|current, _| current.0 + KEPT_WINDOWS > window.0);
    }

    /// Returns the counts of the last windows.
    pub fn windows(&self) -> &BTreeMap<UsageWindow, WindowCounts> {
        &self.windows
    }
}
