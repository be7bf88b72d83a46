//! Upstreams that are gone, so that no older word brings them back.

use std::{collections::BTreeMap, sync::Arc};

use crate::{StoreRevision, sync::LocalChange};

/// Tombstones that are kept.
const MAX_TOMBSTONES: usize = 4096;

/// An upstream that is gone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tombstone {
    /// When it went, or a later revision.
    pub(crate) revision: StoreRevision,
    /// The local change that removed it.
    pub(crate) changed: LocalChange,
}

/// Upstreams that are gone, by key.
#[derive(Debug, Default)]
pub(crate) struct Tombstones(BTreeMap<Arc<str>, Tombstone>);

impl Tombstones {
    /// Returns whether a key was gone at a revision.
    pub(crate) fn covers(&self, key: &str, revision: StoreRevision) -> bool {
        self.0.get(key).is_some_and(|gone| gone.revision >= revision)
    }

    /// Keeps a tombstone, in place of the oldest one if there are many.
    pub(crate) fn put(&mut self, key: Arc<str>, gone: Tombstone) {
        self.0.insert(key, gone);
        if self.0.len() <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self.0.iter().min_by_key(|(_, gone)| gone.changed);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.0.remove(&key);
        }
    }

    /// Returns the oldest change that is kept.
    pub(crate) fn oldest(&self) -> LocalChange {
        self.0.values().map(|gone| gone.changed).min().unwrap_or_default()
    }

    /// Returns what went after a change.
    pub(crate) fn after(&self, change: LocalChange) -> impl Iterator<Item = (&str, Tombstone)> {
        let gone = self.0.iter().filter(move |(_, gone)| gone.changed > change);
        gone.map(|(key, gone)| (&**key, *gone))
    }
}
