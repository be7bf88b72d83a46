//! Percentiles of one placement decision, allocations and bytes by the size of the fleet.
#![allow(clippy::print_stdout)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use hdrhistogram::Histogram;
use support::fleet::Fleet;
use tokio::time::Instant;

/// Decisions that are measured for each size.
const DECISIONS: usize = 100_000;

fn main() {
    println!(
        "engines  p50 us  p99 us  p99.9 us  bytes of the view  bytes/engine  resident bytes/engine"
    );
    let none = Fleet::new(0).placement.bytes();
    for engines in [9, 100, 1000, 2000, 4000, 8000] {
        let before = resident_bytes();
        let mut fleet = Fleet::new(engines);
        let resident = resident_bytes().saturating_sub(before) as f64 / engines as f64;
        let bytes = fleet.placement.bytes();
        (0..2000).for_each(|n| drop(fleet.place(n, true)));
        let mut times = Histogram::<u64>::new(3).unwrap();
        for n in 0..DECISIONS {
            let started = Instant::now();
            let chosen = fleet.place(n, false);
            let took = started.elapsed();
            drop(chosen);
            times.record(took.min(Duration::from_secs(1)).as_nanos() as u64).unwrap();
        }
        let us = |q| times.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "{engines:>7} {:>7.1} {:>7.1} {:>9.1} {:>18} {:>13.0} {resident:>22.0}",
            us(0.5),
            us(0.99),
            us(0.999),
            fleet.placement.bytes(),
            (bytes - none) as f64 / engines as f64,
        );
    }
}

/// Returns the resident bytes of this process.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    kib.unwrap_or(0_usize) * 1024
}
