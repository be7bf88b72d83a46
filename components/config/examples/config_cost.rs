//! Measures the cost of a configuration change by the number of objects.
//!
//! `cargo run --release -p lycheelatch-config --example config_cost`

use std::{
    fs,
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::join_all;
use lycheelatch_config::{
    AuditQuery, Change, ConfigStore, CurrentConfig, Delta, Document, Edit, Snapshot, Timestamp,
    WallClock,
};
use lycheelatch_fakes::{Fault, MemoryKv};
use lycheelatch_prelude::ChangeId;
use lycheelatch_provider::{
    CasOutcome, Entry, KeyValue, KvError, KvKey, LeaseId, Version, WatchIndex, WatchResult,
};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Numbers of objects to measure.
const OBJECTS: [usize; 6] = [10, 100, 500, 1_000, 2_000, 4_000];

/// Number of changes per measurement.
const CHANGES: usize = 300;

/// Mean time between changes at 5,900 changes per day, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 24 * 60 * 60 * 1000 / 5_900;

/// Number of objects when operators apply changes concurrently.
const RACE_OBJECTS: usize = 1_000;

/// Number of changes by each concurrent operator.
const RACE_CHANGES: usize = 20;

/// Duration of each call while operators apply changes concurrently.
const CALL_TIME: Duration = Duration::from_millis(5);

/// Number of token lookups to time.
const TOKENS: usize = 50;

/// Number of copies of a snapshot to measure its memory with.
const COPIES: usize = 20;

/// A clock that advances by the mean time between changes at each call.
#[derive(Default)]
struct StepClock(AtomicU64);

impl WallClock for StepClock {
    fn now(&self) -> Timestamp {
        Timestamp(1_796_000_000_000 + self.0.fetch_add(CHANGE_INTERVAL_MS, Ordering::Relaxed))
    }
}

/// A key-value service that counts calls and the bytes of values.
#[derive(Clone, Default)]
struct CountingKv {
    kv: MemoryKv,
    bytes_read: Arc<AtomicU64>,
    bytes_written: Arc<AtomicU64>,
}

/// Counter values at one point in time.
#[derive(Clone, Copy)]
struct Counts {
    reads: u64,
    writes: u64,
    bytes_read: u64,
    bytes_written: u64,
}

impl CountingKv {
    fn counts(&self) -> Counts {
        let calls = self.kv.calls();
        Counts {
            reads: calls.reads,
            writes: calls.writes,
            bytes_read: self.bytes_read.load(Ordering::Relaxed),
            bytes_written: self.bytes_written.load(Ordering::Relaxed),
        }
    }

    fn count_read<'a>(&self, entries: impl IntoIterator<Item = &'a Entry>) {
        let bytes: usize = entries.into_iter().map(|entry| entry.value.len()).sum();
        self.bytes_read.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

#[async_trait(?Send)]
impl KeyValue for CountingKv {
    async fn get(&self, key: &KvKey) -> Result<Option<Entry>, KvError> {
        let entry = self.kv.get(key).await?;
        self.count_read(&entry);
        Ok(entry)
    }

    async fn list(&self, prefix: &KvKey) -> Result<Vec<Entry>, KvError> {
        let entries = self.kv.list(prefix).await?;
        self.count_read(&entries);
        Ok(entries)
    }

    async fn compare_and_swap(
        &self,
        key: &KvKey,
        expected: Option<Version>,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        self.bytes_written.fetch_add(value.len() as u64, Ordering::Relaxed);
        self.kv.compare_and_swap(key, expected, value).await
    }

    async fn delete(&self, key: &KvKey, expected: Version) -> Result<CasOutcome, KvError> {
        self.kv.delete(key, expected).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        self.kv.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        self.kv.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: &LeaseId) -> Result<(), KvError> {
        self.kv.revoke_lease(lease).await
    }

    async fn acquire(
        &self,
        key: &KvKey,
        value: Bytes,
        lease: &LeaseId,
    ) -> Result<CasOutcome, KvError> {
        self.kv.acquire(key, value, lease).await
    }

    async fn watch(
        &self,
        prefix: &KvKey,
        after: WatchIndex,
        wait: Duration,
    ) -> Result<WatchResult, KvError> {
        let watched = self.kv.watch(prefix, after, wait).await?;
        self.count_read(&watched.entries);
        Ok(watched)
    }
}

/// One row of the report.
struct Row {
    objects: usize,
    snapshot_bytes: usize,
    memory_bytes: f64,
    apply_reads: f64,
    apply_writes: f64,
    apply_bytes_written: f64,
    apply_micros: f64,
    head_bytes: f64,
    part_bytes: f64,
    watch_reads: f64,
    watch_bytes_read: f64,
    watch_micros: f64,
    delta_bytes: f64,
    delta_micros: f64,
    record_bytes: f64,
    token_micros: f64,
}

fn workspace(i: usize, weight: usize) -> Value {
    json!({
        "name": format!("workspace-{i:05}"),
        "weight": weight,
        "tokens": [{ "hash": "AAAAAAAAAAAAAAAAAAAAAA.AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA" }],
        "limits": { "requests_per_second": 50, "max_in_flight": 20 },
        "labels": { "tier": "gold", "craft": "rush" },
    })
}

fn change(i: usize, weight: usize) -> Change {
    let document = json!({ "workspaces": [workspace(i, weight)] });
    let document = Document::from_value(document).expect("a valid document");
    Change {
        id: ChangeId::new_unique(),
        author: "mair".parse().expect("a valid name"),
        expected: None,
        edits: vec![Edit::Apply(document)],
    }
}

async fn populate(store: &ConfigStore, objects: usize) {
    let workspaces: Vec<Value> = (0..objects).map(|i| workspace(i, 1)).collect();
    for chunk in workspaces.chunks(500) {
        let document = json!({ "workspaces": chunk });
        let edits = vec![Edit::Apply(Document::from_value(document).expect("a valid document"))];
        store.apply(Change { edits, ..change(0, 1) }).await.expect("the change is applied");
    }
}

async fn measure(objects: usize) -> Row {
    let kv = CountingKv::default();
    let clock = Arc::new(StepClock::default());
    let writer = ConfigStore::with_clock(Arc::new(kv.clone()), clock);
    let watcher = ConfigStore::new(Arc::new(kv.clone()));
    populate(&writer, objects).await;
    let (mut index, _) = watcher.watch(WatchIndex(0), Duration::ZERO).await.expect("a snapshot");
    let current = CurrentConfig::new();
    current.advance(watcher.load().await.expect("a snapshot"));

    let (mut apply, mut watch, mut deltas) = (Sum::default(), Sum::default(), Sum::default());
    let mut delta_bytes = 0;
    for n in 0..CHANGES {
        let change = change(n * 7919 % objects, n + 2);
        let before = (kv.counts(), Instant::now());
        let applied = writer.apply(change).await.expect("the change is applied");
        apply.add(before, kv.counts());

        let before = (kv.counts(), Instant::now());
        let (next, snapshot) =
            watcher.watch(index, Duration::ZERO).await.expect("a watch that answers");
        watch.add(before, kv.counts());
        index = next;
        assert_eq!(snapshot.as_ref(), Some(applied.snapshot.as_ref()));

        let before = (kv.counts(), Instant::now());
        let delta = Delta::between(&current.get(), &applied.snapshot).encode();
        let delta_of_peer = Delta::decode(&delta).expect("a delta");
        current.advance(current.get().apply_delta(&delta_of_peer).expect("the right base"));
        deltas.add(before, kv.counts());
        delta_bytes += delta.len();
    }
    let query = AuditQuery { limit: 100, ..AuditQuery::default() };
    let page = writer.audit(&query).await.expect("a page");
    let record_bytes = serde_json::to_vec(&page.records).expect("records are serializable").len();
    let snapshot = current.get();
    let mean = |sum: f64| sum / CHANGES as f64;
    Row {
        objects,
        snapshot_bytes: snapshot.encode().len(),
        memory_bytes: memory_of(&snapshot),
        apply_reads: mean(apply.reads),
        apply_writes: mean(apply.writes),
        apply_bytes_written: mean(apply.bytes_written),
        apply_micros: mean(apply.micros),
        head_bytes: head_bytes(&kv.kv),
        part_bytes: part_bytes(&kv.kv),
        watch_reads: mean(watch.reads),
        watch_bytes_read: mean(watch.bytes_read),
        watch_micros: mean(watch.micros),
        delta_bytes: mean(delta_bytes as f64),
        delta_micros: mean(deltas.micros),
        token_micros: token_micros(&snapshot),
        record_bytes: record_bytes as f64 / page.records.len() as f64,
    }
}

/// Result for several operators who concurrently change different objects.
struct RaceRow {
    operators: usize,
    changes_per_second: f64,
    calls_per_change: f64,
    contended: usize,
}

async fn measure_race(operators: usize) -> RaceRow {
    let kv = MemoryKv::new();
    populate(&ConfigStore::new(Arc::new(kv.clone())), RACE_OBJECTS).await;
    kv.faults.set_default(Fault::Slow(CALL_TIME));
    let before = (kv.calls(), Instant::now());
    let runs = (0..operators).map(|operator| {
        let store = ConfigStore::new(Arc::new(kv.clone()));
        async move {
            let mut contended = 0;
            for n in 0..RACE_CHANGES {
                let object = operator * RACE_CHANGES + n;
                contended += usize::from(store.apply(change(object, 2)).await.is_err());
            }
            contended
        }
    });
    let contended = join_all(runs).await.into_iter().sum();
    let applied = (operators * RACE_CHANGES - contended) as f64;
    let after = kv.calls();
    let calls = after.reads + after.writes - before.0.reads - before.0.writes;
    RaceRow {
        operators,
        changes_per_second: applied / before.1.elapsed().as_secs_f64(),
        calls_per_change: calls as f64 / applied,
        contended,
    }
}

#[derive(Default)]
struct Sum {
    reads: f64,
    writes: f64,
    bytes_read: f64,
    bytes_written: f64,
    micros: f64,
}

impl Sum {
    fn add(&mut self, (before, started): (Counts, Instant), after: Counts) {
        self.micros += started.elapsed().as_secs_f64() * 1e6;
        self.reads += (after.reads - before.reads) as f64;
        self.writes += (after.writes - before.writes) as f64;
        self.bytes_read += (after.bytes_read - before.bytes_read) as f64;
        self.bytes_written += (after.bytes_written - before.bytes_written) as f64;
    }
}

/// Returns the size of the head in bytes.
fn head_bytes(kv: &MemoryKv) -> f64 {
    kv.peek("config/head").pop().expect("a head").value.len() as f64
}

/// Returns the mean size of a part in bytes; 0 if the objects are stored in the head.
fn part_bytes(kv: &MemoryKv) -> f64 {
    let parts = kv.peek("config/part/");
    let bytes: usize = parts.iter().map(|part| part.value.len()).sum();
    bytes as f64 / parts.len().max(1) as f64
}

/// Returns the time of a lookup of an unknown token, in microseconds.
fn token_micros(snapshot: &Snapshot) -> f64 {
    let started = Instant::now();
    for n in 0..TOKENS {
        assert!(snapshot.workspace_of_token(&format!("no-such-token-{n:010}")).is_none());
    }
    started.elapsed().as_secs_f64() * 1e6 / TOKENS as f64
}

/// Returns the resident memory that a copy of a snapshot takes, in bytes.
fn memory_of(snapshot: &Snapshot) -> f64 {
    let bytes = snapshot.encode();
    let decode = || Snapshot::decode(&bytes).expect("a snapshot");
    let warm = decode();
    let before = resident_bytes();
    let copies: Vec<Snapshot> = (0..COPIES).map(|_| decode()).collect();
    let after = resident_bytes();
    drop((warm, copies));
    after.saturating_sub(before) as f64 / COPIES as f64
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

/// Returns the intercept and slope of a least-squares linear fit.
fn fit(rows: &[Row], value: impl Fn(&Row) -> f64) -> (f64, f64) {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.objects as f64).sum::<f64>() / count;
    let mean_y = rows.iter().map(&value).sum::<f64>() / count;
    let dx = |row: &Row| row.objects as f64 - mean_x;
    let covariance: f64 = rows.iter().map(|row| dx(row) * (value(row) - mean_y)).sum();
    let variance: f64 = rows.iter().map(|row| dx(row) * dx(row)).sum();
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout();
    let columns: [(&str, fn(&Row) -> f64); 15] = [
        ("snapshot bytes", |row| row.snapshot_bytes as f64),
        ("memory bytes", |row| row.memory_bytes),
        ("apply reads", |row| row.apply_reads),
        ("apply writes", |row| row.apply_writes),
        ("apply bytes written", |row| row.apply_bytes_written),
        ("apply us", |row| row.apply_micros),
        ("head bytes", |row| row.head_bytes),
        ("part bytes", |row| row.part_bytes),
        ("watch reads", |row| row.watch_reads),
        ("watch bytes read", |row| row.watch_bytes_read),
        ("watch us", |row| row.watch_micros),
        ("delta bytes", |row| row.delta_bytes),
        ("delta us", |row| row.delta_micros),
        ("record bytes", |row| row.record_bytes),
        ("token us", |row| row.token_micros),
    ];
    let rows: Vec<Row> = actix::System::new().block_on(async {
        let mut rows = Vec::new();
        for objects in OBJECTS {
            rows.push(measure(objects).await);
        }
        rows
    });
    write!(out, "{:<20}", "objects")?;
    rows.iter().try_for_each(|row| write!(out, "{:>10}", row.objects))?;
    writeln!(out, "   fit")?;
    for (name, value) in columns {
        write!(out, "{name:<20}")?;
        rows.iter().try_for_each(|row| write!(out, "{:>10.1}", value(row)))?;
        let (intercept, slope) = fit(&rows, value);
        writeln!(out, "   {intercept:.1} + {slope:.3} n")?;
    }
    writeln!(out, "\n{RACE_OBJECTS} objects, {CALL_TIME:?} per call, concurrent operators:")?;
    for operators in [1, 2, 4, 8] {
        let row = actix::System::new().block_on(measure_race(operators));
        let RaceRow { operators, changes_per_second, calls_per_change, contended } = row;
        writeln!(
            out,
            "{operators} operators: {changes_per_second:.1} changes/s, \
             {calls_per_change:.1} calls per change, {contended} contended"
        )?;
    }
    Ok(())
}
