//! Measures the size of load digests, and placement with partial or outdated load information.
#![allow(clippy::print_stdout)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::HashMap;

use lycheelatch_policy::{LoadDigest, ObservedLoad, report_home};
use lycheelatch_prelude::{NodeId, UpstreamId};
use support::recompute::{Chooser, LoadInfo, Setup, run};

const VARIANTS: [(&str, LoadInfo); 7] = [
    ("own requests only", LoadInfo::LocalOnly),
    ("subset of 8 of 64", LoadInfo::Subset(8)),
    ("subset of 24 of 64", LoadInfo::Subset(24)),
    ("digests, 8 s", LoadInfo::Digests(8)),
    ("digests, 4 s", LoadInfo::Digests(4)),
    ("digests, 2 s", LoadInfo::Digests(2)),
    ("all reports, 1 s", LoadInfo::Reports),
];

fn main() {
    print_digest_sizes(390, 8000);
    println!("\n32 nodes, 64 engines, no cache events: p95 first token ms, recomputed/prompt");
    for (name, load_info) in VARIANTS {
        let mut line = format!("  {name:<20}");
        for seed in 1..=3 {
            let report = run(Setup {
                nodes: 32,
                engines: 64,
                rate: 96.0,
                conversations: 430,
                histories: 280,
                has_cache_events: false,
                load_info,
                run_for: std::time::Duration::from_secs(150),
                ..Setup::small(seed, Chooser::Policy)
            });
            let share = report.recomputed as f64 / report.prompt_tokens as f64;
            line += &format!("  {:>6.0} {share:.3}", report.percentile(95.0));
        }
        println!("{line}");
    }
}

/// Prints the sizes of the load digests of one round.
fn print_digest_sizes(nodes: usize, upstreams: usize) {
    let nodes: Vec<NodeId> = (0..nodes).map(|n| format!("node-{n}").parse().unwrap()).collect();
    let upstreams: Vec<UpstreamId> =
        (0..upstreams).map(|n| format!("engine-{n:05}").parse().unwrap()).collect();
    let mut by_home: HashMap<&NodeId, Vec<UpstreamId>> = HashMap::new();
    for upstream in &upstreams {
        by_home.entry(report_home(upstream, &nodes).unwrap()).or_default().push(upstream.clone());
    }
    let sizes = by_home.values().map(|own| {
        let loads = vec![ObservedLoad::new(12, 1); own.len()];
        LoadDigest { round: 1, loads }.encode(own).len()
    });
    let sizes: Vec<usize> = sizes.collect();
    let total: usize = sizes.iter().sum();
    println!(
        "{} homes of {} upstreams: digests of {} to {} bytes, {total} bytes a round",
        by_home.len(),
        upstreams.len(),
        sizes.iter().min().unwrap(),
        sizes.iter().max().unwrap(),
    );
}
