//! Measures what one node adds to the latency of a call.
//!
//! The same open-loop load goes to a stand-in application directly, directly on
//! a connection for each request, and through one node, in turns, and the
//! percentiles are compared.
#![expect(clippy::print_stdout, reason = "the table is the purpose of the example")]

#[path = "../quickstart/setup.rs"]
mod setup;

use std::{net::SocketAddr, process::ExitCode, sync::mpsc, time::Duration};

use hdrhistogram::Histogram;
use setup::{ORDERS_SERVICE, Setup, TOKEN};
use tokio::time::{Instant, interval, sleep};

/// Requests a second.
const RATE: u32 = 2000;

/// Time of one turn.
const TURN: Duration = Duration::from_secs(4);

/// Turns for each way.
const TURNS: usize = 3;

/// Time before the first turn counts.
const WARM_UP: Duration = Duration::from_secs(1);

/// Most latency that a node may add at the 99th percentile, in microseconds.
const MAX_ADDED_P99_US: u64 = 1000;

fn main() -> ExitCode {
    actix::System::new().block_on(run())
}

/// Where a load goes.
#[derive(Clone)]
struct Way {
    url: String,
    token: Option<&'static str>,
    /// Whether each request has a connection of its own.
    own_connection: bool,
}

/// Latencies of one way, in microseconds.
struct Seen {
    latency: Histogram<u64>,
    failures: u64,
}

async fn run() -> ExitCode {
    let setup = Setup::start().await.expect("the stand-ins and nodes start");
    let url = format!("http://{}/stock", setup.application_addr());
    let direct = Way { url, token: None, own_connection: false };
    let own = Way { own_connection: true, ..direct.clone() };
    let node = setup.nodes[0].callers();
    let through = Way { url: node_url(node), token: Some(TOKEN), own_connection: false };
    load(&direct, WARM_UP).await;
    load(&own, WARM_UP).await;
    load(&through, WARM_UP).await;
    println!("{RATE} requests a second, {TURNS} turns of {} s each way", TURN.as_secs());
    println!("{:22} {:>9} {:>9} {:>9} {:>9}", "way", "p50 us", "p95 us", "p99 us", "failed");
    let mut seen = [Seen::new(), Seen::new(), Seen::new()];
    for _ in 0..TURNS {
        seen[0].add(load(&direct, TURN).await);
        seen[1].add(load(&own, TURN).await);
        seen[2].add(load(&through, TURN).await);
    }
    for (name, seen) in ["direct", "direct, own connection", "one node"].iter().zip(&seen) {
        let at = |q| seen.latency.value_at_quantile(q);
        println!("{name:22} {:>9} {:>9} {:>9} {:>9}", at(0.5), at(0.95), at(0.99), seen.failures);
    }
    for q in [0.5, 0.95, 0.99] {
        let [direct, node] = [0, 2].map(|i| seen[i].latency.value_at_quantile(q));
        println!(
            "added at p{:<3} {:>6} us, {:.2} times direct",
            q * 100.0,
            node.saturating_sub(direct),
            node as f64 / direct as f64
        );
    }
    let [direct, node] = [0, 2].map(|i| seen[i].latency.value_at_quantile(0.99));
    let is_kept = node.saturating_sub(direct) <= MAX_ADDED_P99_US;
    println!(
        "at most {MAX_ADDED_P99_US} us added at p99: {}",
        if is_kept { "kept" } else { "BROKEN" }
    );
    setup.stop().await;
    if is_kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn node_url(node: SocketAddr) -> String {
    format!("http://{node}/services/{ORDERS_SERVICE}/stock")
}

impl Seen {
    fn new() -> Seen {
        Seen { latency: Histogram::new(3).expect("three digits"), failures: 0 }
    }

    fn add(&mut self, other: Seen) {
        self.latency.add(&other.latency).expect("the same digits");
        self.failures += other.failures;
    }
}

/// Sends the load from a thread of its own.
async fn load(way: &Way, time: Duration) -> Seen {
    let (tx, rx) = mpsc::channel();
    let way = way.clone();
    std::thread::spawn(move || {
        let seen = actix::System::new().block_on(send_all(way, time));
        tx.send(seen)
    });
    loop {
        match rx.try_recv() {
            Ok(seen) => return seen,
            Err(mpsc::TryRecvError::Empty) => sleep(Duration::from_millis(10)).await,
            Err(mpsc::TryRecvError::Disconnected) => return Seen::new(),
        }
    }
}

async fn send_all(way: Way, time: Duration) -> Seen {
    let total = (time.as_secs_f64() * f64::from(RATE)) as usize;
    let mut ticks = interval(Duration::from_secs(1) / RATE);
    let mut calls = Vec::with_capacity(total);
    for _ in 0..total {
        ticks.tick().await;
        calls.push(actix_web::rt::spawn(call(way.clone())));
    }
    let mut seen = Seen::new();
    for call in calls {
        match call.await {
            Ok(Some(us)) => seen.latency.record(us).expect("within range"),
            _ => seen.failures += 1,
        }
    }
    seen
}

async fn call(way: Way) -> Option<u64> {
    let begun = Instant::now();
    let mut req = lycheelatch_http::client().get(&way.url);
    if let Some(token) = way.token {
        req = req.insert_header(("authorization", format!("Bearer {token}")));
    }
    if way.own_connection {
        req = req.force_close();
    }
    let mut answer = req.send().await.ok()?;
    answer.body().await.ok()?;
    answer.status().is_success().then(|| begun.elapsed().as_micros() as u64)
}
