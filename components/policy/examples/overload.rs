//! Simulates a metastable overload with the policy and with baseline strategies.
//!
//! Prints the shares of fresh requests that complete during and after the outage.
#![allow(clippy::print_stdout)]

#[path = "../tests/support/mod.rs"]
mod support;

use support::overload::{Report, RetryDelay, RetryMarking, Setup, Strategy, Trigger, run};

fn main() {
    println!("run                              fresh during  after 5 s  after 20 s  retries");
    println!(
        "                                 /remaining    /arrived   /arrived    /fresh, worst s"
    );
    for seed in 1..=3 {
        for strategy in [Strategy::RoundRobin, Strategy::LeastLoaded, Strategy::Rendezvous] {
            print(&format!("{strategy:?} seed {seed}"), &Setup::outage(seed, strategy));
        }
        let setup = Setup::outage(seed, Strategy::Policy);
        print(&format!("policy seed {seed}"), &setup);
        let unresponsive = Setup { trigger: Trigger::Unresponsive, ..setup.clone() };
        print(&format!("policy unresponsive seed {seed}"), &unresponsive);
        let fingerprint = Setup { retry_marking: RetryMarking::Fingerprint, ..setup.clone() };
        print(&format!("policy fingerprint seed {seed}"), &fingerprint);
        let local = Setup { retry_marking: RetryMarking::LocalFingerprint, ..setup.clone() };
        print(&format!("policy local fingerprint seed {seed}"), &local);
        let delayed = Setup { retry_delay: RetryDelay::RetryAfter, ..setup };
        print(&format!("policy retry-after seed {seed}"), &delayed);
    }
    fairness();
}

fn print(name: &str, setup: &Setup) {
    let report = run(setup.clone());
    let (from, to) = outage_span(setup);
    let remaining = setup.upstream_rate() * (setup.upstreams / 2) as f64 * (to - from) as f64;
    let during = report.sum(from, to, |s| s.fresh_goodput) / remaining;
    let completed = |from, to| completed_share(&report, from, to);
    println!(
        "{name:<32} {during:>8.3} {:>12.3} {:>10.3} {:>10.3}   placement failures {}, delayed retries {}/{}",
        completed(to + 5, to + 10),
        completed(to + 18, to + 23),
        report.worst_retry_share(),
        report.placement_failures,
        report.delayed_retries_completed,
        report.delayed_retries,
    );
    if std::env::args().any(|arg| arg == "--seconds") {
        println!("refused before the trigger: {:?}", report.refusals_before_trigger);
        for (second, counts) in report.seconds.iter().enumerate() {
            println!("{second:>4} {counts:?}");
        }
    }
}

fn outage_span(setup: &Setup) -> (u64, u64) {
    let from = setup.trigger_at.as_secs();
    (from, from + setup.trigger_for.as_secs())
}

fn completed_share(report: &Report, from: u64, to: u64) -> f64 {
    report.sum(from, to, |s| s.fresh_completed) / report.sum(from, to, |s| s.arrived)
}

fn fairness() {
    println!(
        "\nworkspace 0 at ten times its rate: p95 latency of the other workspaces, ms (ratio)"
    );
    for seed in 1..=3 {
        let (steady, surge) = support::overload::fairness(seed);
        let p95 = |report: &Report| report.percentile(1..5, 95.0);
        let (a, b) = (p95(&steady), p95(&surge));
        println!("seed {seed}: {a:.0} -> {b:.0} ms ({:.3})", b / a);
    }
}
