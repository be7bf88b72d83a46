//! Prints percentiles of the duration of a placement decision and its memory use by fleet size.
#![allow(clippy::print_stdout)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use hdrhistogram::Histogram;
use support::fleet::Fleet;
use tokio::time::Instant;

/// Number of decisions measured per fleet size.
const DECISIONS: usize = 100_000;

fn main() {
    println!(
        "engines  p50 us  p99 us  p99.9 us  bytes of the view  bytes/engine  resident bytes/engine"
    );
    let empty = Fleet::new(0).placement.bytes();
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
            let elapsed = started.elapsed();
            drop(chosen);
            times.record(elapsed.min(Duration::from_secs(1)).as_nanos() as u64).unwrap();
        }
        let us = |q| times.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "{engines:>7} {:>7.1} {:>7.1} {:>9.1} {:>18} {:>13.0} {resident:>22.0}",
            us(0.5),
            us(0.99),
            us(0.999),
            fleet.placement.bytes(),
            (bytes - empty) as f64 / engines as f64,
        );
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    kib.unwrap_or(0_usize) * 1024
}
