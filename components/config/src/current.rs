//! The configuration that one node has in force.

use std::sync::Arc;

use arc_swap::ArcSwap;
use lycheelatch_prelude::Revision;
use tokio::sync::watch;

use crate::Snapshot;

/// The configuration that one node has in force; its revision never falls.
pub struct CurrentConfig {
    snapshot: ArcSwap<Snapshot>,
    revision: watch::Sender<Revision>,
}

impl CurrentConfig {
    /// Creates a holder of the empty configuration at revision 0.
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

    /// Puts `snapshot` in force if its revision is higher; returns whether it did.
    pub fn advance(&self, snapshot: Snapshot) -> bool {
        let revision = snapshot.revision;
        let snapshot = Arc::new(snapshot);
        // The channel's lock orders writers, so that a lower revision never comes last.
        self.revision.send_if_modified(|current| {
            if revision <= *current {
                return false;
            }
            *current = revision;
            self.snapshot.store(snapshot);
            true
        })
    }

    /// Returns a receiver that sees each new revision once it is in force.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }
}

impl Default for CurrentConfig {
    fn default() -> CurrentConfig {
        CurrentConfig::new()
    }
}
