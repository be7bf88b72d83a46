//! Simulates claims in memory under a paused clock and prints measurements.
//!
//! `bookings faults` makes 10,000 bookings whose callers retry after every
//! failure, while responses are lost, nodes are killed and the key-value service
//! stalls. `bookings writes` counts calls to the key-value service at several
//! request rates; `bookings writes-alone` does so for nodes without peers, which
//! commit all operations themselves.

#![allow(clippy::print_stdout, reason = "the example prints its measurements")]

#[path = "../tests/world/mod.rs"]
mod world;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use lycheelatch_claims::{ClaimsConfig, UnixMillis, WallClock};
use lycheelatch_fakes::Fault;
use lycheelatch_prelude::RequestId;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};
use world::{Booking, CallResult, Node, Upstream, World};

const SEED: u64 = 20261204;
const KV_DELAY: Duration = Duration::from_millis(3);
const DEADLINE: Duration = Duration::from_secs(5);

struct Cluster {
    world: World,
    nodes: RefCell<Vec<Rc<Node>>>,
    clock: WallClock,
    has_peers: bool,
    nodes_started: Cell<u64>,
    requests: Cell<u64>,
    rng: RefCell<StdRng>,
    results: RefCell<Vec<(RequestId, CallResult)>>,
}

impl Cluster {
    fn new(nodes: usize, has_peers: bool) -> Rc<Cluster> {
        let cluster = Rc::new(Cluster {
            world: World::default(),
            nodes: RefCell::default(),
            clock: WallClock::starting_at(Instant::now(), UnixMillis(1_800_000_000_000)),
            has_peers,
            nodes_started: Cell::new(0),
            requests: Cell::new(0),
            rng: RefCell::new(StdRng::seed_from_u64(SEED)),
            results: RefCell::default(),
        });
        cluster.world.kv.faults.set_default(Fault::Slow(KV_DELAY));
        (0..nodes).for_each(|_| cluster.start_node());
        cluster
    }

    fn start_node(&self) {
        self.nodes_started.set(self.nodes_started.get() + 1);
        let cfg = ClaimsConfig {
            clock: self.clock,
            epoch: self.nodes_started.get(),
            ..ClaimsConfig::default()
        };
        let node = self.world.start_node(
            &format!("node-{}", self.nodes_started.get()),
            cfg,
            self.has_peers,
        );
        self.nodes.borrow_mut().push(Rc::new(node));
    }

    fn kill_node(&self) {
        let at = self.random(0..self.nodes.borrow().len());
        let node = self.nodes.borrow_mut().remove(at);
        let others: Vec<_> = self.nodes.borrow().iter().map(|node| node.id().clone()).collect();
        self.world.kill_node(&node, &others);
        self.start_node();
    }

    fn random(&self, range: std::ops::Range<usize>) -> usize {
        self.rng.borrow_mut().random_range(range)
    }

    fn random_ms(&self, range: std::ops::Range<usize>) -> Duration {
        Duration::from_millis(self.random(range) as u64)
    }

    fn upstream(&self, has_faults: bool) -> Upstream {
        match self.random(0..100) {
            _ if !has_faults => Upstream::Respond,
            0..5 => Upstream::LoseResponse,
            5..15 => Upstream::Unreachable,
            15..20 => Upstream::Slow(self.random_ms(100..3000)),
            _ => Upstream::Respond,
        }
    }

    /// Books `key` once through a random node.
    async fn book(&self, key: u64, has_faults: bool) -> CallResult {
        self.requests.set(self.requests.get() + 1);
        let request: RequestId = format!("request-{}", self.requests.get()).parse().unwrap();
        let at = self.random(0..self.nodes.borrow().len());
        let node = self.nodes.borrow()[at].clone();
        let upstream = self.upstream(has_faults);
        let booking = Booking { key, request: request.clone(), upstream, deadline: DEADLINE };
        let result = node.call(booking).await;
        self.results.borrow_mut().push((request, result));
        result
    }

    /// Books `key`, retrying until the booking is confirmed or `tries` are used up.
    async fn book_until_confirmed(&self, key: u64, tries: usize) -> CallResult {
        let mut result = CallResult::Disconnected;
        for _ in 0..tries {
            result = self.book(key, true).await;
            if result == CallResult::Booked {
                break;
            }
            sleep(self.random_ms(50..2000)).await;
        }
        result
    }

    /// Injects faults into the key-value service and kills nodes; never returns.
    async fn inject_faults(&self) {
        loop {
            sleep(self.random_ms(200..2000)).await;
            let fault = match self.random(0..5) {
                0 => Fault::LoseResponse,
                1 => Fault::Silent,
                2 => Fault::Slow(self.random_ms(100..900)),
                3 => Fault::SlowThenLoseResponse(self.random_ms(100..900)),
                _ => Fault::Refuse,
            };
            self.world.kv.faults.set_default(fault);
            if self.random(0..3) == 0 {
                self.kill_node();
            }
            sleep(self.random_ms(50..1500)).await;
            self.world.kv.faults.set_default(Fault::Slow(KV_DELAY));
        }
    }
}

async fn faults(bookings: u64, nodes: usize) {
    tokio::time::pause();
    let cluster = Cluster::new(nodes, true);
    let injector = spawn_local({
        let cluster = cluster.clone();
        async move { cluster.inject_faults().await }
    });
    let mut callers = Vec::new();
    for key in 0..bookings {
        let cluster = cluster.clone();
        callers.push(spawn_local(async move { cluster.book_until_confirmed(key, 30).await }));
        sleep(Duration::from_millis(5)).await;
    }
    let mut last = Vec::new();
    for caller in callers {
        last.push(caller.await.unwrap_or(CallResult::Disconnected));
    }
    injector.abort();
    let ledger = cluster.world.ledger.borrow();
    let results = cluster.results.borrow();
    let count = |kind: CallResult| results.iter().filter(|(_, result)| *result == kind).count();
    let falsely_not_run = results
        .iter()
        .filter(|(_, result)| matches!(result, CallResult::NotRun | CallResult::Running))
        .filter(|(request, _)| ledger.by_request.contains_key(request))
        .count();
    let executed_twice = ledger.by_key.values().filter(|count| **count > 1).count();
    let count_last = |kind: CallResult| last.iter().filter(|result| **result == kind).count();
    println!("bookings {bookings}, nodes {nodes}, nodes started {}", cluster.nodes_started.get());
    println!("requests {}, executed {}", results.len(), ledger.by_key.len());
    println!("executed twice {executed_twice}, falsely not-run {falsely_not_run}");
    println!(
        "results: booked {}, not-run {}, running {}, unknown {}, disconnected {}",
        count(CallResult::Booked),
        count(CallResult::NotRun),
        count(CallResult::Running),
        count(CallResult::Unknown),
        count(CallResult::Disconnected)
    );
    println!(
        "final results: booked {}, unknown {}, other {}",
        count_last(CallResult::Booked),
        count_last(CallResult::Unknown),
        last.len() - count_last(CallResult::Booked) - count_last(CallResult::Unknown)
    );
}

async fn writes(nodes: usize, per_second: u64, has_peers: bool) {
    tokio::time::pause();
    let cluster = Cluster::new(nodes, has_peers);
    let seconds = if per_second < 10 { 60 } else { 20 };
    let bookings = per_second * seconds;
    let started = Instant::now();
    let mut callers = Vec::new();
    for key in 0..bookings {
        let cluster = cluster.clone();
        callers.push(spawn_local(async move {
            let started = Instant::now();
            let result = cluster.book(key, false).await;
            assert!(
                result == CallResult::Booked || !has_peers,
                "booking failed without faults: {result:?}"
            );
            (started.elapsed(), result == CallResult::Booked)
        }));
        sleep_until(started + Duration::from_secs(key + 1) / per_second as u32).await;
    }
    // Callers start at fixed times, so the request rate does not depend on latency.
    let start_period = started.elapsed().as_secs_f64();
    let mut latencies = Vec::new();
    for caller in callers {
        latencies.push(caller.await.unwrap_or_default());
    }
    latencies.sort_unstable();
    let refused = latencies.iter().filter(|(_, is_booked)| !is_booked).count();
    let elapsed = started.elapsed().as_secs_f64();
    assert!((bookings as f64 / start_period / per_second as f64 - 1.0).abs() < 0.01);
    let calls = cluster.world.kv.calls();
    let entries = cluster.world.kv.peek("lycheelatch/claims/");
    let bytes: usize = entries.iter().map(|entry| entry.value.len()).sum();
    println!(
        "{nodes:>5} {per_second:>10} {:>10.1} {:>13.2} {:>10.1} {:>12.0} {:>8} {:>8} {:>8}",
        calls.writes as f64 / elapsed,
        calls.writes as f64 / bookings as f64,
        calls.reads as f64 / elapsed,
        bytes as f64 / bookings as f64,
        latencies[latencies.len() / 2].0.as_millis(),
        latencies[latencies.len() * 99 / 100].0.as_millis(),
        refused,
    );
}

fn write_table(nodes: &[usize], has_peers: bool) {
    println!(
        "nodes bookings/s   writes/s writes/booking    reads/s bytes/booking p50/ms  p99/ms  refused"
    );
    for nodes in nodes {
        for per_second in [1, 10, 100, 1000] {
            actix::System::new().block_on(writes(*nodes, per_second, has_peers));
        }
    }
}

fn main() {
    let mode = std::env::args().nth(1).unwrap_or_default();
    match mode.as_str() {
        "faults" => actix::System::new().block_on(faults(10_000, 7)),
        "writes" => write_table(&[7, 50, 390], true),
        "writes-alone" => write_table(&[1, 7, 50], false),
        _ => println!("usage: bookings faults | writes | writes-alone"),
    }
}
