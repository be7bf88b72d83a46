//! The day itself, with its baselines: retries that grow larger than the traffic.
//!
//! Prints fresh goodput before, during and after the trigger as shares.
#![allow(clippy::print_stdout)]

#[path = "../tests/support/mod.rs"]
mod support;

use support::overload::{Marks, Patience, Report, Setup, Strategy, Trigger, run};

fn main() {
    println!("run                              fresh during  after 5 s  after 20 s  retries");
    println!(
        "                                 /remaining    /arrived   /arrived    /fresh, worst s"
    );
    for seed in 1..=3 {
        for strategy in [Strategy::RoundRobin, Strategy::LeastLoaded, Strategy::Rendezvous] {
            print(&format!("{strategy:?} seed {seed}"), &Setup::the_day(seed, strategy));
        }
        let setup = Setup::the_day(seed, Strategy::Policy);
        print(&format!("policy seed {seed}"), &setup);
        let silent = Setup { trigger: Trigger::Silence, ..setup.clone() };
        print(&format!("policy silent seed {seed}"), &silent);
        let digest = Setup { marks: Marks::Digest, ..setup.clone() };
        print(&format!("policy digest seed {seed}"), &digest);
        let alone = Setup { marks: Marks::DigestAlone, ..setup.clone() };
        print(&format!("policy digest alone seed {seed}"), &alone);
        let patient = Setup { patience: Patience::Waits, ..setup };
        print(&format!("policy patient seed {seed}"), &patient);
    }
    fairness();
}

fn print(name: &str, setup: &Setup) {
    let report = run(setup.clone());
    let (from, to) = span(setup);
    let remaining = setup.upstream_rate() * (setup.upstreams / 2) as f64 * (to - from) as f64;
    let during = report.sum(from, to, |s| s.fresh_goodput) / remaining;
    let done = |from, to| share_done(&report, from, to);
    println!(
        "{name:<32} {during:>8.3} {:>12.3} {:>10.3} {:>10.3}   full {} back {}/{}",
        done(to + 5, to + 10),
        done(to + 18, to + 23),
        report.worst_retry_share(),
        report.placement_full,
        report.came_back_done,
        report.came_back,
    );
    if std::env::args().any(|arg| arg == "--seconds") {
        println!("refused before the trigger: {:?}", report.early_refusals);
        for (second, counts) in report.seconds.iter().enumerate() {
            println!("{second:>4} {counts:?}");
        }
    }
}

fn span(setup: &Setup) -> (u64, u64) {
    let from = setup.trigger_at.as_secs();
    (from, from + setup.trigger_for.as_secs())
}

fn share_done(report: &Report, from: u64, to: u64) -> f64 {
    report.sum(from, to, |s| s.fresh_done) / report.sum(from, to, |s| s.arrived)
}

fn fairness() {
    println!(
        "\nworkspace 0 at ten times its share: p95 of the others, in ms, and their share done"
    );
    for seed in 1..=3 {
        let (quiet, loud) = support::overload::fairness(seed);
        let p95 = |report: &Report| report.percentile(1..5, 95.0);
        let (a, b) = (p95(&quiet), p95(&loud));
        println!("seed {seed}: {a:.0} -> {b:.0} ms ({:.3})", b / a);
    }
}
