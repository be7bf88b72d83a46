//! Storage of the configuration and its history in the key-value service.
//!
//! One value, the head, refers to all others. A change first writes its new
//! values under unique keys and then replaces the head by a compare-and-swap,
//! so that the new configuration, its audit record and its history entry are
//! committed atomically.

mod apply;
mod head;
mod history;
mod kv_client;
mod parts;
mod query;
mod sweep;

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use lycheelatch_prelude::Revision;
use lycheelatch_provider::{Entry, KeyValue, Version, WatchIndex};

use self::{head::Head, kv_client::KvClient, parts::Parts};
use crate::{ConfigError, Snapshot, SystemClock, WallClock};

pub use query::{AuditPage, AuditQuery, ChangedObject, HistoryEntry, HistoryPage};

/// Client of the configuration and its history in the key-value service.
///
/// A store only caches data: any number of stores may use the same service
/// concurrently, and a store may be dropped and recreated at any time.
pub struct ConfigStore {
    kv: KvClient,
    clock: Arc<dyn WallClock>,
    cache: Mutex<Cache>,
}

/// The latest revision read, and the lowest revision to accept.
#[derive(Default)]
struct Cache {
    loaded: Option<Arc<Loaded>>,
    /// Highest revision read by this store or reported by peers; lower revisions are rejected.
    min_revision: Revision,
}

/// The head and parts of one revision, and the snapshot decoded from them.
struct Loaded {
    head: Head,
    version: Option<Version>,
    parts: Parts,
    snapshot: Arc<Snapshot>,
}

impl ConfigStore {
    /// Creates a store that uses the key-value service `kv`.
    pub fn new(kv: Arc<dyn KeyValue>) -> ConfigStore {
        ConfigStore::with_clock(kv, Arc::new(SystemClock))
    }

    /// Creates a store that takes the timestamps of changes from `clock`.
    pub fn with_clock(kv: Arc<dyn KeyValue>, clock: Arc<dyn WallClock>) -> ConfigStore {
        ConfigStore { kv: KvClient::new(kv), clock, cache: Mutex::default() }
    }

    /// Reads the latest revision; an empty configuration at revision 0 if there is none.
    pub async fn load(&self) -> Result<Snapshot, ConfigError> {
        Ok(self.read().await?.snapshot.as_ref().clone())
    }

    /// Waits up to `wait` for a change after the watch index `after`, then reads the latest
    /// revision.
    ///
    /// Returns no snapshot if nothing has changed. The caller may receive the same snapshot more
    /// than once.
    pub async fn watch(
        &self,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<(WatchIndex, Option<Snapshot>), ConfigError> {
        let min_revision = self.cache().min_revision;
        let watched = self.kv.watch(&head::head_key(), after, wait).await?;
        if watched.index < after {
            // The index went back, so the service has reset it: watch from the start.
            return Ok((WatchIndex::default(), None));
        }
        if watched.index == after {
            return Ok((after, None));
        }
        let entry = watched.entries.into_iter().find(|entry| entry.key.as_str() == head::HEAD_KEY);
        let loaded = match self.load_from_head(entry, min_revision).await {
            Err(ConfigError::InvalidStoredValue { .. }) => self.read().await?,
            loaded => loaded?,
        };
        Ok((watched.index, Some(loaded.snapshot.as_ref().clone())))
    }

    /// Raises the minimum revision to accept, for example to one that a peer has reported.
    ///
    /// Later reads of a lower revision fail with [`ConfigError::RevisionRegressed`].
    pub fn raise_min_revision(&self, revision: Revision) {
        let mut cache = self.cache();
        cache.min_revision = cache.min_revision.max(revision);
    }

    /// Reads the head and the parts that it refers to.
    async fn read(&self) -> Result<Arc<Loaded>, ConfigError> {
        match self.read_once().await {
            // A concurrent change may have deleted a part after the head was read.
            Err(ConfigError::InvalidStoredValue { .. }) => self.read_once().await,
            loaded => loaded,
        }
    }

    async fn read_once(&self) -> Result<Arc<Loaded>, ConfigError> {
        // Taken before the read: a revision reported by a peer during the read may be newer than
        // the answer.
        let min_revision = self.cache().min_revision;
        let entry = self.kv.get(&head::head_key()).await?;
        self.load_from_head(entry, min_revision).await
    }

    /// Reads the parts that a head refers to; its revision must be at least `min_revision`.
    async fn load_from_head(
        &self,
        entry: Option<Entry>,
        min_revision: Revision,
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
        if head.revision < min_revision {
            return Err(ConfigError::RevisionRegressed {
                seen: min_revision,
                found: head.revision,
            });
        }
        let cached_parts = cached.map(|loaded| loaded.parts.clone()).unwrap_or_default();
        let parts = cached_parts.fetch(&self.kv, &head.state).await?;
        let snapshot = Snapshot { revision: head.revision, ..parts.snapshot(&head.state) };
        let loaded = Arc::new(Loaded { head, version, parts, snapshot: Arc::new(snapshot) });
        self.update_cache(&loaded);
        Ok(loaded)
    }

    /// Caches a revision, unless a later one has been seen.
    fn update_cache(&self, loaded: &Arc<Loaded>) {
        let mut cache = self.cache();
        let revision = loaded.head.revision;
        if revision >= cache.min_revision {
            cache.min_revision = revision;
            cache.loaded = Some(loaded.clone());
        }
    }

    fn cache(&self) -> std::sync::MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
