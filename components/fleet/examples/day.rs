//! Prints the cost of a day with reclaim waves, relative to on-demand instances only.

#![allow(clippy::print_stdout)]

#[path = "../tests/common/day.rs"]
mod day;

use day::{PurchaseStrategy, run};

fn main() {
    let on_demand = run(PurchaseStrategy::OnDemandOnly);
    println!("strategy              price/on-demand  missed minutes  refused  started");
    for strategy in [
        PurchaseStrategy::OnDemandOnly,
        PurchaseStrategy::CheapestReclaimable,
        PurchaseStrategy::Planned,
    ] {
        let day = run(strategy);
        let ratio = day.price / on_demand.price;
        let name = format!("{strategy:?}");
        println!(
            "{name:<21} {ratio:>15.3} {:>15} {:>8} {:>8}",
            day.missed_minutes, day.refused, day.started
        );
    }
}
