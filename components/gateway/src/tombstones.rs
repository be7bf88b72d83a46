//! Tombstones of removed upstreams, so that outdated views don't restore them.

use std::{collections::BTreeMap, sync::Arc};

use crate::{StoreRevision, sync::LocalChange};

/// Maximum number of tombstones; the oldest are evicted.
const MAX_TOMBSTONES: usize = 4096;

/// Record of a removed upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tombstone {
    /// Revision of the removal, or a later one.
    pub(crate) revision: StoreRevision,
    /// The local change that removed it.
    pub(crate) changed: LocalChange,
}

/// Tombstones of removed upstreams, by key.
#[derive(Debug, Default)]
pub(crate) struct Tombstones(BTreeMap<Arc<str>, Tombstone>);

impl Tombstones {
    /// Returns whether a key was removed at a revision or later.
    pub(crate) fn covers(&self, key: &str, revision: StoreRevision) -> bool {
        self.0.get(key).is_some_and(|tombstone| tombstone.revision >= revision)
    }

    /// Inserts a tombstone, and evicts the oldest one beyond the maximum.
    pub(crate) fn put(&mut self, key: Arc<str>, tombstone: Tombstone) {
        self.0.insert(key, tombstone);
        if self.0.len() <= MAX_TOMBSTONES {
            return;
        }
        let evicted = self.0.iter().min_by_key(|(_, tombstone)| tombstone.changed);
        if let Some(key) = evicted.map(|(key, _)| key.clone()) {
            self.0.remove(&key);
        }
    }

    /// Returns the oldest change that has a tombstone, or 0 without tombstones.
    pub(crate) fn oldest(&self) -> LocalChange {
        self.0.values().map(|tombstone| tombstone.changed).min().unwrap_or_default()
    }

    /// Returns the tombstones after a change.
    pub(crate) fn after(&self, change: LocalChange) -> impl Iterator<Item = (&str, Tombstone)> {
        let tombstones = self.0.iter().filter(move |(_, tombstone)| tombstone.changed > change);
        tombstones.map(|(key, tombstone)| (&**key, *tombstone))
    }
}
