//! Measures the gap in callers' streams when a node stops with three seconds' notice.
//!
//! 1,000 streams run through one of seven nodes; the engines generate a token every 37 ms. All
//! nodes and engines run in memory on one thread, with the real clock.

#![allow(clippy::print_stdout, reason = "prints its results")]

#[path = "../tests/bench/mod.rs"]
mod bench;

use std::{rc::Rc, time::Duration};

use bench::{Caller, StreamEnd, TestCluster, TestNode};
use futures_util::future::{join, join_all};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep};

const SEED: u64 = 20261204;
const STREAMS: usize = 1000;
const NODES: usize = 7;
const ENGINES: usize = 9;
const INTERVAL: Duration = Duration::from_millis(37);
const NOTICE: Duration = Duration::from_secs(3);
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

struct StreamResult {
    caller: Caller,
    /// Time from the disconnection to the next token.
    gap: Option<Duration>,
    is_complete: bool,
}

async fn read_to_end(n: usize, tokens: u64, nodes: Rc<Vec<Rc<TestNode>>>) -> StreamResult {
    let mut caller = Caller::new(&format!("request-{n}"), tokens);
    let mut ending = caller.send(&nodes[0]).await;
    let mut gap = None;
    for attempt in 0..20 {
        if ending == StreamEnd::Whole {
            break;
        }
        let disconnected = Instant::now();
        sleep(RECONNECT_DELAY).await;
        let earlier = caller.first_token_delays.len();
        ending = caller.resume(&nodes[1 + (n + attempt) % (NODES - 1)]).await;
        if let Some(delay) = caller.first_token_delays.get(earlier) {
            gap = Some(caller.sent_at.duration_since(disconnected) + *delay);
        }
    }
    StreamResult { caller, gap, is_complete: ending == StreamEnd::Whole }
}

async fn measure() {
    let cluster = TestCluster::new(ENGINES, INTERVAL);
    let mut nodes = Vec::new();
    for n in 0..NODES {
        nodes.push(cluster.node(&format!("node-{n}")).await);
    }
    let nodes = Rc::new(nodes);
    let mut rng = StdRng::seed_from_u64(SEED);
    let tokens: Vec<u64> = (0..STREAMS).map(|_| rng.random_range(20..400)).collect();
    let readers: Vec<_> = tokens
        .iter()
        .enumerate()
        .map(|(n, tokens)| actix::spawn(read_to_end(n, *tokens, nodes.clone())))
        .collect();
    let stopping = async {
        sleep(Duration::from_millis(1500)).await;
        let running = nodes[0].proxy.running().count();
        let buffered = nodes[0].proxy.response_buffer().bytes();
        let started = Instant::now();
        let (report, cut_off) = nodes[0].stop(NOTICE).await;
        (running, buffered, report, cut_off, started.elapsed())
    };
    let (results, (running, buffered, report, cut_off, took)) =
        join(join_all(readers), stopping).await;
    let results: Vec<StreamResult> = results.into_iter().map(Result::unwrap).collect();
    let incomplete = results.iter().filter(|result| !result.is_complete).count();
    let inexact = results.iter().filter(|result| !result.caller.is_exact()).count();
    let mut gaps: Vec<Duration> = results.iter().filter_map(|result| result.gap).collect();
    gaps.sort_unstable();
    println!("streams {STREAMS}, nodes {NODES}, running when the stop began {running}");
    println!("buffered by the stopping node {} KiB", buffered / 1024);
    println!(
        "handed over {}, lost {}, still open at the end {cut_off}, stop took {} ms",
        report.handed_over,
        report.lost,
        took.as_millis()
    );
    println!("incomplete {incomplete}, with a token lost or repeated {inexact}");
    if let Some(last) = gaps.last() {
        let at = |percent: usize| gaps[(gaps.len() * percent / 100).min(gaps.len() - 1)];
        println!(
            "gap between tokens of a stream taken up again: p50 {} ms, p99 {} ms, longest {} ms",
            at(50).as_millis(),
            at(99).as_millis(),
            last.as_millis()
        );
    }
}

fn main() {
    actix::System::new().block_on(measure());
}
