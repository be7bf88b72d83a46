//! Measures the CPU time of a node per request and per token.
//!
//! The same load is sent to a fake upstream directly and through one node. The
//! cost of the node is the difference in CPU time of the whole process.
#![expect(clippy::print_stdout, reason = "the table is the output of the example")]

#[path = "../quickstart/setup.rs"]
mod setup;

use std::{net::SocketAddr, time::Duration};

use actix_web::rt;
use futures_util::{StreamExt, future::join_all};
use serde_json::json;
use setup::{MODEL_SERVICE, ORDERS_SERVICE, Setup, TOKEN};
use tokio::time::{Instant, interval, sleep};

/// Duration of each measurement.
const MEASUREMENT: Duration = Duration::from_secs(4);

/// Request rate of each measurement, per second.
const REQUEST_RATES: [u32; 4] = [250, 500, 1000, 2000];

/// Concurrent streams of each measurement; each stream has 200 tokens per second.
const STREAMS: [usize; 4] = [10, 20, 40, 80];

/// Duration of one clock tick of `/proc/self/stat`, in milliseconds.
const TICK_MS: f64 = 10.0;

/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

fn main() {
    actix::System::new().block_on(run());
}

async fn run() {
    let setup = Setup::start().await.expect("the fakes and nodes start");
    let node = setup.nodes[0].callers();
    println!("CPU time of a node, {} s per measurement", MEASUREMENT.as_secs());
    let mut points = Vec::new();
    for rate in REQUEST_RATES {
        let direct = requests(format!("http://{}/stock", setup.application_addr()), rate).await;
        let url = format!("http://{node}/services/{ORDERS_SERVICE}/stock");
        let through = requests(url, rate).await;
        let ms = (through - direct) / MEASUREMENT.as_secs_f64();
        println!(
            "{rate:6} requests/s: {ms:7.1} ms/s, {:.1} us each",
            ms * 1000.0 / f64::from(rate)
        );
        points.push((f64::from(rate), ms));
    }
    print_fit("request", &points);
    points.clear();
    for streams in STREAMS {
        let (direct, tokens) = tokens(setup.engine_addr(), "ignored", streams).await;
        let (through, relayed) = tokens_through(node, streams).await;
        let rate = relayed / MEASUREMENT.as_secs_f64();
        let per_token = through / relayed - direct / tokens;
        let ms = per_token * rate;
        println!("{rate:6.0} tokens/s: {ms:7.1} ms/s, {:.1} us each", per_token * 1000.0);
        points.push((rate, ms));
    }
    print_fit("token", &points);
    println!("resident memory of the whole process: {:.1} MB", resident_mb());
    setup.stop().await;
}

fn print_fit(unit: &str, points: &[(f64, f64)]) {
    let n = points.len() as f64;
    let (mean_x, mean_y) =
        (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    let cov: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let var: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = cov / var;
    println!("fit: {:.2} ms/s + {:.1} us per {unit}", mean_y - slope * mean_x, slope * 1000.0);
}

/// Returns the CPU time of this process, in milliseconds.
fn cpu_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("the process has a stat file");
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |i: usize| fields[i].parse::<f64>().unwrap_or(0.0);
    (ticks(11) + ticks(12)) * TICK_MS
}

fn resident_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1e6
}

/// Sends requests at a fixed rate and returns the CPU time, in milliseconds.
async fn requests(url: String, rate: u32) -> f64 {
    let before = cpu_ms();
    let mut ticks = interval(Duration::from_secs(1) / rate);
    let mut calls = Vec::new();
    for _ in 0..(MEASUREMENT.as_secs() as u32 * rate) {
        ticks.tick().await;
        calls.push(rt::spawn(get(url.clone())));
    }
    join_all(calls).await;
    cpu_ms() - before
}

async fn get(url: String) {
    let req = lycheelatch_http::client().get(url);
    let req = req.insert_header(("authorization", format!("Bearer {TOKEN}")));
    let mut response = req.send().await.expect("a response");
    response.body().await.expect("a body");
}

async fn tokens_through(node: SocketAddr, streams: usize) -> (f64, f64) {
    tokens(node, MODEL_SERVICE, streams).await
}

/// Reads streams for one measurement; returns the CPU time in milliseconds and the number of
/// tokens.
async fn tokens(addr: SocketAddr, model: &str, streams: usize) -> (f64, f64) {
    let before = cpu_ms();
    let deadline = Instant::now() + MEASUREMENT;
    let read = join_all((0..streams).map(|i| read_stream(addr, model, i, deadline))).await;
    let spent = cpu_ms() - before;
    // Gives the abandoned streams time to end before the next measurement.
    sleep(Duration::from_millis(300)).await;
    (spent, read.into_iter().sum())
}

async fn read_stream(addr: SocketAddr, model: &str, i: usize, deadline: Instant) -> f64 {
    let body = json!({
        "model": model,
        "stream": true,
        "max_tokens": 1000,
        "messages": [{"role": "user", "content": format!("lot {i}")}],
    });
    let response = lycheelatch_http::client()
        .post(format!("http://{addr}/v1/chat/completions"))
        .insert_header(("authorization", format!("Bearer {TOKEN}")))
        .send_json(&body)
        .await;
    let mut response = response.expect("a response");
    let mut tokens = 0.0;
    while let Ok(Some(Ok(chunk))) = tokio::time::timeout_at(deadline, response.next()).await {
        tokens += chunk.windows(6).filter(|part| *part == b"data: ").count() as f64;
    }
    tokens
}
