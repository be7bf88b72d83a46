//! The configuration in force on a node.

use std::sync::Arc;

use arc_swap::ArcSwap;
use lycheelatch_prelude::Revision;
use tokio::sync::watch;

use crate::Snapshot;

/// The configuration in force on a node; its revision never decreases.
pub struct CurrentConfig {
    snapshot: ArcSwap<Snapshot>,
    revision: watch::Sender<Revision>,
}

impl CurrentConfig {
    /// Creates an empty configuration at revision 0.
    pub fn new() -> CurrentConfig {
        let revision = watch::Sender::new(Revision::default());
        CurrentConfig { snapshot: ArcSwap::default(), revision }
    }

    /// Returns the configuration in force.
    pub fn get(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.snapshot.load().revision
    }

    /// Replaces the configuration if the revision of `snapshot` is higher; returns whether it was.
    pub fn advance(&self, snapshot: Snapshot) -> bool {
        let revision = snapshot.revision;
        let snapshot = Arc::new(snapshot);
        // The channel's lock serializes writers, so a lower revision can't overwrite a higher one.
        self.revision.send_if_modified(|current| {
            if revision <= *current {
                return false;
            }
            *current = revision;
            self.snapshot.store(snapshot);
            true
        })
    }

    /// Returns a receiver that is notified of each new revision once it is in force.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }
}

impl Default for CurrentConfig {
    fn default() -> CurrentConfig {
        CurrentConfig::new()
    }
}
