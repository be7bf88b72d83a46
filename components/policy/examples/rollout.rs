//! Plays many simulated roll-outs and prints how many are rolled back, and when.
#![allow(missing_docs, clippy::print_stdout)]

#[path = "../tests/support/mod.rs"]
mod support;

use support::rollout::{Fault, Setup, play};

const SEEDS: u64 = 1000;

fn main() {
    let good = |rate, usual_failures| Setup { rate, usual_failures, ..Setup::default() };
    print_row("good, 100/s", &good(100.0, 0.004));
    print_row("good, 700/s", &good(700.0, 0.004));
    print_row("good, 390 nodes", &Setup { nodes: 390, ..Setup::default() });
    print_row("both fail 14%", &good(300.0, 0.14));
    let on_day = |both| Setup { both: Some(both), ..Setup::default() };
    print_row("all upstreams fail", &on_day(Fault::failing(1.0).from(0.3)));
    print_row("all upstreams fail 30%", &on_day(Fault::failing(0.3).from(0.5)));
    print_row("all upstreams slow", &on_day(Fault::slow(1.0, 8.0).from(0.3)));
    let slower = Setup { canary: Some(Fault::slow(1.0, 1.2)), ..Setup::default() };
    print_row("all 1.2 times slower", &slower);
    let versions = [
        ("fails 10%", Fault::failing(0.1)),
        ("fails 20%", Fault::failing(0.2)),
        ("fails 30% from half", Fault::failing(0.3).from(0.5)),
        ("fails 30% from 0.75", Fault::failing(0.3).from(0.75)),
        ("fails 40% on a route", Fault::failing(0.4).on_route(2)),
        ("30% 4 times slower", Fault::slow(0.3, 4.0)),
        ("all 3 times slower", Fault::slow(1.0, 3.0)),
        ("40% 5 times, from half", Fault::slow(0.4, 5.0).from(0.5)),
        ("50% 4 times, a route", Fault::slow(0.5, 4.0).on_route(0)),
    ];
    for rate in [100.0, 300.0, 700.0] {
        for (name, fault) in versions {
            let setup = Setup { rate, canary: Some(fault), ..Setup::default() };
            print_row(&format!("{name}, {rate}/s"), &setup);
        }
    }
}

fn print_row(name: &str, setup: &Setup) {
    let reports: Vec<_> = (0..SEEDS).map(|seed| play(&Setup { seed, ..setup.clone() })).collect();
    let mut times: Vec<_> = reports
        .iter()
        .filter_map(|report| report.rolled_back.as_ref())
        .map(|(at, _)| *at)
        .collect();
    times.sort();
    let median = times.get(times.len() / 2).map_or(0, |at| at.as_millis());
    let over = reports.iter().filter(|report| !report.keeps_exposure(&setup.limits)).count();
    let late = reports.iter().filter(|report| !report.keeps_rollback_time(&setup.limits)).count();
    let share = reports.iter().map(|report| report.exposed as f64 / report.sent as f64);
    let share = share.fold(0.0, f64::max);
    println!(
        "{name:32} rolled back {:4} of {SEEDS}, median {median:5} ms; over the bound {over}, \
         late {late}; greatest exposure {share:.3}",
        times.len()
    );
}
