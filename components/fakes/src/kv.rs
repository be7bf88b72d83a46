//! In-memory key-value service.

use std::{
    collections::{BTreeMap, HashMap},
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use lycheelatch_provider::{
    CasOutcome, Entry, KeyValue, KvError, KvKey, LeaseId, Version, WatchIndex, WatchResult,
    check_value_size,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::{Fault, Faults};

/// Numbers of calls to a [`MemoryKv`], including refused ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KvCalls {
    /// Reads: `get`, `list` and `watch`.
    pub reads: u64,
    /// Writes: `compare_and_swap`, `delete`, `acquire` and all lease calls.
    pub writes: u64,
}

/// In-memory key-value service; clones share their content.
#[derive(Clone, Default)]
pub struct MemoryKv {
    shared: Arc<Shared>,
    /// Faults to inject.
    pub faults: Faults,
}

#[derive(Default)]
struct Shared {
    data: Mutex<Data>,
    changed: Notify,
    reads: AtomicU64,
    writes: AtomicU64,
}

#[derive(Default)]
struct Data {
    index: u64,
    entries: BTreeMap<KvKey, Entry>,
    leases: HashMap<Arc<str>, Lease>,
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

impl Data {
    fn next_index(&mut self) -> u64 {
        self.index += 1;
        self.index
    }

    fn put(&mut self, key: &KvKey, value: Bytes, lease: Option<LeaseId>) {
        let version = Version(self.next_index());
        let entry = Entry { key: key.clone(), value, version, lease };
        self.entries.insert(key.clone(), entry);
    }

    fn version_of(&self, key: &KvKey) -> Option<Version> {
        self.entries.get(key).map(|entry| entry.version)
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.end_lease(&id);
        }
    }

    fn end_lease(&mut self, id: &Arc<str>) {
        self.leases.remove(id);
        let held =
            self.entries.values_mut().filter(|e| e.lease.as_ref().is_some_and(|l| l.0 == *id));
        for entry in held {
            self.index += 1;
            entry.lease = None;
            entry.version = Version(self.index);
        }
    }

    fn entries_with_prefix(&self, prefix: &KvKey) -> Vec<Entry> {
        self.entries
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.as_str().starts_with(prefix.as_str()))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    fn last_version_with_prefix(&self, prefix: &KvKey) -> u64 {
        self.entries_with_prefix(prefix).iter().map(|entry| entry.version.0).max().unwrap_or(0)
    }
}

impl MemoryKv {
    /// Creates an empty service.
    pub fn new() -> MemoryKv {
        MemoryKv::default()
    }

    /// Returns the numbers of calls so far.
    pub fn calls(&self) -> KvCalls {
        KvCalls {
            reads: self.shared.reads.load(Ordering::Relaxed),
            writes: self.shared.writes.load(Ordering::Relaxed),
        }
    }

    /// Returns the entries with a prefix; not counted as a call, and never faulty.
    pub fn peek(&self, prefix: &str) -> Vec<Entry> {
        self.shared.data.lock().unwrap().entries_with_prefix(&KvKey::new(prefix))
    }

    async fn read<T>(
        &self,
        op: impl FnOnce(&mut Data) -> Result<T, KvError>,
    ) -> Result<T, KvError> {
        self.shared.reads.fetch_add(1, Ordering::Relaxed);
        self.call(op).await
    }

    async fn write<T>(
        &self,
        op: impl FnOnce(&mut Data) -> Result<T, KvError>,
    ) -> Result<T, KvError> {
        self.shared.writes.fetch_add(1, Ordering::Relaxed);
        let result = self.call(op).await;
        self.shared.changed.notify_waiters();
        result
    }

    async fn call<T>(
        &self,
        op: impl FnOnce(&mut Data) -> Result<T, KvError>,
    ) -> Result<T, KvError> {
        let lost = || KvError::ResponseLost { reason: "injected fault: response lost".into() };
        match self.faults.next() {
            Fault::None => self.run(op),
            Fault::Refuse => {
                Err(KvError::Unavailable { reason: "injected fault: call refused".into() })
            }
            Fault::LoseResponse => {
                let _lost_response = self.run(op);
                Err(lost())
            }
            Fault::Slow(delay) => {
                sleep(delay).await;
                self.run(op)
            }
            Fault::SlowThenLoseResponse(delay) => {
                sleep(delay).await;
                let _lost_response = self.run(op);
                Err(lost())
            }
            Fault::Silent => pending().await,
        }
    }

    fn run<T>(&self, op: impl FnOnce(&mut Data) -> Result<T, KvError>) -> Result<T, KvError> {
        let mut data = self.shared.data.lock().unwrap();
        data.expire_leases();
        op(&mut data)
    }
}

#[async_trait(?Send)]
impl KeyValue for MemoryKv {
    async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError> {
        self.read(|data| Ok(data.entries.get(key).cloned())).await
    }

    async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError> {
        self.read(|data| Ok(data.entries_with_prefix(prefix))).await
    }

    async fn compare_and_swap(
        &self,
        key: &KvKey,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        check_value_size(key, &value)?;
        self.write(|data| {
            if data.version_of(key) != expected {
                return Ok(CasOutcome::Conflict);
            }
            let lease = data.entries.get(key).and_then(|entry| entry.lease.clone());
            data.put(key, value, lease);
            Ok(CasOutcome::Written)
        })
        .await
    }

    async fn delete(&self, key: &KvKey, expected: Version) -> Result<CasOutcome, KvError> {
        self.write(|data| {
            if data.version_of(key) != Some(expected) {
                return Ok(CasOutcome::Conflict);
            }
            data.entries.remove(key);
            data.next_index();
            Ok(CasOutcome::Written)
        })
        .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        self.write(|data| {
            let id: Arc<str> = format!("lease-{}", data.next_index()).into();
            data.leases.insert(id.clone(), Lease { ttl, expires_at: Instant::now() + ttl });
            Ok(LeaseId(id))
        })
        .await
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        self.write(|data| {
            let lease = data.leases.get_mut(&lease.0).ok_or(KvError::LeaseEnded)?;
            lease.expires_at = Instant::now() + lease.ttl;
            Ok(())
        })
        .await
    }

    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        self.write(|data| {
            data.end_lease(&lease.0);
            Ok(())
        })
        .await
    }

    async fn acquire(
        &self,
        key: &KvKey,
        value: Bytes,
        lease: &LeaseId,
    ) -> Result<CasOutcome, KvError> {
        check_value_size(key, &value)?;
        self.write(|data| {
            if !data.leases.contains_key(&lease.0) {
                return Err(KvError::LeaseEnded);
            }
            let holder = data.entries.get(key).and_then(|entry| entry.lease.clone());
            if holder.is_some_and(|holder| holder != *lease) {
                return Ok(CasOutcome::Conflict);
            }
            data.put(key, value, Some(lease.clone()));
            Ok(CasOutcome::Written)
        })
        .await
    }

    async fn watch(
        &self,
        prefix: &KvKey,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<WatchResult, KvError> {
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.shared.changed.notified();
            let watched = self
                .read(|data| {
                    let index = WatchIndex(data.index);
                    let has_changed =
                        data.last_version_with_prefix(prefix) > after.0 || after.0 == 0;
                    Ok((
                        has_changed,
                        WatchResult { index, entries: data.entries_with_prefix(prefix) },
                    ))
                })
                .await?;
            let left = deadline.saturating_duration_since(Instant::now());
            if watched.0 || left.is_zero() {
                return Ok(watched.1);
            }
            let _timed_out = timeout(left, changed).await;
        }
    }
}
