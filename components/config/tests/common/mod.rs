//! Shared helpers of the configuration tests.
#![allow(dead_code, reason = "each test binary uses some of them")]

use std::{
    cell::Cell,
    collections::BTreeMap,
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;

use lycheelatch_config::{
    ApplyError, AuditQuery, Change, ChangeRecord, ConfigStore, Document, Edit, Object, ObjectKey,
    ObjectKind, Snapshot, Timestamp, WallClock,
};
use lycheelatch_fakes::MemoryKv;
use lycheelatch_prelude::{ChangeId, Revision};
use lycheelatch_provider::{
    CasOutcome, Entry, KeyValue, KvError, KvKey, LeaseId, Version, WatchIndex, WatchResult,
};
use serde_json::{Value, json};
use tokio::time::Instant;

/// A key-value service that delays its answers.
pub(crate) struct DelayedKv {
    kv: MemoryKv,
    /// Delays of successive calls, in milliseconds, repeated in a cycle.
    delays_ms: Vec<u64>,
    calls: AtomicUsize,
}

impl DelayedKv {
    pub(crate) fn new(kv: &MemoryKv, delays_ms: &[u64]) -> Arc<DelayedKv> {
        let (kv, delays_ms) = (kv.clone(), delays_ms.to_vec());
        Arc::new(DelayedKv { kv, delays_ms, calls: AtomicUsize::new(0) })
    }

    async fn delay<T>(&self, answer: T) -> T {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        let delay = self.delays_ms.get(call % self.delays_ms.len().max(1));
        tokio::time::sleep(Duration::from_millis(delay.copied().unwrap_or(0))).await;
        answer
    }
}

#[async_trait(?Send)]
impl KeyValue for DelayedKv {
    async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError> {
        let answer = self.kv.get(key).await;
        self.delay(answer).await
    }

    async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError> {
        let answer = self.kv.list(prefix).await;
        self.delay(answer).await
    }

    async fn compare_and_swap(
        &self,
        key: &KvKey,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        let answer = self.kv.compare_and_swap(key, expected, value).await;
        self.delay(answer).await
    }

    async fn delete(&self, key: &KvKey, expected: Version) -> Result<CasOutcome, KvError> {
        let answer = self.kv.delete(key, expected).await;
        self.delay(answer).await
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId, KvError> {
        Err(KvError::LeaseEnded)
    }

    async fn renew_lease(&self, _lease: &LeaseId) -> Result<(), KvError> {
        Err(KvError::LeaseEnded)
    }

    async fn revoke_lease(&self, _lease: &LeaseId) -> Result<(), KvError> {
        Err(KvError::LeaseEnded)
    }

    async fn acquire(
        &self,
        _key: &KvKey,
        _value: Bytes,
        _lease: &LeaseId,
    ) -> Result<CasOutcome, KvError> {
        Err(KvError::LeaseEnded)
    }

    async fn watch(
        &self,
        prefix: &KvKey,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<WatchResult, KvError> {
        let answer = self.kv.watch(prefix, after, wait).await;
        self.delay(answer).await
    }
}

/// Runs a test with a paused clock.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    actix::System::new().block_on(async {
        tokio::time::pause();
        START.set(Some(Instant::now()));
        test.await
    })
}

/// A wall clock driven by the runtime's clock.
struct RuntimeClock(Instant);

impl WallClock for RuntimeClock {
    fn now(&self) -> Timestamp {
        let elapsed = self.0.elapsed().as_millis();
        Timestamp(1_796_000_000_000 + u64::try_from(elapsed).unwrap())
    }
}

thread_local! {
    /// Start time, shared by all stores of a test.
    static START: Cell<Option<Instant>> = const { Cell::new(None) };
}

pub(crate) fn store(kv: &MemoryKv) -> ConfigStore {
    store_on(Arc::new(kv.clone()))
}

pub(crate) fn store_on(kv: Arc<dyn KeyValue>) -> ConfigStore {
    let start = START.get().unwrap_or_else(Instant::now);
    ConfigStore::with_clock(kv, Arc::new(RuntimeClock(start)))
}

pub(crate) fn change(expected: Option<u64>, edits: Vec<Edit>) -> Change {
    Change {
        id: ChangeId::new_unique(),
        author: "mair".parse().unwrap(),
        expected: expected.map(Revision),
        edits,
    }
}

pub(crate) fn document(value: Value) -> Edit {
    Edit::Apply(Document::from_value(value).unwrap())
}

pub(crate) fn service(name: &str, max_queue_ms: u64) -> Edit {
    document(json!({
        "services": [{ "name": name, "kind": "plain", "limits": { "max_queue_ms": max_queue_ms } }]
    }))
}

pub(crate) fn workspace(name: &str, tokens: Value) -> Edit {
    document(json!({ "workspaces": [{ "name": name, "tokens": tokens }] }))
}

pub(crate) fn key(kind: ObjectKind, name: &str) -> ObjectKey {
    ObjectKey { kind, name: name.parse().unwrap() }
}

pub(crate) fn views(snapshot: &Snapshot) -> BTreeMap<ObjectKey, Value> {
    snapshot.objects().map(|object| (object.key(), object.view())).collect()
}

pub(crate) fn invalid_fields(err: ApplyError) -> Vec<String> {
    match err {
        ApplyError::Invalid(errors) => errors.into_iter().map(|err| err.field).collect(),
        err => panic!("expected a validation error, got: {err}"),
    }
}

/// Reads the complete audit trail, oldest first.
pub(crate) async fn read_audit(store: &ConfigStore, limit: usize) -> Vec<ChangeRecord> {
    let mut records = Vec::new();
    let mut query = AuditQuery { limit, ..AuditQuery::default() };
    loop {
        let page = store.audit(&query).await.unwrap();
        records.extend(page.records);
        if page.next.is_none() {
            records.reverse();
            return records;
        }
        query.before = page.next;
    }
}

/// Replays audit records and returns the views of the objects at each revision.
pub(crate) fn replay(records: &[ChangeRecord]) -> Vec<BTreeMap<ObjectKey, Value>> {
    let mut state = BTreeMap::new();
    let mut states = vec![state.clone()];
    for (i, record) in records.iter().enumerate() {
        assert_eq!(record.revision, Revision(i as u64 + 1), "revisions are consecutive");
        for change in &record.changes {
            assert_eq!(
                state.get(&change.object),
                change.before.as_ref(),
                "`before` matches the replayed state"
            );
            match &change.after {
                Some(after) => state.insert(change.object.clone(), after.clone()),
                None => state.remove(&change.object),
            };
        }
        states.push(state.clone());
    }
    states
}

/// Returns a service with an encoded size of about `bytes` bytes.
pub(crate) fn large_service(name: &str, bytes: usize) -> Object {
    let classes: Vec<Value> = (0..bytes / 60)
        .map(|i| json!({ "class": format!("machine-class-{i:020}"), "units_per_second": 1.0 }))
        .collect();
    let service = json!({
        "name": name,
        "kind": "plain",
        "fleet": { "classes": classes, "min_instances": 0, "max_instances": 1 },
    });
    Object::Service(serde_json::from_value(service).unwrap())
}
