//! Feeds generated inputs to every decoder of data from callers, the platform or other nodes.
//!
//! Each input is a mutated valid sample or random bytes. The seed is fixed, so
//! that every run uses the same inputs. The argument is the number of inputs
//! per decoder.
#![expect(clippy::print_stdout, reason = "the table is the output of the example")]

mod link;
mod readers;

use std::panic::{AssertUnwindSafe, catch_unwind};

use lycheelatch_fakes::FuzzInputs;
use readers::{DecoderUnderTest, decoders};

/// Inputs per decoder if the command line gives no number.
const DEFAULT_INPUTS: u64 = 100_000;

/// Inputs between two readings of the resident memory.
const MEMORY_INTERVAL: u64 = 1_000;

/// Results of the inputs of one decoder.
#[derive(Default)]
struct Counts {
    accepted: u64,
    refused: u64,
    panics: u64,
    /// Largest growth of the resident memory, in KiB.
    growth_kib: u64,
}

fn main() {
    let number = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let number = number.unwrap_or(DEFAULT_INPUTS);
    std::panic::set_hook(Box::new(|_| {}));
    actix::System::new().block_on(async move {
        println!("| Reader | Inputs | Accepted | Refused | Panics | Growth, KiB |");
        println!("|---|---|---|---|---|---|");
        let mut total = Counts::default();
        for mut decoder in decoders() {
            let counts = run(&mut decoder, number).await;
            print_row(decoder.name, &counts);
            total.accepted += counts.accepted;
            total.refused += counts.refused;
            total.panics += counts.panics;
            total.growth_kib = total.growth_kib.max(counts.growth_kib);
        }
        print_row("all", &total);
        assert_eq!(total.panics, 0, "a decoder panicked");
    });
}

async fn run(decoder: &mut DecoderUnderTest, number: u64) -> Counts {
    let inputs = FuzzInputs::new(std::mem::take(&mut decoder.samples));
    let mut counts = Counts::default();
    let before = resident_kib();
    for (n, input) in (0..number).zip(inputs) {
        match catch_unwind(AssertUnwindSafe(|| (decoder.decode)(&input))) {
            Ok(true) => counts.accepted += 1,
            Ok(false) => counts.refused += 1,
            Err(_) => counts.panics += 1,
        }
        if n % MEMORY_INTERVAL == 0 {
            tokio::task::yield_now().await;
            counts.growth_kib = counts.growth_kib.max(resident_kib().saturating_sub(before));
        }
    }
    counts
}

fn print_row(name: &str, counts: &Counts) {
    let inputs = counts.accepted + counts.refused + counts.panics;
    println!(
        "| {name} | {inputs} | {} | {} | {} | {} |",
        counts.accepted, counts.refused, counts.panics, counts.growth_kib
    );
}

/// Returns the resident memory of the process, in KiB; 0 if `/proc` does not report it.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
