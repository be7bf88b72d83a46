//! Measures the cost per node of membership and configuration replication by cluster size.
//!
//! Runs 5, 10, 20 and 30 nodes in one process with QUIC on the loopback interface
//! and one in-memory key-value service, changes the configuration at ten times the
//! required rate of 0.07 per second, and prints one line for each phase. The last
//! lines fit straight lines and extrapolate them to 390 nodes. With a number as
//! argument it runs only that size, which gives the most accurate memory figure.
#![allow(clippy::print_stdout, reason = "prints the results")]

use std::{fs, sync::Arc, time::Duration};

use lycheelatch_config::{Change, ConfigStore, CurrentConfig, Document, Edit};
use lycheelatch_fakes::{KvCalls, MemoryKv};
use lycheelatch_peers::{
    CertificateAuthority, ConfigReplicator, IdentityCheck, MemberState, PeerLink, PeersConfig,
    QuicLink, watchers,
};
use lycheelatch_prelude::{ChangeId, Name, NodeId, Revision};
use prometheus::Registry;
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Measured cluster sizes, in nodes.
const SIZES: [usize; 4] = [5, 10, 20, 30];
/// Number of availability zones at every size.
const ZONES: usize = 6;
/// Duration of the phase without changes.
const IDLE_PHASE: Duration = Duration::from_secs(15);
/// Duration of the phase with changes.
const CHANGE_PHASE: Duration = Duration::from_secs(15);
/// Changes per second in the phase with changes; ten times [`REQUIRED_CHANGES_PER_SECOND`].
const CHANGES_PER_SECOND: f64 = 0.7;
/// Required number of changes per second.
const REQUIRED_CHANGES_PER_SECOND: f64 = 0.07;
/// Number of changes made after half the watchers have failed.
const CHANGES_AFTER_FAILURES: usize = 5;
/// Cluster size to which the fits are extrapolated.
const TARGET_NODES: f64 = 390.0;
/// Size of the IP and UDP headers of a datagram, in bytes.
const HEADER_BYTES: f64 = 28.0;
/// Maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Unit of the CPU times in `/proc`, in ticks per second.
const CPU_TICKS_PER_SECOND: f64 = 100.0;

type BenchError = Box<dyn std::error::Error>;

struct Node {
    id: NodeId,
    link: Arc<QuicLink>,
    current: Arc<CurrentConfig>,
    _replicator: ConfigReplicator,
}

struct Bench {
    kv: MemoryKv,
    store: ConfigStore,
    nodes: Vec<Node>,
    changes: u64,
}

/// Totals over all nodes at one point in time.
#[derive(Clone, Copy)]
struct Totals {
    at: Instant,
    bytes: f64,
    messages: f64,
    cpu: f64,
    kv: KvCalls,
}

/// Results for one cluster size, each per node and second.
#[derive(Default)]
struct Measurement {
    idle_bytes: f64,
    change_bytes: f64,
    messages: f64,
    idle_cpu: f64,
}

#[actix::main]
async fn main() -> Result<(), BenchError> {
    if let Some(count) = std::env::args().nth(1) {
        measure(count.parse()?).await?;
        return Ok(());
    }
    let mut rows = Vec::new();
    for count in SIZES {
        rows.push((count as f64, measure(count).await?));
    }
    println!("fits over {SIZES:?} nodes, at {TARGET_NODES} nodes:");
    fit("idle bytes/s, out", &rows, |row| row.idle_bytes);
    fit("bytes/s with 0.07 changes/s, out", &rows, |row| {
        let extra = (row.change_bytes - row.idle_bytes).max(0.0);
        row.idle_bytes + extra * REQUIRED_CHANGES_PER_SECOND / CHANGES_PER_SECOND
    });
    fit("idle messages/s, out", &rows, |row| row.messages);
    fit("idle % of a core", &rows, |row| row.idle_cpu * 100.0);
    Ok(())
}

async fn measure(count: usize) -> Result<Measurement, BenchError> {
    let memory_before = resident_bytes()?;
    let start = Instant::now();
    let mut bench = Bench::start(count).await?;
    bench.wait(|b| b.nodes.iter().all(|n| n.link.members().usable_count() == count)).await;
    println!("{count} nodes: joined after {:.2} s", start.elapsed().as_secs_f64());
    let first = bench.change().await?;
    bench.wait_applied(first).await;
    sleep(Duration::from_secs(2)).await;
    let mut row = Measurement::default();
    let before = bench.totals()?;
    sleep(IDLE_PHASE).await;
    let idle = bench.rates("idle", before)?;
    (row.idle_bytes, row.messages, row.idle_cpu) = (idle.0, idle.1, idle.2);
    let memory = (resident_bytes()? - memory_before) / count as f64;
    println!("  memory: {:.2} MB added per node", memory / 1e6);
    let before = bench.totals()?;
    let mut times = Vec::new();
    let start = Instant::now();
    while start.elapsed() < CHANGE_PHASE {
        times.push(bench.timed_change().await?);
        sleep(Duration::from_secs_f64(1.0 / CHANGES_PER_SECOND)).await;
    }
    row.change_bytes = bench.rates("changes", before)?.0;
    let after = bench.kv.calls();
    let changes = times.len() as f64;
    let per_change = (after.writes - before.kv.writes) as f64 / changes;
    println!("  key-value service: {per_change:.1} writes per change, including the change itself");
    print_times("applied everywhere", &mut times);
    bench.kill_watchers();
    let mut times = Vec::new();
    for _ in 0..CHANGES_AFTER_FAILURES {
        times.push(bench.timed_change().await?);
    }
    print_times("applied everywhere, half the watchers failed", &mut times);
    bench.time_detection().await;
    for node in &bench.nodes {
        node.link.abort();
    }
    Ok(row)
}

impl Bench {
    async fn start(count: usize) -> Result<Bench, BenchError> {
        let cluster: Name = "slopes".parse()?;
        let authority = CertificateAuthority::generate(&cluster, 1)?;
        let kv = MemoryKv::new();
        let store = ConfigStore::new(Arc::new(kv.clone()));
        let mut bench = Bench { kv, store, nodes: Vec::new(), changes: 0 };
        for n in 0..count {
            let id: NodeId = format!("node-{n}").parse()?;
            let seeds = bench.nodes.iter().take(2).filter_map(|n| n.link.local_addr()).collect();
            let cfg = PeersConfig {
                node: id.clone(),
                cluster: cluster.clone(),
                bind: "127.0.0.1:0".parse()?,
                advertise: None,
                zone: format!("zone-{}", n % ZONES).parse()?,
                region: format!("region-{}", n % 2).parse()?,
                seeds,
                tls: authority.tls(&authority.issue(&id, 1)?),
                identity: IdentityCheck::Node,
            };
            let registry = Registry::new();
            let link = QuicLink::start(cfg, &registry).await?;
            let store = Arc::new(ConfigStore::new(Arc::new(bench.kv.clone())));
            let current = Arc::new(CurrentConfig::new());
            let replicator =
                ConfigReplicator::start(link.clone(), store, current.clone(), &registry)?;
            bench.nodes.push(Node { id, link, current, _replicator: replicator });
        }
        Ok(bench)
    }

    /// Applies a change directly to the key-value service.
    async fn change(&mut self) -> Result<Revision, BenchError> {
        self.changes += 1;
        let doc = json!({ "services": [{
            "name": "sack-desk", "kind": "plain", "limits": { "max_queue_ms": 1_000 + self.changes },
        }]});
        let change = Change {
            id: ChangeId::new_unique(),
            author: "bench".parse()?,
            expected: None,
            edits: vec![Edit::Apply(Document::from_value(doc).map_err(|e| format!("{e:?}"))?)],
        };
        Ok(self.store.apply(change).await.map_err(|e| e.to_string())?.revision)
    }

    /// Makes a change and returns the time until all nodes have applied it, in seconds.
    async fn timed_change(&mut self) -> Result<f64, BenchError> {
        let start = Instant::now();
        let revision = self.change().await?;
        self.wait_applied(revision).await;
        Ok(start.elapsed().as_secs_f64())
    }

    async fn wait_applied(&self, revision: Revision) {
        for node in &self.nodes {
            let mut revisions = node.current.subscribe();
            let waited =
                tokio::time::timeout(WAIT_TIMEOUT, revisions.wait_for(|r| *r >= revision)).await;
            assert!(waited.is_ok(), "{} did not apply revision {revision}", node.id);
        }
    }

    async fn wait(&self, predicate: impl Fn(&Bench) -> bool) {
        let start = Instant::now();
        while !predicate(self) {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "the condition was not met within {WAIT_TIMEOUT:?}"
            );
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Stops the first watcher of every zone abruptly, like a crash.
    fn kill_watchers(&mut self) {
        let members = self.nodes[0].link.members();
        for ids in watchers(&members).into_values().filter(|ids| ids.len() > 1) {
            if let Some(pos) = self.nodes.iter().position(|n| n.id == ids[0]) {
                self.nodes.remove(pos).link.abort();
            }
        }
    }

    /// Stops a node abruptly, like a crash, and prints when the others detected it.
    async fn time_detection(&mut self) {
        let live = self.nodes.len();
        self.wait(|b| b.nodes.iter().all(|n| live_count(n) == live)).await;
        let Some(node) = self.nodes.pop() else { return };
        node.link.abort();
        let start = Instant::now();
        let has_detected = |n: &Node| n.link.members().0[&node.id].state == MemberState::Dead;
        self.wait(|b| b.nodes.iter().any(has_detected)).await;
        let first = start.elapsed().as_secs_f64();
        self.wait(|b| b.nodes.iter().all(has_detected)).await;
        let last = start.elapsed().as_secs_f64();
        println!("  failed node: first detected after {first:.2} s, by all after {last:.2} s");
    }

    fn totals(&self) -> Result<Totals, BenchError> {
        let mut totals = Totals {
            at: Instant::now(),
            bytes: 0.0,
            messages: 0.0,
            cpu: cpu_seconds()?,
            kv: self.kv.calls(),
        };
        for node in &self.nodes {
            let metrics = node.link.metrics();
            let out =
                |vec: &prometheus::IntCounterVec| vec.with_label_values(&["out"]).get() as f64;
            totals.bytes += out(&metrics.bytes) + HEADER_BYTES * out(&metrics.datagrams);
            totals.messages += out(&metrics.datagrams);
        }
        Ok(totals)
    }

    /// Prints and returns bytes, datagrams and CPU time per node and second.
    fn rates(&self, phase: &str, before: Totals) -> Result<(f64, f64, f64), BenchError> {
        let now = self.totals()?;
        let secs = (now.at - before.at).as_secs_f64();
        let share = secs * self.nodes.len() as f64;
        let bytes = (now.bytes - before.bytes) / share;
        let messages = (now.messages - before.messages) / share;
        let cpu = (now.cpu - before.cpu) / share;
        let reads = (now.kv.reads - before.kv.reads) as f64 / secs;
        let writes = (now.kv.writes - before.kv.writes) as f64 / secs;
        println!(
            "  {phase}: {bytes:.0} B/s out, {messages:.2} datagrams/s out, {:.3}% of a core; \
             service: {reads:.2} reads/s and {writes:.2} writes/s in total",
            cpu * 100.0
        );
        Ok((bytes, messages, cpu))
    }
}

fn live_count(node: &Node) -> usize {
    node.link.members().0.values().filter(|m| m.state != MemberState::Dead).count()
}

fn print_times(label: &str, times: &mut [f64]) {
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[((times.len() - 1) as f64 * share).round() as usize] * 1e3;
    println!("  {label}: p50 {:.1} ms, p99 {:.1} ms of {}", at(0.5), at(0.99), times.len());
}

/// Prints the least-squares line through the points and its value at the target.
fn fit(label: &str, rows: &[(f64, Measurement)], value: impl Fn(&Measurement) -> f64) {
    let n = rows.len() as f64;
    let mean_x = rows.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = rows.iter().map(|(_, row)| value(row)).sum::<f64>() / n;
    let covariance: f64 = rows.iter().map(|(x, r)| (x - mean_x) * (value(r) - mean_y)).sum();
    let variance: f64 = rows.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let target = intercept + slope * TARGET_NODES;
    println!("  {label}: {intercept:.3} + {slope:.5} n, {target:.3} at the target");
}

fn resident_bytes() -> Result<f64, BenchError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no VmRSS")?;
    let kib: f64 = line.split_whitespace().nth(1).ok_or("no number")?.parse()?;
    Ok(kib * 1024.0)
}

/// Returns the user and system CPU time of this process, in seconds.
fn cpu_seconds() -> Result<f64, BenchError> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).ok_or("no number");
    Ok((ticks(11)? + ticks(12)?) / CPU_TICKS_PER_SECOND)
}
