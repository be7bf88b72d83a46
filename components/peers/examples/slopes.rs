//! Measures what a node spends on membership and spread, against the node count.
//!
//! Runs 5, 10, 20 and 30 nodes in one process with real QUIC on loopback and
//! one key-value service in memory, makes changes of the configuration at a
//! multiple of 0.07 a second, and prints one line for each phase. The last
//! lines fit straight lines and extrapolate them to 390 nodes. With a number as
//! its argument it runs that size alone, which shows its memory best.
#![allow(clippy::print_stdout, reason = "prints its figures")]

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

/// Sizes of the cluster.
const SIZES: [usize; 4] = [5, 10, 20, 30];
/// Availability zones at every size.
const ZONES: usize = 6;
/// Time of the phase at rest.
const REST: Duration = Duration::from_secs(15);
/// Time of the phase with changes.
const CHANGING: Duration = Duration::from_secs(15);
/// Changes a second in the phase with changes; ten times the rate that is asked for.
const CHANGES_PER_SECOND: f64 = 0.7;
/// Changes a second that are asked for.
const ASKED_CHANGES_PER_SECOND: f64 = 0.07;
/// Changes made after half the watchers have died.
const CHANGES_AFTER_DEATHS: usize = 5;
/// Size that the fits are extrapolated to.
const TARGET_NODES: f64 = 390.0;
/// IP and UDP headers of a datagram, in bytes.
const HEADER_BYTES: f64 = 28.0;
/// Longest time that anything is waited for.
const LIMIT: Duration = Duration::from_secs(60);
/// Clock ticks of the processor time in `/proc`, a second.
const CPU_TICKS_PER_SECOND: f64 = 100.0;

type Failure = Box<dyn std::error::Error>;

struct Node {
    id: NodeId,
    link: Arc<QuicLink>,
    current: Arc<CurrentConfig>,
    _spread: ConfigReplicator,
}

struct Bench {
    kv: MemoryKv,
    operator: ConfigStore,
    nodes: Vec<Node>,
    changes: u64,
}

/// Totals over all nodes at one time.
#[derive(Clone, Copy)]
struct Totals {
    at: Instant,
    bytes: f64,
    messages: f64,
    cpu: f64,
    kv: KvCalls,
}

/// What one size showed, per node and second where that applies.
#[derive(Default)]
struct Row {
    rest_bytes: f64,
    change_bytes: f64,
    messages: f64,
    rest_cpu: f64,
}

#[actix::main]
async fn main() -> Result<(), Failure> {
    if let Some(count) = std::env::args().nth(1) {
        measure(count.parse()?).await?;
        return Ok(());
    }
    let mut rows = Vec::new();
    for count in SIZES {
        rows.push((count as f64, measure(count).await?));
    }
    println!("fits over {SIZES:?} nodes, at {TARGET_NODES} nodes:");
    fit("bytes/s at rest, out", &rows, |row| row.rest_bytes);
    fit("bytes/s with 0.07 changes/s, out", &rows, |row| {
        let extra = (row.change_bytes - row.rest_bytes).max(0.0);
        row.rest_bytes + extra * ASKED_CHANGES_PER_SECOND / CHANGES_PER_SECOND
    });
    fit("messages/s at rest, out", &rows, |row| row.messages);
    fit("% of a core at rest", &rows, |row| row.rest_cpu * 100.0);
    Ok(())
}

async fn measure(count: usize) -> Result<Row, Failure> {
    let memory_before = resident_bytes()?;
    let start = Instant::now();
    let mut bench = Bench::start(count).await?;
    bench.wait(|b| b.nodes.iter().all(|n| n.link.members().usable_count() == count)).await;
    println!("{count} nodes: joined after {:.2} s", start.elapsed().as_secs_f64());
    let first = bench.change().await?;
    bench.wait_in_force(first).await;
    sleep(Duration::from_secs(2)).await;
    let mut row = Row::default();
    let before = bench.totals()?;
    sleep(REST).await;
    let rest = bench.rates("rest", before)?;
    (row.rest_bytes, row.messages, row.rest_cpu) = (rest.0, rest.1, rest.2);
    let memory = (resident_bytes()? - memory_before) / count as f64;
    println!("  memory: {:.2} MB a node more than before", memory / 1e6);
    let before = bench.totals()?;
    let mut times = Vec::new();
    let start = Instant::now();
    while start.elapsed() < CHANGING {
        times.push(bench.timed_change().await?);
        sleep(Duration::from_secs_f64(1.0 / CHANGES_PER_SECOND)).await;
    }
    row.change_bytes = bench.rates("changes", before)?.0;
    let after = bench.kv.calls();
    let changes = times.len() as f64;
    let per_change = (after.writes - before.kv.writes) as f64 / changes;
    println!("  key-value service: {per_change:.1} writes a change, operator included");
    print_times("in force everywhere", &mut times);
    bench.kill_watchers();
    let mut times = Vec::new();
    for _ in 0..CHANGES_AFTER_DEATHS {
        times.push(bench.timed_change().await?);
    }
    print_times("in force everywhere, half the watchers dead", &mut times);
    bench.time_detection().await;
    for node in &bench.nodes {
        node.link.abort();
    }
    Ok(row)
}

impl Bench {
    async fn start(count: usize) -> Result<Bench, Failure> {
        let cluster: Name = "slopes".parse()?;
        let authority = CertificateAuthority::generate(&cluster, 1)?;
        let kv = MemoryKv::new();
        let operator = ConfigStore::new(Arc::new(kv.clone()));
        let mut bench = Bench { kv, operator, nodes: Vec::new(), changes: 0 };
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
            let spread = ConfigReplicator::start(link.clone(), store, current.clone(), &registry)?;
            bench.nodes.push(Node { id, link, current, _spread: spread });
        }
        Ok(bench)
    }

    /// Makes a change as an operator would.
    async fn change(&mut self) -> Result<Revision, Failure> {
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
        Ok(self.operator.apply(change).await.map_err(|e| e.to_string())?.revision)
    }

    /// Makes a change and returns the seconds until it is in force everywhere.
    async fn timed_change(&mut self) -> Result<f64, Failure> {
        let start = Instant::now();
        let revision = self.change().await?;
        self.wait_in_force(revision).await;
        Ok(start.elapsed().as_secs_f64())
    }

    async fn wait_in_force(&self, revision: Revision) {
        for node in &self.nodes {
            let mut revisions = node.current.subscribe();
            let waited = tokio::time::timeout(LIMIT, revisions.wait_for(|r| *r >= revision)).await;
            assert!(waited.is_ok(), "{} has not revision {revision}", node.id);
        }
    }

    async fn wait(&self, is_so: impl Fn(&Bench) -> bool) {
        let start = Instant::now();
        while !is_so(self) {
            assert!(start.elapsed() < LIMIT, "waited too long");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Stops the better watcher of every zone as a crash would.
    fn kill_watchers(&mut self) {
        let members = self.nodes[0].link.members();
        for ids in watchers(&members).into_values().filter(|ids| ids.len() > 1) {
            if let Some(pos) = self.nodes.iter().position(|n| n.id == ids[0]) {
                self.nodes.remove(pos).link.abort();
            }
        }
    }

    /// Stops a node as a crash would and prints when the others knew.
    async fn time_detection(&mut self) {
        let live = self.nodes.len();
        self.wait(|b| b.nodes.iter().all(|n| live_count(n) == live)).await;
        let Some(node) = self.nodes.pop() else { return };
        node.link.abort();
        let start = Instant::now();
        let knows = |n: &Node| n.link.members().0[&node.id].state == MemberState::Dead;
        self.wait(|b| b.nodes.iter().any(knows)).await;
        let first = start.elapsed().as_secs_f64();
        self.wait(|b| b.nodes.iter().all(knows)).await;
        let last = start.elapsed().as_secs_f64();
        println!("  dead node: first known after {first:.2} s, everywhere after {last:.2} s");
    }

    fn totals(&self) -> Result<Totals, Failure> {
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

    /// Prints and returns bytes, datagrams and processor time per node and second.
    fn rates(&self, phase: &str, before: Totals) -> Result<(f64, f64, f64), Failure> {
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
             service: {reads:.2} reads/s and {writes:.2} writes/s in all",
            cpu * 100.0
        );
        Ok((bytes, messages, cpu))
    }
}

fn live_count(node: &Node) -> usize {
    node.link.members().0.values().filter(|m| m.state != MemberState::Dead).count()
}

fn print_times(what: &str, times: &mut [f64]) {
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[((times.len() - 1) as f64 * share).round() as usize] * 1e3;
    println!("  {what}: p50 {:.1} ms, p99 {:.1} ms of {}", at(0.5), at(0.99), times.len());
}

/// Prints the least-squares line through the points and its value at the target.
fn fit(what: &str, rows: &[(f64, Row)], value: impl Fn(&Row) -> f64) {
    let n = rows.len() as f64;
    let mean_x = rows.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = rows.iter().map(|(_, row)| value(row)).sum::<f64>() / n;
    let covariance: f64 = rows.iter().map(|(x, r)| (x - mean_x) * (value(r) - mean_y)).sum();
    let variance: f64 = rows.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let target = base + slope * TARGET_NODES;
    println!("  {what}: {base:.3} + {slope:.5} n, {target:.3} at the target");
}

fn resident_bytes() -> Result<f64, Failure> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no VmRSS")?;
    let kib: f64 = line.split_whitespace().nth(1).ok_or("no number")?.parse()?;
    Ok(kib * 1024.0)
}

/// Returns the processor time of this process, user and system.
fn cpu_seconds() -> Result<f64, Failure> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).ok_or("no number");
    Ok((ticks(11)? + ticks(12)?) / CPU_TICKS_PER_SECOND)
}
