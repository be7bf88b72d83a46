//! Measures claims in memory under a paused clock.
//!
//! `bookings faults` makes 10,000 bookings whose callers retry blindly while
//! answers are lost, nodes die and the key-value service stalls.
//! `bookings writes` counts the calls to the key-value service at several rates;
//! `bookings writes-alone` does so for nodes that commit everything themselves.

#![allow(clippy::print_stdout, reason = "its figures are its output")]

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
use world::{Booking, Node, Told, Upstream, World};

const SEED: u64 = 20261204;
const KV_DELAY: Duration = Duration::from_millis(3);
const DEADLINE: Duration = Duration::from_secs(5);

struct Fleet {
    world: World,
    nodes: RefCell<Vec<Rc<Node>>>,
    clock: WallClock,
    is_linked: bool,
    started: Cell<u64>,
    requests: Cell<u64>,
    rng: RefCell<StdRng>,
    told: RefCell<Vec<(RequestId, Told)>>,
}

impl Fleet {
    fn new(nodes: usize, is_linked: bool) -> Rc<Fleet> {
        let fleet = Rc::new(Fleet {
            world: World::default(),
            nodes: RefCell::default(),
            clock: WallClock::starting_at(Instant::now(), UnixMillis(1_800_000_000_000)),
            is_linked,
            started: Cell::new(0),
            requests: Cell::new(0),
            rng: RefCell::new(StdRng::seed_from_u64(SEED)),
            told: RefCell::default(),
        });
        fleet.world.kv.faults.set_default(Fault::Slow(KV_DELAY));
        (0..nodes).for_each(|_| fleet.start_node());
        fleet
    }

    fn start_node(&self) {
        self.started.set(self.started.get() + 1);
        let cfg = ClaimsConfig {
            clock: self.clock,
            epoch: self.started.get(),
            ..ClaimsConfig::default()
        };
        let node =
            self.world.start_node(&format!("node-{}", self.started.get()), cfg, self.is_linked);
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
            _ if !has_faults => Upstream::Answer,
            0..5 => Upstream::LoseAnswer,
            5..15 => Upstream::Unreachable,
            15..20 => Upstream::Slow(self.random_ms(100..3000)),
            _ => Upstream::Answer,
        }
    }

    /// Books `key` once through a random node.
    async fn book(&self, key: u64, has_faults: bool) -> Told {
        self.requests.set(self.requests.get() + 1);
        let request: RequestId = format!("request-{}", self.requests.get()).parse().unwrap();
        let at = self.random(0..self.nodes.borrow().len());
        let node = self.nodes.borrow()[at].clone();
        let upstream = self.upstream(has_faults);
        let booking = Booking { key, request: request.clone(), upstream, deadline: DEADLINE };
        let told = node.call(booking).await;
        self.told.borrow_mut().push((request, told));
        told
    }

    /// Books `key` and tries again until the booking is confirmed.
    async fn book_until_told(&self, key: u64, tries: usize) -> Told {
        let mut told = Told::Broken;
        for _ in 0..tries {
            told = self.book(key, true).await;
            if told == Told::Booked {
                break;
            }
            sleep(self.random_ms(50..2000)).await;
        }
        told
    }

    /// Lets the key-value service and nodes fail in turn, for ever.
    async fn fail(&self) {
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
    let fleet = Fleet::new(nodes, true);
    let failing = spawn_local({
        let fleet = fleet.clone();
        async move { fleet.fail().await }
    });
    let mut callers = Vec::new();
    for key in 0..bookings {
        let fleet = fleet.clone();
        callers.push(spawn_local(async move { fleet.book_until_told(key, 30).await }));
        sleep(Duration::from_millis(5)).await;
    }
    let mut last = Vec::new();
    for caller in callers {
        last.push(caller.await.unwrap_or(Told::Broken));
    }
    failing.abort();
    let ledger = fleet.world.ledger.borrow();
    let told = fleet.told.borrow();
    let count = |what: Told| told.iter().filter(|(_, told)| *told == what).count();
    let false_not_run = told
        .iter()
        .filter(|(_, told)| matches!(told, Told::NotRun | Told::Running))
        .filter(|(request, _)| ledger.by_request.contains_key(request))
        .count();
    let doubled = ledger.by_key.values().filter(|count| **count > 1).count();
    let of_last = |what: Told| last.iter().filter(|told| **told == what).count();
    println!("bookings {bookings}, nodes {nodes}, nodes started {}", fleet.started.get());
    println!("requests {}, executed {}", told.len(), ledger.by_key.len());
    println!("doubled {doubled}, false not-run {false_not_run}");
    println!(
        "told: booked {}, not-run {}, running {}, unknown {}, broken {}",
        count(Told::Booked),
        count(Told::NotRun),
        count(Told::Running),
        count(Told::Unknown),
        count(Told::Broken)
    );
    println!(
        "in the end: booked {}, unknown {}, other {}",
        of_last(Told::Booked),
        of_last(Told::Unknown),
        last.len() - of_last(Told::Booked) - of_last(Told::Unknown)
    );
}

async fn writes(nodes: usize, per_second: u64, is_linked: bool) {
    tokio::time::pause();
    let fleet = Fleet::new(nodes, is_linked);
    let seconds = if per_second < 10 { 60 } else { 20 };
    let bookings = per_second * seconds;
    let started = Instant::now();
    let mut callers = Vec::new();
    for key in 0..bookings {
        let fleet = fleet.clone();
        callers.push(spawn_local(async move {
            let started = Instant::now();
            let told = fleet.book(key, false).await;
            assert!(told == Told::Booked || !is_linked, "nothing fails here: {told:?}");
            (started.elapsed(), told == Told::Booked)
        }));
        sleep_until(started + Duration::from_secs(key + 1) / per_second as u32).await;
    }
    // The rate is held: callers start at their times, whatever the others wait for.
    let made_in = started.elapsed().as_secs_f64();
    let mut took = Vec::new();
    for caller in callers {
        took.push(caller.await.unwrap_or_default());
    }
    took.sort_unstable();
    let refused = took.iter().filter(|(_, is_booked)| !is_booked).count();
    let elapsed = started.elapsed().as_secs_f64();
    assert!((bookings as f64 / made_in / per_second as f64 - 1.0).abs() < 0.01);
    let calls = fleet.world.kv.calls();
    let entries = fleet.world.kv.peek("lycheelatch/claims/");
    let bytes: usize = entries.iter().map(|entry| entry.value.len()).sum();
    println!(
        "{nodes:>5} {per_second:>10} {:>10.1} {:>13.2} {:>10.1} {:>12.0} {:>8} {:>8} {:>8}",
        calls.writes as f64 / elapsed,
        calls.writes as f64 / bookings as f64,
        calls.reads as f64 / elapsed,
        bytes as f64 / bookings as f64,
        took[took.len() / 2].0.as_millis(),
        took[took.len() * 99 / 100].0.as_millis(),
        refused,
    );
}

fn write_table(nodes: &[usize], is_linked: bool) {
    println!(
        "nodes bookings/s   writes/s writes/booking    reads/s bytes/booking p50/ms  p99/ms  refused"
    );
    for nodes in nodes {
        for per_second in [1, 10, 100, 1000] {
            actix::System::new().block_on(writes(*nodes, per_second, is_linked));
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
