//! Measures the latency that one node adds to a call.
//!
//! The same open-loop load is sent in alternating rounds to a fake application
//! directly, directly with a new connection for each request, and through one
//! node. The example compares the percentiles of the latency.
#![expect(clippy::print_stdout, reason = "the table is the output of the example")]

#[path = "../quickstart/setup.rs"]
mod setup;

use std::{net::SocketAddr, process::ExitCode, sync::mpsc, time::Duration};

use hdrhistogram::Histogram;
use setup::{ORDERS_SERVICE, Setup, TOKEN};
use tokio::time::{Instant, interval, sleep};

/// Requests per second.
const RATE: u32 = 2000;

/// Duration of each round.
const ROUND: Duration = Duration::from_secs(4);

/// Rounds per target.
const ROUNDS: usize = 3;

/// Duration of the load on each target before the first round.
const WARM_UP: Duration = Duration::from_secs(1);

/// Maximum latency that a node may add at the 99th percentile, in microseconds.
const MAX_ADDED_P99_US: u64 = 1000;

fn main() -> ExitCode {
    actix::System::new().block_on(run())
}

/// Destination of a load.
#[derive(Clone)]
struct Target {
    url: String,
    token: Option<&'static str>,
    /// Whether each request uses a new connection.
    new_connection: bool,
}

/// Results of one target.
struct Measurements {
    /// Latencies in microseconds.
    latency: Histogram<u64>,
    failures: u64,
}

async fn run() -> ExitCode {
    let setup = Setup::start().await.expect("the fakes and nodes start");
    let url = format!("http://{}/stock", setup.application_addr());
    let direct = Target { url, token: None, new_connection: false };
    let direct_new_connection = Target { new_connection: true, ..direct.clone() };
    let node = setup.nodes[0].callers();
    let through = Target { url: node_url(node), token: Some(TOKEN), new_connection: false };
    load(&direct, WARM_UP).await;
    load(&direct_new_connection, WARM_UP).await;
    load(&through, WARM_UP).await;
    println!("{RATE} requests per second, {ROUNDS} rounds of {} s per target", ROUND.as_secs());
    println!("{:22} {:>9} {:>9} {:>9} {:>9}", "target", "p50 us", "p95 us", "p99 us", "failed");
    let mut measured = [Measurements::new(), Measurements::new(), Measurements::new()];
    for _ in 0..ROUNDS {
        measured[0].add(load(&direct, ROUND).await);
        measured[1].add(load(&direct_new_connection, ROUND).await);
        measured[2].add(load(&through, ROUND).await);
    }
    for (name, measured) in ["direct", "direct, new connection", "one node"].iter().zip(&measured) {
        let at = |q| measured.latency.value_at_quantile(q);
        println!(
            "{name:22} {:>9} {:>9} {:>9} {:>9}",
            at(0.5),
            at(0.95),
            at(0.99),
            measured.failures
        );
    }
    for q in [0.5, 0.95, 0.99] {
        let [direct, node] = [0, 2].map(|i| measured[i].latency.value_at_quantile(q));
        println!(
            "added at p{:<3} {:>6} us, {:.2} times direct",
            q * 100.0,
            node.saturating_sub(direct),
            node as f64 / direct as f64
        );
    }
    let [direct, node] = [0, 2].map(|i| measured[i].latency.value_at_quantile(0.99));
    let is_within_limit = node.saturating_sub(direct) <= MAX_ADDED_P99_US;
    println!(
        "at most {MAX_ADDED_P99_US} us added at p99: {}",
        if is_within_limit { "kept" } else { "BROKEN" }
    );
    setup.stop().await;
    if is_within_limit { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn node_url(node: SocketAddr) -> String {
    format!("http://{node}/services/{ORDERS_SERVICE}/stock")
}

impl Measurements {
    fn new() -> Measurements {
        Measurements { latency: Histogram::new(3).expect("three digits"), failures: 0 }
    }

    fn add(&mut self, other: Measurements) {
        self.latency.add(&other.latency).expect("the same digits");
        self.failures += other.failures;
    }
}

/// Sends the load from a separate thread.
async fn load(target: &Target, time: Duration) -> Measurements {
    let (tx, rx) = mpsc::channel();
    let target = target.clone();
    std::thread::spawn(move || {
        let measured = actix::System::new().block_on(send_all(target, time));
        tx.send(measured)
    });
    loop {
        match rx.try_recv() {
            Ok(measured) => return measured,
            Err(mpsc::TryRecvError::Empty) => sleep(Duration::from_millis(10)).await,
            Err(mpsc::TryRecvError::Disconnected) => return Measurements::new(),
        }
    }
}

async fn send_all(target: Target, time: Duration) -> Measurements {
    let total = (time.as_secs_f64() * f64::from(RATE)) as usize;
    let mut ticks = interval(Duration::from_secs(1) / RATE);
    let mut calls = Vec::with_capacity(total);
    for _ in 0..total {
        ticks.tick().await;
        calls.push(actix_web::rt::spawn(call(target.clone())));
    }
    let mut measured = Measurements::new();
    for call in calls {
        match call.await {
            Ok(Some(us)) => measured.latency.record(us).expect("within range"),
            _ => measured.failures += 1,
        }
    }
    measured
}

async fn call(target: Target) -> Option<u64> {
    let started = Instant::now();
    let mut req = lycheelatch_http::client().get(&target.url);
    if let Some(token) = target.token {
        req = req.insert_header(("authorization", format!("Bearer {token}")));
    }
    if target.new_connection {
        req = req.force_close();
    }
    let mut response = req.send().await.ok()?;
    response.body().await.ok()?;
    response.status().is_success().then(|| started.elapsed().as_micros() as u64)
}
