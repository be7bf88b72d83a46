//! Prints the recomputed tokens of conversations and long histories, by strategy.
#![allow(clippy::print_stdout)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use support::recompute::{Chooser, Report, Setup, run};

const CHOOSERS: [Chooser; 5] = [
    Chooser::RoundRobin,
    Chooser::LeastLoaded,
    Chooser::Rendezvous,
    Chooser::Policy,
    Chooser::Oracle,
];

fn main() {
    for seed in 1..=3 {
        table(&format!("7 nodes, 9 engines, seed {seed}"), |chooser| Setup::small(seed, chooser));
        table(&format!("7 nodes, 9 engines, a zone lost, seed {seed}"), |chooser| {
            let zone_lost_at = Some(Duration::from_secs(150));
            Setup { zone_lost_at, ..Setup::small(seed, chooser) }
        });
        table(&format!("7 nodes, 9 engines, twice the cache, seed {seed}"), |chooser| Setup {
            cache_tokens: 120_000,
            ..Setup::small(seed, chooser)
        });
        table(&format!("7 nodes, 9 engines, no events, seed {seed}"), |chooser| Setup {
            has_cache_events: false,
            ..Setup::small(seed, chooser)
        });
        table(&format!("32 nodes, 64 engines, no events, seed {seed}"), |chooser| {
            let (nodes, engines, rate) = (32, 64, 64.0);
            let (conversations, histories) = (430, 280);
            let base = Setup::small(seed, chooser);
            let run_for = Duration::from_secs(200);
            let has_cache_events = false;
            Setup {
                nodes,
                engines,
                rate,
                conversations,
                histories,
                run_for,
                has_cache_events,
                ..base
            }
        });
    }
}

fn table(name: &str, setup: impl Fn(Chooser) -> Setup) {
    println!("{name}");
    println!("  chooser       recomputed/prompt  /least loaded  /oracle  p50 ms  p95 ms");
    let reports: Vec<Report> = CHOOSERS.iter().map(|chooser| run(setup(*chooser))).collect();
    for (chooser, report) in CHOOSERS.iter().zip(&reports) {
        println!(
            "  {:<13} {:>17.3} {:>14.2} {:>8.2} {:>7.0} {:>7.0}",
            format!("{chooser:?}"),
            report.recomputed as f64 / report.prompt_tokens as f64,
            report.recomputed as f64 / reports[1].recomputed as f64,
            report.recomputed as f64 / reports[4].recomputed.max(1) as f64,
            report.percentile(50.0),
            report.percentile(95.0),
        );
    }
}
