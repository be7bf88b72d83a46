//! The configuration and its history in the platform's key-value service.
//!
//! One value, the head, names everything else. A change writes its new values
//! under names that nobody else uses and then swaps the head, so that the
//! change, its audit record and its place in the history commit together.

mod apply;
mod calls;
mod head;
mod history;
mod parts;
mod query;
mod sweep;

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use lycheelatch_prelude::Revision;
use lycheelatch_provider::{Entry, KeyValue, Version, WatchIndex};

use self::{calls::Calls, head::Head, parts::Parts};
use crate::{ConfigError, Snapshot, SystemClock, WallClock};

pub use query::{AuditPage, AuditQuery, ChangedObject, HistoryEntry, HistoryPage};

/// The configuration and its history in the platform's key-value service.
///
/// A store holds no more than copies: any number of them may work on one
/// service, and all of them may be replaced at any time.
pub struct ConfigStore {
    calls: Calls,
    clock: Arc<dyn WallClock>,
    cache: Mutex<Cache>,
}

/// What a store has last seen.
#[derive(Default)]
struct Cache {
    loaded: Option<Arc<Loaded>>,
    /// Highest revision seen here or told by others.
    highest: Revision,
}

/// One revision with everything that the head refers to.
struct Loaded {
    head: Head,
    version: Option<Version>,
    parts: Parts,
    snapshot: Arc<Snapshot>,
}

impl ConfigStore {
    /// Creates a store on a key-value service.
    pub fn new(kv: Arc<dyn KeyValue>) -> ConfigStore {
        ConfigStore::with_clock(kv, Arc::new(SystemClock))
    }

    /// Creates a store that dates changes by `clock`.
    pub fn with_clock(kv: Arc<dyn KeyValue>, clock: Arc<dyn WallClock>) -> ConfigStore {
        ConfigStore { calls: Calls::new(kv), clock, cache: Mutex::default() }
    }

    /// Reads the latest revision; revision 0 if there has been no change.
    pub async fn load(&self) -> Result<Snapshot, ConfigError> {
        Ok(self.read().await?.snapshot.as_ref().clone())
    }

    /// Waits for a change after `after`, `wait` at most, and reads the latest revision.
    ///
    /// Returns no snapshot if nothing has changed. The snapshot may be one that the caller
    /// has seen already.
    pub async fn watch(
        &self,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<(WatchIndex, Option<Snapshot>), ConfigError> {
        let floor = self.cache().highest;
        let watched = self.calls.watch(&head::head_key(), after, wait).await?;
        if watched.index < after {
            // The service started counting anew.
            return Ok((WatchIndex::default(), None));
        }
        if watched.index == after {
            return Ok((after, None));
        }
        let entry = watched.entries.into_iter().find(|entry| entry.key.as_str() == head::HEAD_KEY);
        let loaded = match self.open(entry, floor).await {
            Err(ConfigError::InvalidStoredValue { .. }) => self.read().await?,
            loaded => loaded?,
        };
        Ok((watched.index, Some(loaded.snapshot.as_ref().clone())))
    }

    /// Tells the store of a revision that others have seen; it takes no lower one from then on.
    pub fn raise_min_revision(&self, revision: Revision) {
        let mut cache = self.cache();
        cache.highest = cache.highest.max(revision);
    }

    /// Reads the head and everything that it refers to.
    async fn read(&self) -> Result<Arc<Loaded>, ConfigError> {
        match self.read_once().await {
            // A part may have been cleaned away after the head was read.
            Err(ConfigError::InvalidStoredValue { .. }) => self.read_once().await,
            loaded => loaded,
        }
    }

    async fn read_once(&self) -> Result<Arc<Loaded>, ConfigError> {
        // A revision that becomes known while the answer is on its way may be a later one.
        let floor = self.cache().highest;
        let entry = self.calls.get(&head::head_key()).await?;
        self.open(entry, floor).await
    }

    /// Reads everything that a head refers to; its revision must be at least `floor`.
    async fn open(
        &self,
        entry: Option<Entry>,
        floor: Revision,
    ) -> Result<Arc<Loaded>, ConfigError> {
        let version = entry.as_ref().map(|entry| entry.version);
        let cached = self.cache().loaded.clone();
        if let Some(loaded) = cached.as_ref().filter(|l| version.is_some() && l.version == version)
        {
            return Ok(loaded.clone());
        }
        let head = match &entry {
            Some(entry) => Head::decode(&entry.value)?,
            None => Head::empty(),
        };
        if head.revision < floor {
            return Err(ConfigError::RevisionRegressed { seen: floor, found: head.revision });
        }
        let known = cached.map(|loaded| loaded.parts.clone()).unwrap_or_default();
        let parts = known.fetch(&self.calls, &head.state).await?;
        let snapshot = Snapshot { revision: head.revision, ..parts.snapshot(&head.state) };
        let loaded = Arc::new(Loaded { head, version, parts, snapshot: Arc::new(snapshot) });
        self.keep(&loaded);
        Ok(loaded)
    }

    /// Keeps what was read for the next call, unless something later is kept.
    fn keep(&self, loaded: &Arc<Loaded>) {
        let mut cache = self.cache();
        let revision = loaded.head.revision;
        if revision >= cache.highest {
            cache.highest = revision;
            cache.loaded = Some(loaded.clone());
        }
    }

    fn cache(&self) -> std::sync::MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
