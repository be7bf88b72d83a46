//! Feeds generated inputs to every reader that faces outsiders or other nodes.
//!
//! Each input is a valid sample with a few changes, or random bytes. The seed
//! is fixed, so that every run gives the same inputs. The argument is the
//! number of inputs for each reader.
#![expect(clippy::print_stdout, reason = "the table is the purpose of the example")]

mod link;
mod readers;

use std::panic::{AssertUnwindSafe, catch_unwind};

use lycheelatch_fakes::FuzzInputs;
use readers::{ReaderUnderTest, readers};

/// Inputs for each reader when the command line names no number.
const DEFAULT_INPUTS: u64 = 100_000;

/// Inputs between two looks at the resident memory.
const MEMORY_INTERVAL: u64 = 1_000;

/// What became of the inputs of one reader.
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
        for mut reader in readers() {
            let counts = run(&mut reader, number).await;
            print_row(reader.name, &counts);
            total.accepted += counts.accepted;
            total.refused += counts.refused;
            total.panics += counts.panics;
            total.growth_kib = total.growth_kib.max(counts.growth_kib);
        }
        print_row("all", &total);
        assert_eq!(total.panics, 0, "a reader panicked");
    });
}

async fn run(reader: &mut ReaderUnderTest, number: u64) -> Counts {
    let inputs = FuzzInputs::new(std::mem::take(&mut reader.samples));
    let mut counts = Counts::default();
    let before = resident_kib();
    for (n, input) in (0..number).zip(inputs) {
        match catch_unwind(AssertUnwindSafe(|| (reader.read)(&input))) {
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

/// Returns the resident memory of the process, in KiB; 0 where the system does not tell.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
